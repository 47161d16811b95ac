/** Simulates a request that crashes every replica, sent to gateways that share failures. */
import fc from 'fast-check';
import {CrashRecord, type ReplicaFailure} from '@jasminepost/policy';

const FINGERPRINT = 'f1';
/** Longest time until a failure seen by one gateway is known to the others. */
const MAX_SYNC_DELAY_MS = 600;
const MAX_RUN_MS = 500;
const MAX_INTERVAL_MS = 8000;
const MAX_REQUESTS = 60;
/** Time after which the fleet-wide lease for trying a suspect lapses. */
const TRIAL_LEASE_MS = 3000;
const TRIAL_RETRY_MS = 250;
const MAX_TRIAL_RETRIES = 4;

interface SuspectRequest {
  readonly gateway: number;
  /** Time since the previous request. */
  readonly afterMs: number;
  /** Time from the send until its replica crashes. */
  readonly runMs: number;
  readonly syncDelayMs: number;
}

/** A future event at one gateway or at all of them. */
interface ScheduledEvent {
  readonly atMs: number;
  readonly run: () => void;
}

export const suspectRequests = fc.array(
  fc.record({
    gateway: fc.nat(7),
    afterMs: fc.oneof(fc.constant(0), fc.nat(200), fc.nat(MAX_INTERVAL_MS)),
    runMs: fc.nat(MAX_RUN_MS),
    syncDelayMs: fc.nat(MAX_SYNC_DELAY_MS),
  }),
  {minLength: 8, maxLength: MAX_REQUESTS},
);

/** @returns Number of sends later than `contactMs` after the third replica failure. */
export function countSendsAfterThirdCrash(
  requests: readonly SuspectRequest[],
  contactMs: number,
): number {
  const records = Array.from({length: 8}, (_, i) => new CrashRecord(`gateway-${i}`));
  let trialLeaseUntilMs = 0;
  const events: ScheduledEvent[] = [];
  const sentMs: number[] = [];
  const crashedMs: number[] = [];
  const schedule = (atMs: number, run: () => void) => {
    events.push({atMs, run});
    events.sort((a, b) => a.atMs - b.atMs);
  };
  const send = (request: SuspectRequest, nowMs: number) => {
    sentMs.push(nowMs);
    const atMs = nowMs + request.runMs;
    const failure: ReplicaFailure = {replica: `i-${sentMs.length}`, sentMs: nowMs, atMs};
    schedule(atMs, () => {
      crashedMs.push(atMs);
      records[request.gateway].add(FINGERPRINT, failure);
      const syncAll = () => records.forEach(record => record.add(FINGERPRINT, failure));
      schedule(atMs + request.syncDelayMs, syncAll);
    });
  };
  const arrive = (request: SuspectRequest, nowMs: number, retries: number) => {
    const decision = records[request.gateway].decide([FINGERPRINT], nowMs);
    if (decision.kind === 'free') send(request, nowMs);
    if (decision.kind !== 'trial' || retries === MAX_TRIAL_RETRIES) return;
    if (nowMs >= trialLeaseUntilMs) {
      trialLeaseUntilMs = nowMs + TRIAL_LEASE_MS;
      send(request, nowMs);
    } else {
      schedule(nowMs + TRIAL_RETRY_MS, () => arrive(request, nowMs + TRIAL_RETRY_MS, retries + 1));
    }
  };
  let atMs = 0;
  for (const request of requests) {
    atMs += request.afterMs;
    const arrivedMs = atMs;
    schedule(arrivedMs, () => arrive(request, arrivedMs, 0));
  }
  while (events.length > 0) events.shift()!.run();
  if (crashedMs.length < 3) return 0;
  return sentMs.filter(sent => sent > crashedMs[2] + contactMs).length;
}
