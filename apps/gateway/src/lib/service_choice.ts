/** Chooses a replica of a plain service. */
import {chooseReplica, type RouteCandidate} from '@jasminepost/policy';
import type {GatewayContext} from './gateway_context.ts';
import type {Replica} from './replica.ts';

/** @internal */
export type ServiceChoice =
  | {readonly kind: 'chosen'; readonly replica: Replica; readonly candidate: RouteCandidate}
  /** All have asked for a pause. */
  | {readonly kind: 'paused'; readonly waitMs: number; readonly listed: number}
  | {readonly kind: 'none'; readonly listed: number};

/** Plain services know no classes of requests; all count as paid. @internal */
export function chooseServiceReplica(
  ctx: GatewayContext,
  service: string,
  excluded: ReadonlySet<string>,
): ServiceChoice {
  const nowMs = ctx.clock.monotonicMs();
  const listed = ctx.table.ofService(service);
  const replicas = listed.filter(replica => replica.mayTake(nowMs) !== 'no');
  if (replicas.length === 0 && listed.length > 0) {
    const waitMs = Math.min(...listed.map(replica => replica.pauseLeftMs(nowMs)));
    return {kind: 'paused', waitMs, listed: listed.length};
  }
  const candidates = replicas.map(replica => replica.asRouteCandidate());
  const choice = chooseReplica(
    candidates,
    {
      class: 'paid',
      zone: ctx.zone,
      prefixHash: 0,
      prefixSavingMs: 0,
      crossZoneMs: ctx.crossZoneMs,
      entries: ctx.gateways(),
      nowMs,
      excluded,
    },
    Math.random,
  );
  if (choice.kind === 'none') return {kind: 'none', listed: listed.length};
  return {kind: 'chosen', replica: replicas[choice.index], candidate: candidates[choice.index]};
}
