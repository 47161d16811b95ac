/** Chooses the zone for a request to a plain service, and a replica in it. */
import {
  chooseReplica,
  type RouteCandidate,
  type RouteChoice,
  type RouteRequest,
  type ZoneOffer,
} from '@jasminepost/policy';
import type {QueuedServiceRequest} from './service_queue.ts';
import {zoneLogFields, type ZoneLogFields, type ZoneOverflows} from './zone_overflows.ts';
import {poolKey} from './zone_traffic.ts';

/** `index` of the choice refers to all candidates. @internal */
export interface ServiceZoneChoice {
  readonly choice: RouteChoice;
  readonly zoneFields: ZoneLogFields;
}

/**
 * Where replicas report their pace, the share of the service decides whether the request leaves the
 * zone. Elsewhere leaving costs the round trip.
 *
 * @internal
 */
export function chooseReplicaByZone(
  overflows: ZoneOverflows,
  request: Pick<QueuedServiceRequest, 'service'>,
  candidates: readonly RouteCandidate[],
  req: RouteRequest,
): ServiceZoneChoice {
  const {nowMs} = req;
  const closed = [...candidates.keys()].filter(index => !candidates[index].isBlocked(nowMs));
  const reportsPace = (candidate: RouteCandidate) => candidate.reportsPace === true;
  if (closed.length === 0 || !overflows.appliesTo(candidates, reportsPace)) {
    return {choice: chooseReplica(candidates, req, Math.random), zoneFields: {}};
  }
  const chooseWhere = (isHome: boolean): RouteChoice => {
    const indexes = closed.filter(index => (candidates[index].zone === overflows.zone) === isHome);
    // A replica that has not reported its pace yet must not look faster than those that have.
    const found = indexes.map(index => ({...candidates[index], reportsPace: true}));
    const choice = chooseReplica(found, {...req, crossZoneMs: 0}, Math.random);
    return choice.kind === 'chosen' ? {...choice, index: indexes[choice.index]} : choice;
  };
  const home = chooseWhere(true);
  const away = chooseWhere(false);
  const ageOf = (choice: RouteChoice) =>
    choice.kind === 'chosen' ? nowMs - candidates[choice.index].reportedMs : 0;
  const ageMs = Math.max(ageOf(home), ageOf(away));
  const decision = overflows.decide(poolKey(request.service, undefined), request, {
    nowMs,
    home: offerOf(home),
    away: offerOf(away),
    ageMs,
    waitedMs: 0,
    prefixSavingMs: 0,
  });
  const choice = decision.kind === 'leave' ? away : home;
  return {choice, zoneFields: zoneLogFields(decision, ageMs)};
}

function offerOf(choice: RouteChoice): ZoneOffer {
  return choice.kind === 'chosen'
    ? {kind: 'available', costMs: choice.costMs}
    : {kind: 'no_replica'};
}
