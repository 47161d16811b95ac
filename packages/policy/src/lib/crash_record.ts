/** Which replicas ended under which request, and whether the request may be sent again. */
import {fnv1a32} from '@jasminepost/core';

/** One replica that ended, or lost the connection, while it ran the request. Times in milliseconds. @public */
export interface ReplicaFailure {
  /** Id and start of the replica: an incarnation ends once, however many copies ran on it. */
  readonly replica: string;
  readonly sentMs: number;
  readonly atMs: number;
}

/** @public */
export type CrashDecision =
  | {readonly kind: 'free'}
  /** One copy at a time, over all processes, may be tried. */
  | {readonly kind: 'trial'}
  | {readonly kind: 'hold'; readonly retryAfterMs: number};

/** Endings one after the other at which a request is held. */
const MAX_SERIAL_FAILURES = 2;
/** Endings at which a request is tried by one copy at a time, however they overlap. */
const MAX_OVERLAPPING_FAILURES = 3;
/** First hold; it doubles with each further ending. */
const BASE_HOLD_MS = 60_000;
const MAX_HOLD_MS = 3_600_000;
/** Endings are kept for this long beside the hold. */
const RETENTION_MS = 600_000;
const MAX_REQUESTS = 10_000;

/** @public */
export class CrashRecord {
  private readonly requests = new Map<string, Map<string, ReplicaFailure>>();

  /** @param processId - This process's id; it spreads the ends of holds over a fleet. */
  constructor(private readonly processId: string) {}

  /** Adds an ending; false when it was known. */
  add(fingerprint: string, failure: ReplicaFailure): boolean {
    const failures = this.requests.get(fingerprint) ?? new Map<string, ReplicaFailure>();
    if (failures.has(failure.replica)) return false;
    failures.set(failure.replica, failure);
    // The requests that ended replicas last are kept longest.
    this.requests.delete(fingerprint);
    this.requests.set(fingerprint, failures);
    if (this.requests.size > MAX_REQUESTS) {
      this.requests.delete(this.requests.keys().next().value!);
    }
    return true;
  }

  /** Takes an ending back, because the replica turned out to live. */
  withdraw(fingerprint: string, replica: string): void {
    const failures = this.requests.get(fingerprint);
    failures?.delete(replica);
    if (failures?.size === 0) this.requests.delete(fingerprint);
  }

  /** Forgets a request that a replica has run to its end; false when nothing was known of it. */
  clear(fingerprint: string): boolean {
    return this.requests.delete(fingerprint);
  }

  /** True when no request is suspected, which is nearly always so. */
  get isEmpty(): boolean {
    return this.requests.size === 0;
  }

  failuresOf(fingerprint: string): readonly ReplicaFailure[] {
    return [...(this.requests.get(fingerprint)?.values() ?? [])];
  }

  /** Everything known, to tell a process that has just come. */
  list(nowMs: number): ReadonlyArray<readonly [string, readonly ReplicaFailure[]]> {
    return [...this.requests.keys()].flatMap(fingerprint => {
      const failures = this.retainedFailures(fingerprint, nowMs);
      return failures.length === 0 ? [] : [[fingerprint, failures] as const];
    });
  }

  /**
   * Answers a request that crashes whatever runs it and comes again, at any process, also many times
   * at once: two endings in a row hold it. Replicas that end together tell little of the requests
   * that ran on all of them, so these are tried again, but by one copy at a time.
   *
   * @example
   * if (record.decide(fingerprint, clock.monotonicMs()).kind === 'hold') refuse();
   */
  decide(fingerprint: string, nowMs: number): CrashDecision {
    const failures = this.retainedFailures(fingerprint, nowMs);
    if (failures.length === 0) return {kind: 'free'};
    const serialFailures = countSerialFailures(failures);
    if (serialFailures >= MAX_SERIAL_FAILURES) {
      const untilMs = lastFailureMs(failures) + this.holdMs(fingerprint, serialFailures);
      if (untilMs > nowMs) return {kind: 'hold', retryAfterMs: Math.ceil(untilMs - nowMs)};
    } else if (failures.length < MAX_OVERLAPPING_FAILURES) {
      return {kind: 'free'};
    }
    return {kind: 'trial'};
  }

  /** Processes end a hold at different times, so that one of them tries first. */
  private holdMs(fingerprint: string, serialFailures: number): number {
    const holdMs = Math.min(
      MAX_HOLD_MS,
      BASE_HOLD_MS * 2 ** (serialFailures - MAX_SERIAL_FAILURES),
    );
    return holdMs * (1 + fnv1a32(`${this.processId}/${fingerprint}`) / 2 ** 32);
  }

  /** Endings of a request, unless the last of them is long past. */
  private retainedFailures(fingerprint: string, nowMs: number): readonly ReplicaFailure[] {
    const failures = this.failuresOf(fingerprint);
    if (failures.length === 0) return failures;
    const retentionMs = RETENTION_MS + 2 * this.holdMs(fingerprint, countSerialFailures(failures));
    if (nowMs - lastFailureMs(failures) <= retentionMs) return failures;
    this.requests.delete(fingerprint);
    return [];
  }
}

/** Endings each of which came of a copy that was sent after the one before. */
function countSerialFailures(failures: readonly ReplicaFailure[]): number {
  let count = 0;
  let lastMs = Number.NEGATIVE_INFINITY;
  for (const {sentMs, atMs} of [...failures].sort((a, b) => a.atMs - b.atMs)) {
    if (sentMs < lastMs) continue;
    count += 1;
    lastMs = atMs;
  }
  return count;
}

function lastFailureMs(failures: readonly ReplicaFailure[]): number {
  return Math.max(...failures.map(({atMs}) => atMs));
}
