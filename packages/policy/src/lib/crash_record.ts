/** Records which replicas failed while running a request, and whether it may be sent again. */
import {fnv1a32} from '@jasminepost/core';

/**
 * A replica that stopped, or lost its connection, while it ran a request. Times in milliseconds.
 *
 * @public
 */
export interface ReplicaFailure {
  /** Id and start time: an incarnation fails once, however often the request ran on it. */
  readonly replica: string;
  readonly sentMs: number;
  readonly atMs: number;
}

/** @public */
export type CrashDecision =
  | {readonly kind: 'free'}
  /** One attempt at a time may be made, over all processes. */
  | {readonly kind: 'trial'}
  | {readonly kind: 'hold'; readonly retryAfterMs: number};

/** Failures in series at which a request is held. */
const MAX_SERIAL_FAILURES = 2;
/** Failures, whether they overlap or not, at which only one attempt at a time is made. */
const MAX_OVERLAPPING_FAILURES = 3;
/** First hold time; it doubles with each further failure. */
const BASE_HOLD_MS = 60_000;
const MAX_HOLD_MS = 3_600_000;
/** Failures are kept for this long in addition to the hold time. */
const RETENTION_MS = 600_000;
const MAX_REQUESTS = 10_000;

/** @public */
export class CrashRecord {
  private readonly requests = new Map<string, Map<string, ReplicaFailure>>();

  /** @param processId - This process's id, from which the jitter of its hold times is derived. */
  constructor(private readonly processId: string) {}

  /** Adds a failure; false when it is already known. */
  add(fingerprint: string, failure: ReplicaFailure): boolean {
    const failures = this.requests.get(fingerprint) ?? new Map<string, ReplicaFailure>();
    if (failures.has(failure.replica)) return false;
    failures.set(failure.replica, failure);
    // Re-inserting keeps the map in order of the last failure, so that the oldest is dropped.
    this.requests.delete(fingerprint);
    this.requests.set(fingerprint, failures);
    if (this.requests.size > MAX_REQUESTS) {
      this.requests.delete(this.requests.keys().next().value!);
    }
    return true;
  }

  /** Removes a failure, because the replica has turned out to be alive. */
  withdraw(fingerprint: string, replica: string): void {
    const failures = this.requests.get(fingerprint);
    failures?.delete(replica);
    if (failures?.size === 0) this.requests.delete(fingerprint);
  }

  /** Removes a request that a replica has completed; false when it had no failures. */
  clear(fingerprint: string): boolean {
    return this.requests.delete(fingerprint);
  }

  /** True when there are no suspects, which is nearly always the case. */
  get isEmpty(): boolean {
    return this.requests.size === 0;
  }

  failuresOf(fingerprint: string): readonly ReplicaFailure[] {
    return [...(this.requests.get(fingerprint)?.values() ?? [])];
  }

  /** All failures, to send to a process that has just joined. */
  list(nowMs: number): ReadonlyArray<readonly [string, readonly ReplicaFailure[]]> {
    return [...this.requests.keys()].flatMap(fingerprint => {
      const failures = this.retainedFailures(fingerprint, nowMs);
      return failures.length === 0 ? [] : [[fingerprint, failures] as const];
    });
  }

  /**
   * Handles a request that crashes every replica that runs it and is sent again, to any process and
   * even many times at once: it is held after two failures in series. Replicas that fail together
   * say little about the requests that ran on all of them, so these are tried again, but only one
   * attempt at a time.
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

  /** Holds end at different times in different processes, so that one of them tries first. */
  private holdMs(fingerprint: string, serialFailures: number): number {
    const holdMs = Math.min(
      MAX_HOLD_MS,
      BASE_HOLD_MS * 2 ** (serialFailures - MAX_SERIAL_FAILURES),
    );
    return holdMs * (1 + fnv1a32(`${this.processId}/${fingerprint}`) / 2 ** 32);
  }

  /** Failures of a request, unless the retention period since the last one is over. */
  private retainedFailures(fingerprint: string, nowMs: number): readonly ReplicaFailure[] {
    const failures = this.failuresOf(fingerprint);
    if (failures.length === 0) return failures;
    const retentionMs = RETENTION_MS + 2 * this.holdMs(fingerprint, countSerialFailures(failures));
    if (nowMs - lastFailureMs(failures) <= retentionMs) return failures;
    this.requests.delete(fingerprint);
    return [];
  }
}

/** Counts failures of attempts that were sent after the previous counted failure. */
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
