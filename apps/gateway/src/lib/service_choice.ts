/** Chooses a replica of a plain service. */
import {chooseReplica, type RouteCandidate} from '@jasminepost/policy';
import type {GatewayContext} from './gateway_context.ts';
import type {Replica} from './replica.ts';

/** @internal */
export type ServiceChoice =
  | {readonly kind: 'chosen'; readonly replica: Replica; readonly candidate: RouteCandidate}
  | {readonly kind: 'none'; readonly listed: number};

/** Plain services know no classes of requests; all count as paid. @internal */
export function chooseServiceReplica(
  ctx: GatewayContext,
  service: string,
  excluded: ReadonlySet<string>,
): ServiceChoice {
  const replicas = ctx.table.ofService(service);
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
      nowMs: ctx.clock.monotonicMs(),
      excluded,
    },
    Math.random,
  );
  if (choice.kind === 'none') return {kind: 'none', listed: replicas.length};
  return {kind: 'chosen', replica: replicas[choice.index], candidate: candidates[choice.index]};
}
