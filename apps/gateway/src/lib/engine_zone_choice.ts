/** Chooses the zone for a generation, and a model replica in it. */
import {
  chooseEngine,
  wouldBeLateBehind,
  type EngineCandidate,
  type EngineChoice,
  type EngineRequest,
  type QueuedRequest,
  type ZoneOffer,
} from '@jasminepost/policy';
import type {QueuedGeneration} from './generation_queue.ts';
import {zoneLogFields, type ZoneLogFields, type ZoneOverflows} from './zone_overflows.ts';
import {poolKey} from './zone_traffic.ts';

/** A replica that may serve the request, and the age of its load. @internal */
export interface AgedCandidate {
  readonly candidate: EngineCandidate;
  readonly ageMs: number;
}

/** `index` of the choice refers to all candidates. @internal */
export interface EngineZoneChoice {
  readonly choice: EngineChoice;
  readonly zoneFields: ZoneLogFields;
}

/**
 * Where replicas report their pace, the share of the model decides whether the request leaves the
 * zone, and each zone caches its own prefixes. Elsewhere leaving has a fixed cost.
 *
 * @internal
 */
export function chooseEngineByZone(
  overflows: ZoneOverflows,
  request: QueuedGeneration,
  candidates: readonly AgedCandidate[],
  engineRequest: EngineRequest,
  nowMs: number,
): EngineZoneChoice {
  if (!overflows.appliesTo(candidates, ({candidate}) => candidate.pace !== undefined)) {
    const all = candidates.map(({candidate}) => candidate);
    return {choice: chooseEngine(all, engineRequest), zoneFields: {}};
  }
  const chooseWhere = (isHome: boolean): EngineChoice => {
    const indexes = [...candidates.keys()].filter(
      index => (candidates[index].candidate.zone === overflows.zone) === isHome,
    );
    // A replica that has not reported its pace yet must not look faster than those that have.
    const found = indexes.map(index => {
      const {candidate} = candidates[index];
      return candidate.pace === undefined ? {...candidate, pace: 1} : candidate;
    });
    const choice = chooseEngine(found, {...engineRequest, crossZoneMs: 0});
    return choice.kind === 'chosen' ? {...choice, index: indexes[choice.index]} : choice;
  };
  const home = chooseWhere(true);
  const away = chooseWhere(false);
  const ageMs = Math.max(ageOf(home, candidates), ageOf(away, candidates));
  const isHomeTooLate =
    home.kind === 'chosen' && isLate(home, request, nowMs) && !isLate(away, request, nowMs);
  const pool = poolKey(request.service, request.generation.model);
  const decision = overflows.decide(pool, request, {
    nowMs,
    home: isHomeTooLate ? {kind: 'full'} : engineOffer(home),
    away: engineOffer(away),
    ageMs,
    waitedMs: nowMs - request.arrivedMs,
    prefixSavingMs: engineRequest.prefixSavingMs,
  });
  const choice = decision.kind === 'leave' ? away : home;
  return {choice, zoneFields: zoneLogFields(decision, ageMs)};
}

/** What a zone offers by the best of its replicas. @internal */
export function engineOffer(choice: EngineChoice): ZoneOffer {
  switch (choice.kind) {
    case 'chosen':
      return {kind: 'available', costMs: choice.costMs};
    case 'full':
      return {kind: 'full'};
    case 'none':
      return {kind: 'no_replica'};
  }
}

function ageOf(choice: EngineChoice, candidates: readonly AgedCandidate[]): number {
  return choice.kind === 'chosen' ? candidates[choice.index].ageMs : 0;
}

function isLate(choice: EngineChoice, request: QueuedRequest, nowMs: number): boolean {
  return choice.kind !== 'chosen' || wouldBeLateBehind(request, choice.backlogMs, nowMs);
}
