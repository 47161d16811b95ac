/** The request to a replica that is sent for a caller's request. */
import {notRun, type Verdict} from '@jasminepost/core';
import {NotStartedError, type CallerIdentity, type ReplicaRequest} from '@jasminepost/platform';
import type {RequestContent} from './crash_suspects.ts';
import type {GatewayContext} from './gateway_context.ts';
import type {Replica} from './replica.ts';

interface OutgoingParts extends RequestContent {
  readonly rawHeaders: readonly string[];
  /** Time until the caller's deadline. */
  readonly leftMs: number;
  readonly urgency: number | undefined;
  /** Last event that the caller has received; empty for none. */
  readonly lastEventId: string;
  /** Undefined without organisations. */
  readonly caller: CallerIdentity | undefined;
}

/** @internal */
export function outgoingRequest(
  ctx: Pick<GatewayContext, 'mayChooseReplica'>,
  replica: Replica,
  {method, path, body, rawHeaders, leftMs, urgency, lastEventId, caller}: OutgoingParts,
): ReplicaRequest {
  return {
    method,
    path,
    body,
    rawHeaders,
    systemHeaders: {deadlineMs: leftMs, replicaId: replica.id, urgency, lastEventId, caller},
    mayStart: () => replica.usable && ctx.mayChooseReplica(),
  };
}

/**
 * Verdict of a request of which nothing was sent.
 *
 * @internal
 */
export function notSent(error: Error, replica: Replica): Verdict {
  if (replica.hasEnded) return notRun('replaced');
  return notRun(error instanceof NotStartedError ? 'not_started' : 'connect_failed');
}
