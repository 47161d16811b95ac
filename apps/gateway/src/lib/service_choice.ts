/** Chooses a replica of a plain service. */
import {
  chooseReplica,
  isSaturated,
  type RouteCandidate,
  type RouteRequest,
} from '@jasminepost/policy';
import type {GatewayContext} from './gateway_context.ts';
import type {Replica} from './replica.ts';

/** @internal */
export type ServiceChoice = {readonly listed: number} & (
  | {readonly kind: 'chosen'; readonly replica: Replica; readonly candidate: RouteCandidate}
  /** All have asked for a pause. */
  | {readonly kind: 'paused'; readonly waitMs: number}
  /** All that are left have named limits, which are used up. */
  | {readonly kind: 'limited'; readonly replicas: readonly Replica[]}
  | {readonly kind: 'none'}
);

/**
 * Plain services know no classes of requests; all count as paid. Replicas that have named a limit
 * are in need: the others take their work, as long as they have a place.
 *
 * @param ahead - Requests that wait for the same service and go first.
 * @internal
 */
export function chooseServiceReplica(
  ctx: GatewayContext,
  service: string,
  excluded: ReadonlySet<string>,
  ahead: number,
): ServiceChoice {
  const nowMs = ctx.clock.monotonicMs();
  const all = ctx.table.usableOf(service);
  const listed = all.length;
  const open = all.filter(replica => replica.eligibilityAt(nowMs) !== 'no');
  if (open.length === 0 && listed > 0) {
    const waitMs = Math.min(...all.map(replica => replica.remainingPauseMs(nowMs)));
    return {kind: 'paused', waitMs, listed};
  }
  const req: RouteRequest = {
    class: 'paid',
    zone: ctx.zone,
    prefixHash: 0,
    prefixSavingMs: 0,
    crossZoneMs: ctx.crossZoneMs,
    entries: ctx.gateways(),
    nowMs,
    excluded,
  };
  const candidatesLeft = open.filter(replica => !excluded.has(replica.id));
  const limited = candidatesLeft.filter(replica => replica.limit.kind === 'named');
  const unlimited = candidatesLeft.filter(replica => replica.limit.kind === 'none');
  const isFull = unlimited.every(replica => isSaturated(replica.asRouteCandidate(), req));
  if (isFull && limited.length > 0) ctx.limits.requestPermits(limited, ahead + 1);
  const permitted = isFull ? limited.filter(replica => ctx.limits.hasPermit(replica)) : [];
  const replicas = [...unlimited, ...permitted];
  if (replicas.length === 0 && limited.length > 0) {
    return {kind: 'limited', replicas: limited, listed};
  }
  const candidates = replicas.map(replica => replica.asRouteCandidate());
  const choice = chooseReplica(candidates, req, Math.random);
  if (choice.kind === 'none') return {kind: 'none', listed};
  const {index} = choice;
  return {kind: 'chosen', replica: replicas[index], candidate: candidates[index], listed};
}
