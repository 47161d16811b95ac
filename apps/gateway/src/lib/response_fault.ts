/** Detects responses of replicas that must not be forwarded to the caller. */
import type {ReplicaResponseHead} from '@jasminepost/platform';

/**
 * What a response means for its attempt. `foreign`: it may belong to another request, since responses
 * on its connection are out of order.
 *
 * @internal
 */
export type ResponseVerdict =
  | {readonly kind: 'usable'}
  | {readonly kind: 'foreign' | 'not_run' | 'faulty'; readonly detail: string};

/** @internal */
export interface ResponseExpectation {
  readonly requestId: string;
  /** True when the response continues a stream whose beginning the caller has. */
  readonly isContinuation: boolean;
  /** True when the request may still be retried on another replica. */
  readonly canRetry: boolean;
}

const MIN_FINAL_STATUS = 200;
const MIN_ERROR_STATUS = 400;
const MAX_STATUS = 599;
/** Statuses from which a caller concludes that its request was not executed. */
const NOT_RUN_STATUSES: readonly number[] = [408, 429, 503];

/** True for the status of a well-formed error, which leaves its connection usable. @internal */
export function isErrorStatus(status: number): boolean {
  return status >= MIN_ERROR_STATUS && status <= MAX_STATUS;
}

/**
 * Finds the reason for which a response must not be forwarded.
 *
 * @param canRetry - True when the request may still be retried on another replica.
 * @returns Undefined when the response may be forwarded.
 * @example
 * findResponseFault({...head, status: 200, isSigned: false}, false); // 'unsigned response'
 */
function findResponseFault(head: ReplicaResponseHead, canRetry: boolean): string | undefined {
  const {status} = head;
  if (status < MIN_FINAL_STATUS || status > MAX_STATUS) return `status ${status} does not exist`;
  if (status < 300 && !head.isSigned) return 'unsigned response';
  if (status >= 500 && canRetry) return `status ${status}`;
  // Without the not-executed header the replica has not confirmed that the request did not run.
  return NOT_RUN_STATUSES.includes(status)
    ? `status ${status} without not-executed header`
    : undefined;
}

/**
 * Finds the reason for which a response can't continue a stream whose beginning the caller has.
 *
 * @returns Undefined when the response may be forwarded.
 */
function findContinuationFault(head: ReplicaResponseHead): string | undefined {
  if (head.status !== 200) return `status ${head.status} for the rest of a stream`;
  if (!head.isSigned) return 'unsigned response';
  return head.isEventStream ? undefined : 'no event stream for the rest of a stream';
}

/**
 * Judges a response by its head.
 *
 * @example
 * judgeResponse(head, {requestId: 'a', isContinuation: false, canRetry: true}).kind;
 * @internal
 */
export function judgeResponse(
  head: ReplicaResponseHead,
  {requestId, isContinuation, canRetry}: ResponseExpectation,
): ResponseVerdict {
  if (head.requestId !== requestId) {
    const detail = head.requestId === '' ? 'response without id' : 'response to another request';
    return {kind: 'foreign', detail};
  }
  if (head.notRun) return {kind: 'not_run', detail: `status ${head.status}`};
  const fault = isContinuation ? findContinuationFault(head) : findResponseFault(head, canRetry);
  return fault === undefined ? {kind: 'usable'} : {kind: 'faulty', detail: fault};
}
