/** Runs the gateway's choice of a zone, and its count of bytes, on given replicas. */
import {CounterFamily} from '@jasminepost/core';
import type {EngineCandidate, RouteCandidate} from '@jasminepost/policy';
import {EMPTY_GENERATION} from '@jasminepost/serving';
import {chooseEngineByZone} from '../../apps/gateway/src/lib/engine_zone_choice.ts';
import type {ServiceKind} from '../../apps/gateway/src/lib/gateway_metrics.ts';
import type {QueuedGeneration} from '../../apps/gateway/src/lib/generation_queue.ts';
import type {Replica} from '../../apps/gateway/src/lib/replica.ts';
import {chooseReplicaByZone} from '../../apps/gateway/src/lib/service_zone_choice.ts';
import {ZoneOverflows} from '../../apps/gateway/src/lib/zone_overflows.ts';
import {ZoneTraffic} from '../../apps/gateway/src/lib/zone_traffic.ts';
import {SeededRandom} from '../../bench/random.ts';

export type ReplicaKind = 'models' | 'service replicas';

const HOME = 'zone-a';
const ZONES = [HOME, 'zone-b'];
const BASE_MS = 50;

interface ChoiceLoad {
  readonly count: number;
  readonly stepMs: number;
  readonly slowerMs: number;
}

/** Returns the logged reason of each request; `none` without the fields of the share. */
export function chooseByZone(
  kind: ReplicaKind,
  {count, stepMs, slowerMs}: ChoiceLoad,
  isEnabled: boolean,
  reportsPace: boolean,
): string[] {
  const overflows = new ZoneOverflows({
    zone: HOME,
    roundTripMs: 3,
    msPerMb: 2000,
    isEnabled,
    traffic: {expectedBytes: () => 20_000},
    // Low draws: the share need not be large for a request to leave.
    random: () => 0.1 * new SeededRandom(1).uniform(),
  });
  return Array.from({length: count}, (_, index) => {
    const nowMs = 1000 + index * stepMs;
    const costs = ZONES.map(zone => BASE_MS + (zone === HOME ? slowerMs : 0));
    const {zoneFields} =
      kind === 'models'
        ? chooseModel(overflows, costs, reportsPace, nowMs)
        : chooseService(overflows, costs, reportsPace, nowMs);
    return String(zoneFields['leaveReason'] ?? 'none');
  });
}

function chooseModel(
  overflows: ZoneOverflows,
  costs: readonly number[],
  reportsPace: boolean,
  nowMs: number,
) {
  const request = {
    service: 'models',
    generation: {...EMPTY_GENERATION, model: 'draft'},
    arrivedMs: nowMs,
    sendByMs: nowMs + 10_000,
  } as QueuedGeneration;
  const candidates = ZONES.map((zone, index): {candidate: EngineCandidate; ageMs: number} => ({
    candidate: {
      id: zone,
      idHash: index,
      zone,
      hasAdapter: false,
      awaitingFirstEvent: 0,
      active: 0,
      slots: 8,
      kvUsed: 0,
      kvTotal: 1000,
      backlogMs: 0,
      pace: reportsPace ? costs[index] / BASE_MS : undefined,
    },
    ageMs: 0,
  }));
  const engineRequest = {
    zone: HOME,
    prefixHash: 0,
    adapterHash: 0,
    prefixSavingMs: 0,
    prefillMs: BASE_MS,
    tokens: 10,
    maxBacklogMs: 220,
  };
  return chooseEngineByZone(overflows, request, candidates, engineRequest, nowMs);
}

function chooseService(
  overflows: ZoneOverflows,
  costs: readonly number[],
  reportsPace: boolean,
  nowMs: number,
) {
  const candidates = ZONES.map((zone, index): RouteCandidate => ({
    id: zone,
    idHash: index,
    zone,
    reportedPaid: 0,
    reportedTrial: 0,
    serviceMs: costs[index],
    reportsPace,
    reportedMs: nowMs,
    ownInFlight: 0,
    ownAtReport: 0,
    slots: 8,
    isBlocked: () => false,
  }));
  const req = {
    class: 'paid',
    zone: HOME,
    prefixHash: 0,
    prefixSavingMs: 0,
    crossZoneMs: 3,
    entries: 27,
    nowMs,
    excluded: new Set<string>(),
  } as const;
  return chooseReplicaByZone(overflows, {service: 'orders'}, candidates, req);
}

/** Counts attempts at replicas of a plain service. */
export function countTraffic(bodyBytes: number) {
  const metrics = {
    zoneRequests: new CounterFamily<ServiceKind>('zone_requests', '', 'kind'),
    zoneBytes: new CounterFamily<ServiceKind>('zone_bytes', '', 'kind'),
  };
  const zoneTraffic = new ZoneTraffic({zone: HOME, metrics, engineOf: () => undefined});
  return {
    metrics,
    expectedBytes: () => zoneTraffic.expectedBytes('orders'),
    attempt(zone: string, responseBytes: number): void {
      const replica = {
        entry: {zone, service: 'orders'},
        paceAt: () => undefined,
        backlogMs: () => 0,
        onAwaiting: () => undefined,
      } as unknown as Replica;
      const body = Buffer.alloc(bodyBytes);
      const attempt = zoneTraffic.startAttempt(replica, 0, body, undefined, 0);
      attempt.responseBytes += responseBytes;
      attempt.end();
      attempt.end();
    },
  };
}
