/** What the head of an answer tells of its replica: load, leaving, a wish for a pause. */
import type {ReplicaResponseHead} from '@jasminepost/platform';
import type {GatewayContext} from './gateway_context.ts';
import type {Attempt} from './attempt.ts';
import type {Replica} from './replica.ts';

/** Gateways that were turned away together come back one after the other within this. */
const PAUSE_JITTER_MS = 200;

/** True for the refusal of another replica that has the address now. @internal */
export function isFromOtherReplica(
  {status, replicaId}: ReplicaResponseHead,
  replica: Replica,
): boolean {
  return status === 421 && replicaId !== '' && replicaId !== replica.id;
}

/** @internal */
export function recordResponseHead(
  ctx: GatewayContext,
  {replica, sentMs}: Attempt,
  head: ReplicaResponseHead,
): void {
  const {clock, generations: line, log} = ctx;
  const nowMs = clock.monotonicMs();
  if (head.unreadHeaders.length > 0) ctx.unreadHeaders.record(head.unreadHeaders, replica.id);
  if (head.load !== undefined) replica.onResponseLoad(head.load, nowMs);
  // Another replica speaks of itself.
  if (isFromOtherReplica(head, replica)) return;
  if (head.limitPerS !== 'unreadable') ctx.limits.onAnswer(replica, head.limitPerS, sentMs);
  if (head.leaving && replica.recordEvent({kind: 'said_leaving'}, nowMs)) {
    log.info('replica leaves', {replica: replica.id, inFlight: replica.inFlight});
    line.scheduleDispatch();
    return;
  }
  const {pauseMs} = head;
  if (pauseMs === undefined && !head.notRun) {
    replica.recordEvent({kind: 'taken'}, nowMs);
    return;
  }
  const jitterMs = pauseMs === undefined || pauseMs === 0 ? 0 : Math.random() * PAUSE_JITTER_MS;
  replica.recordEvent({kind: 'turned_away', pauseMs: (pauseMs ?? 0) + jitterMs}, nowMs);
  if (jitterMs > 0) log.info('replica paused', {replica: replica.id, pauseMs});
}
