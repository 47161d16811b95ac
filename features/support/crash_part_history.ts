/** Simulates requests that share a crashing prompt part, sent to gateways that share failures. */
import fc from 'fast-check';
import {CrashRecord, partKey} from '@jasminepost/policy';

const GATEWAYS = 8;
const REPLICAS = 6;
const CRASHING_PART = partKey('dead');
const SOUND_PARTS = 5;
/** Longest time until what one gateway saw is known to the others. */
const MAX_SYNC_DELAY_MS = 600;
const MAX_RUN_MS = 500;
const MAX_INTERVAL_MS = 1500;
const MAX_REQUESTS = 90;
/** Time after which the fleet-wide lease for trying a key lapses. */
const TRIAL_LEASE_MS = 3000;
const CRASHES_TO_HOLD = 5;

interface PartRequest {
  readonly gateway: number;
  readonly replica: number;
  readonly isSound: boolean;
  readonly soundPart: number;
  /** Time since the previous request. */
  readonly afterMs: number;
  /** Time from the send until the response is complete or the replica crashes. */
  readonly runMs: number;
  readonly syncDelayMs: number;
}

interface RunningRequest {
  readonly request: PartRequest;
  readonly keys: readonly string[];
  readonly sentMs: number;
  isCut: boolean;
}

export const partRequests = fc.array(
  fc.record({
    gateway: fc.nat(GATEWAYS - 1),
    replica: fc.nat(REPLICAS - 1),
    isSound: fc.nat(3).map(n => n > 0),
    soundPart: fc.nat(SOUND_PARTS - 1),
    afterMs: fc.oneof(fc.constant(0), fc.nat(100), fc.nat(MAX_INTERVAL_MS)),
    runMs: fc.nat(MAX_RUN_MS),
    syncDelayMs: fc.nat(MAX_SYNC_DELAY_MS),
  }),
  {minLength: 30, maxLength: MAX_REQUESTS},
);

/** What happened to a series of requests. */
export interface PartHistory {
  /** Requests with the crashing part that were sent later than `contactMs` after the fifth crash. */
  readonly lateSends: number;
  /** Sound requests later than twice that after the deciding crash, and those of them held. */
  readonly soundAfter: number;
  readonly soundHeld: number;
}

export function playPartRequests(requests: readonly PartRequest[], contactMs: number): PartHistory {
  const records = Array.from({length: GATEWAYS}, (_, i) => new CrashRecord(`gateway-${i}`));
  const trialsUntilMs = new Map<string, number>();
  const events: Array<{readonly atMs: number; readonly run: () => void}> = [];
  const running = new Set<RunningRequest>();
  const crashedMs: number[] = [];
  const crashingSentMs: number[] = [];
  const soundOutcomes: Array<{readonly atMs: number; readonly isHeld: boolean}> = [];
  const schedule = (atMs: number, run: () => void) => {
    events.push({atMs, run});
    events.sort((a, b) => a.atMs - b.atMs);
  };

  const crash = (request: PartRequest, atMs: number) => {
    crashedMs.push(atMs);
    const replica = `i-${crashedMs.length}`;
    for (const cut of [...running].filter(other => other.request.replica === request.replica)) {
      cut.isCut = true;
      running.delete(cut);
      for (const key of cut.keys) {
        const failure = {replica, sentMs: cut.sentMs, atMs};
        records[cut.request.gateway].add(key, failure);
        schedule(atMs + cut.request.syncDelayMs, () =>
          records.forEach(record => record.add(key, failure)),
        );
      }
    }
  };

  const end = (run: RunningRequest, atMs: number) => {
    if (run.isCut) return;
    const {request, keys} = run;
    if (!request.isSound) {
      crash(request, atMs);
      return;
    }
    running.delete(run);
    for (const key of keys) records[request.gateway].complete(key, atMs);
    schedule(atMs + request.syncDelayMs, () => {
      for (const record of records) for (const key of keys) record.complete(key, atMs);
    });
  };

  const arrive = (request: PartRequest, index: number, nowMs: number) => {
    const soundKey = partKey(`sound-${request.soundPart}`);
    const keys = [`request-${index}`, ...(request.isSound ? [] : [CRASHING_PART]), soundKey];
    const decision = records[request.gateway].decide(keys, nowMs);
    const trialKeys = decision.kind === 'trial' ? decision.keys : [];
    const isOnTrial = trialKeys.some(key => (trialsUntilMs.get(key) ?? 0) > nowMs);
    if (request.isSound) soundOutcomes.push({atMs: nowMs, isHeld: decision.kind === 'hold'});
    if (decision.kind === 'hold' || isOnTrial) return;
    for (const key of trialKeys) trialsUntilMs.set(key, nowMs + TRIAL_LEASE_MS);
    if (!request.isSound) crashingSentMs.push(nowMs);
    const run = {request, keys, sentMs: nowMs, isCut: false};
    running.add(run);
    schedule(nowMs + request.runMs, () => end(run, nowMs + request.runMs));
  };

  let atMs = 0;
  for (const [index, request] of requests.entries()) {
    atMs += request.afterMs;
    const arrivedMs = atMs;
    schedule(arrivedMs, () => arrive(request, index, arrivedMs));
  }
  while (events.length > 0) events.shift()!.run();
  const decidingMs = crashedMs[Math.min(crashedMs.length, CRASHES_TO_HOLD) - 1] ?? Infinity;
  const after = soundOutcomes.filter(sound => sound.atMs > decidingMs + 2 * contactMs);
  const hasFifth = crashedMs.length >= CRASHES_TO_HOLD;
  return {
    lateSends: hasFifth ? crashingSentMs.filter(sent => sent > decidingMs + contactMs).length : 0,
    soundAfter: after.length,
    soundHeld: after.filter(({isHeld}) => isHeld).length,
  };
}
