/** Records what a response shows of its replica: load, rate limit, leaving, pauses, and speed. */
import type {ReplicaResponseHead} from '@jasminepost/platform';
import type {GenerationParams} from '@jasminepost/serving';
import type {GatewayContext} from './gateway_context.ts';
import type {Attempt} from './attempt.ts';
import type {Replica} from './replica.ts';

/** Gateways that were refused at the same time resume at random times within this interval. */
const PAUSE_JITTER_MS = 200;

/**
 * True for a 421 response from another replica that has taken over the address.
 *
 * @internal
 */
export function isFromOtherReplica(
  {status, replicaId}: ReplicaResponseHead,
  replica: Replica,
): boolean {
  return status === 421 && replicaId !== '' && replicaId !== replica.id;
}

/**
 * Updates the replica's state from the head of its response.
 *
 * @internal
 */
export function recordResponseHead(
  ctx: GatewayContext,
  {replica, sentMs}: Attempt,
  head: ReplicaResponseHead,
): void {
  const {clock, generations, log} = ctx;
  const nowMs = clock.monotonicMs();
  if (head.unreadHeaders.length > 0) ctx.unreadHeaders.record(head.unreadHeaders, replica.id);
  if (head.load !== undefined) replica.onResponseLoad(head.load, nowMs);
  // The remaining headers describe the other replica, not this one.
  if (isFromOtherReplica(head, replica)) return;
  if (head.limitPerS !== 'unreadable') ctx.limits.onAnswer(replica, head.limitPerS, sentMs);
  if (head.leaving && replica.recordEvent({kind: 'said_leaving'}, nowMs)) {
    log.info('replica is leaving', {replica: replica.id, inFlight: replica.inFlight});
    generations.scheduleDispatch();
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

/**
 * Records the time that the replica took for the first event.
 *
 * @param arrivedMs - Monotonic time at which the request arrived.
 * @internal
 */
export function recordFirstEvent(
  ctx: GatewayContext,
  attempt: Attempt,
  arrivedMs: number,
  generation: GenerationParams | undefined,
): void {
  const nowMs = ctx.clock.monotonicMs();
  const elapsedMs = attempt.onFirstEvent(nowMs);
  ctx.metrics.firstEvent.recordMs(nowMs - arrivedMs);
  if (generation !== undefined) {
    attempt.replica.recordPrefill(elapsedMs / (attempt.awaitingBefore + 1));
    const {model, tokensIn} = generation;
    const {replica, workMs} = attempt;
    replica.onWorkMeasured(workMs, elapsedMs, nowMs);
    if (attempt.awaitingBefore === 0) {
      // By reports alone: corrections result from the estimate, and would drift together with it.
      ctx.estimator.addSample(model, tokensIn, elapsedMs / replica.reportedPaceAt(nowMs));
    }
  }
  ctx.generations.scheduleDispatch();
}
