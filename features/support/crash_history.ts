/** A request that crashes whatever runs it, sent again and again to gateways that tell each other. */
import fc from 'fast-check';
import {CrashRecord, type ReplicaFailure} from '@jasminepost/policy';

const FINGERPRINT = 'f1';
/** The gateways' word of an ending reaches the others within this. */
const MAX_NEWS_MS = 600;
const MAX_RUN_MS = 500;
const MAX_PAUSE_MS = 8000;
const MAX_COPIES = 60;
/** The fleet's leave to try a request lapses after this. */
const TRIAL_MS = 3000;
const LOOK_MS = 250;
const LOOKS = 4;

interface Copy {
  readonly gateway: number;
  /** Time since the copy before. */
  readonly afterMs: number;
  /** Time that its replica takes to end. */
  readonly runMs: number;
  readonly newsMs: number;
}

/** What is yet to happen at a gateway, or at all of them. */
interface Event {
  readonly atMs: number;
  readonly run: () => void;
}

export const copies = fc.array(
  fc.record({
    gateway: fc.nat(7),
    afterMs: fc.oneof(fc.constant(0), fc.nat(200), fc.nat(MAX_PAUSE_MS)),
    runMs: fc.nat(MAX_RUN_MS),
    newsMs: fc.nat(MAX_NEWS_MS),
  }),
  {minLength: 8, maxLength: MAX_COPIES},
);

/** @returns Sends that reached a replica later than `contactMs` after the third replica had ended. */
export function sendsAfterThird(series: readonly Copy[], contactMs: number): number {
  const records = Array.from({length: 8}, (_, i) => new CrashRecord(`gateway-${i}`));
  let leaveUntilMs = 0;
  const events: Event[] = [];
  const sentMs: number[] = [];
  const endedMs: number[] = [];
  const at = (atMs: number, run: () => void) => {
    events.push({atMs, run});
    events.sort((a, b) => a.atMs - b.atMs);
  };
  const send = (copy: Copy, nowMs: number) => {
    sentMs.push(nowMs);
    const atMs = nowMs + copy.runMs;
    const ending: ReplicaFailure = {replica: `i-${sentMs.length}`, sentMs: nowMs, atMs};
    at(atMs, () => {
      endedMs.push(atMs);
      records[copy.gateway].add(FINGERPRINT, ending);
      const tell = () => records.forEach(record => record.add(FINGERPRINT, ending));
      at(atMs + copy.newsMs, tell);
    });
  };
  const arrive = (copy: Copy, nowMs: number, looks: number) => {
    const decision = records[copy.gateway].decide(FINGERPRINT, nowMs);
    if (decision.kind === 'free') send(copy, nowMs);
    if (decision.kind !== 'trial' || looks === LOOKS) return;
    if (nowMs >= leaveUntilMs) {
      leaveUntilMs = nowMs + TRIAL_MS;
      send(copy, nowMs);
    } else {
      at(nowMs + LOOK_MS, () => arrive(copy, nowMs + LOOK_MS, looks + 1));
    }
  };
  let atMs = 0;
  for (const copy of series) {
    atMs += copy.afterMs;
    const arrivedMs = atMs;
    at(arrivedMs, () => arrive(copy, arrivedMs, 0));
  }
  while (events.length > 0) events.shift()!.run();
  if (endedMs.length < 3) return 0;
  return sentMs.filter(sent => sent > endedMs[2] + contactMs).length;
}
