/** Why a replica's answer must not reach the caller. */
import type {ReplicaResponseHead} from '@jasminepost/platform';

/** Statuses that promise the caller that nothing has run. */
const NOT_RUN_STATUSES: readonly number[] = [408, 429, 503];

/**
 * @param canRepeat - True when another replica may still be asked.
 * @returns Undefined when the answer may be passed on.
 * @example
 * answerFault({status: 200, signed: false, ...head}, false); // 'unsigned answer'
 * @internal
 */
export function findResponseFault(
  head: ReplicaResponseHead,
  canRepeat: boolean,
): string | undefined {
  const {status} = head;
  if (status < 300 && !head.isSigned) return 'unsigned answer';
  if (status >= 500 && canRepeat) return `status ${status}`;
  // The replica itself has not stated that nothing ran.
  return NOT_RUN_STATUSES.includes(status) ? `status ${status} without not-run` : undefined;
}
