/** Chooses a replica of a plain service. */
import {isSaturated, type RouteCandidate, type RouteRequest} from '@jasminepost/policy';
import type {GatewayContext} from './gateway_context.ts';
import type {Replica} from './replica.ts';
import type {QueuedServiceRequest} from './service_queue.ts';
import {chooseReplicaByZone} from './service_zone_choice.ts';
import type {ZoneLogFields} from './zone_overflows.ts';

/** Parts of a request that the choice depends on. */
/** Replicas that were tried are left out before the choice. */
const NONE_EXCLUDED: ReadonlySet<string> = new Set();

type ServiceRequest = Pick<QueuedServiceRequest, 'service' | 'excluded' | 'requiredVersion'>;

/** Result of the choice; `listed` is the number of usable replicas. @internal */
export type ServiceChoice = {readonly listed: number} & (
  | {
      readonly kind: 'chosen';
      readonly replica: Replica;
      readonly candidate: RouteCandidate;
      readonly zoneFields: ZoneLogFields;
    }
  /** All replicas are paused or otherwise accept no requests now. */
  | {readonly kind: 'paused'; readonly waitMs: number}
  /** All remaining replicas are rate-limited, and their limits are used up. */
  | {readonly kind: 'limited'; readonly replicas: readonly Replica[]}
  | {readonly kind: 'none'}
);

/**
 * Chooses a replica for a request. Plain services have no request classes, so all requests count as
 * paid. A rate limit is a sign of overload, so rate-limited replicas are used only while all others
 * are saturated.
 *
 * @param ahead - Queued requests for the same service that are served first.
 * @internal
 */
export function chooseServiceReplica(
  ctx: GatewayContext,
  request: ServiceRequest,
  ahead: number,
): ServiceChoice {
  const {service, excluded, requiredVersion} = request;
  const nowMs = ctx.clock.monotonicMs();
  const all = ctx.table
    .usableOf(service)
    .filter(replica => replica.mayServeVersion(requiredVersion));
  const listed = all.length;
  const accepting = all.filter(replica => replica.eligibilityAt(nowMs) !== 'no');
  if (accepting.length === 0 && listed > 0) {
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
    excluded: NONE_EXCLUDED,
  };
  const remaining = accepting.filter(replica => !excluded.has(replica.incarnation));
  const limited = remaining.filter(replica => replica.limit.kind === 'named');
  const unlimited = remaining.filter(replica => replica.limit.kind === 'none');
  const isFull = unlimited.every(replica => isSaturated(replica.asRouteCandidate(nowMs), req));
  if (isFull && limited.length > 0) ctx.limits.requestPermits(limited, ahead + 1);
  const permitted = isFull ? limited.filter(replica => ctx.limits.hasPermit(replica)) : [];
  const replicas = [...unlimited, ...permitted];
  if (replicas.length === 0 && limited.length > 0) {
    return {kind: 'limited', replicas: limited, listed};
  }
  const candidates = replicas.map(replica => replica.asRouteCandidate(nowMs));
  const {choice, zoneFields} = chooseReplicaByZone(ctx.zoneOverflows, request, candidates, req);
  if (choice.kind === 'none') return {kind: 'none', listed};
  const {index} = choice;
  const candidate = candidates[index];
  return {kind: 'chosen', replica: replicas[index], candidate, zoneFields, listed};
}
