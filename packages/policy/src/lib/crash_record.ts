/** Records which replicas failed while running requests, and which requests may be sent again. */
import {fnv1a32} from '@jasminepost/core';
import {CompletedParts} from './completed_parts.ts';

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
  /** One attempt at a time may be made for each of these keys, over all processes. */
  | {readonly kind: 'trial'; readonly keys: readonly string[]}
  | {readonly kind: 'hold'; readonly retryAfterMs: number};

/** Numbers of failures from which a key is restricted. */
interface Thresholds {
  /** Failures, whether they overlap or not, at which only one attempt at a time is made. */
  readonly trialFailures: number;
  /** The same for failures in series: attempts that were sent after the previous failure. */
  readonly trialSerialFailures: number;
  /** Failures in series at which no attempt is made for a time. */
  readonly holdSerialFailures: number;
}

/**
 * `new_part`: part of a prompt that no request completed here holds. `known_part`: one that such a
 * request holds. Many requests share a known part, so that it is often in progress on a replica
 * that fails for another reason.
 */
type SuspectKind = 'request' | 'new_part' | 'known_part';

const THRESHOLDS: Readonly<Record<SuspectKind, Thresholds>> = {
  request: {trialFailures: 3, trialSerialFailures: 2, holdSerialFailures: 2},
  new_part: {trialFailures: 1, trialSerialFailures: 1, holdSerialFailures: 2},
  known_part: {
    trialFailures: Number.POSITIVE_INFINITY,
    trialSerialFailures: 2,
    holdSerialFailures: 3,
  },
};
/** First hold time; it doubles with each further failure. */
const BASE_HOLD_MS = 60_000;
const MAX_HOLD_MS = 3_600_000;
/** Failures are kept for this long in addition to the hold time. */
const RETENTION_MS = 600_000;
const MAX_KEYS = 10_000;
const PART_PREFIX = 'part:';

/**
 * Key of a prompt part.
 *
 * @example
 * record.add(partKey('5c1e07a2'), failure);
 * @public
 */
export function partKey(id: string): string {
  return PART_PREFIX + id;
}

/** @public */
export function isPartKey(key: string): boolean {
  return key.startsWith(PART_PREFIX);
}

/**
 * Evidence against requests and prompt parts. A failure counts against each key of the requests
 * that were running: the request itself and its shared prompt parts. A completed request clears its
 * keys.
 *
 * @public
 */
export class CrashRecord {
  private readonly failuresByKey = new Map<string, Map<string, ReplicaFailure>>();
  /** Keys with a failure of each replica. */
  private readonly keysByReplica = new Map<string, Set<string>>();
  private readonly completedParts = new CompletedParts();

  /** @param processId - This process's id, from which the jitter of its hold times is derived. */
  constructor(private readonly processId: string) {}

  /** Adds a failure; false when it is already known, or older than a completed request. */
  add(key: string, failure: ReplicaFailure): boolean {
    const failures = this.failuresByKey.get(key) ?? new Map<string, ReplicaFailure>();
    if (failures.has(failure.replica)) return false;
    const completedMs = this.completedParts.completedMs(key);
    if (completedMs !== undefined && completedMs >= failure.atMs) return false;
    failures.set(failure.replica, failure);
    // Re-inserting keeps the map in order of the last failure, so that the oldest is dropped.
    this.failuresByKey.delete(key);
    this.failuresByKey.set(key, failures);
    const keys = this.keysByReplica.get(failure.replica) ?? new Set<string>();
    this.keysByReplica.set(failure.replica, keys.add(key));
    if (this.failuresByKey.size > MAX_KEYS) {
      this.clear(this.failuresByKey.keys().next().value!);
    }
    return true;
  }

  /** Removes a failure, because the replica has turned out to be alive. */
  withdraw(key: string, replica: string): void {
    const failures = this.failuresByKey.get(key);
    if (failures?.delete(replica) === true) this.forgetReplicaKey(replica, key);
    if (failures?.size === 0) this.failuresByKey.delete(key);
  }

  /**
   * Records that a replica has completed a request with the key, which clears earlier failures.
   *
   * @returns False when there were none.
   */
  complete(key: string, atMs: number): boolean {
    if (isPartKey(key)) this.completedParts.add(key, atMs);
    const failures = this.failuresOf(key);
    const earlier = failures.filter(failure => failure.atMs <= atMs);
    for (const {replica} of earlier) this.withdraw(key, replica);
    return earlier.length > 0;
  }

  /** Latest time at which a request with the part was completed; undefined if none is known. */
  completedMs(key: string): number | undefined {
    return this.completedParts.completedMs(key);
  }

  /** True when there are no suspects, which is nearly always the case. */
  get isEmpty(): boolean {
    return this.failuresByKey.size === 0;
  }

  failuresOf(key: string): readonly ReplicaFailure[] {
    return [...(this.failuresByKey.get(key)?.values() ?? [])];
  }

  /** All failures, to send to a process that has just joined. */
  list(nowMs: number): ReadonlyArray<readonly [string, readonly ReplicaFailure[]]> {
    return [...this.failuresByKey.keys()].flatMap(key => {
      const failures = this.retainedFailures(key, nowMs);
      return failures.length === 0 ? [] : [[key, failures] as const];
    });
  }

  /**
   * Handles requests that crash every replica that runs them, whether the same request is sent
   * again, or others that share the prompt part which causes the crash, to any process and even
   * many at once: a key is held after failures in series. Replicas that fail together say little
   * about the requests that ran on all of them, so these are tried again, but only one attempt at a
   * time.
   *
   * @param keys - Of the request itself and of its shared prompt parts.
   * @example
   * if (record.decide(keys, clock.monotonicMs()).kind === 'hold') refuse();
   */
  decide(keys: readonly string[], nowMs: number): CrashDecision {
    const trialKeys: string[] = [];
    let retryAfterMs = 0;
    for (const key of keys) {
      const failures = this.retainedFailures(key, nowMs);
      if (failures.length === 0) continue;
      const unexplained = failures.filter(({replica}) => !this.isExplained(key, replica));
      const serialFailures = countSerialFailures(unexplained);
      const thresholds = THRESHOLDS[this.kindOf(key)];
      if (serialFailures >= thresholds.holdSerialFailures) {
        const untilMs = lastFailureMs(unexplained) + this.holdMs(key, serialFailures);
        retryAfterMs = Math.max(retryAfterMs, Math.ceil(untilMs - nowMs));
      }
      if (
        unexplained.length >= thresholds.trialFailures ||
        serialFailures >= thresholds.trialSerialFailures
      )
        trialKeys.push(key);
    }
    if (retryAfterMs > 0) return {kind: 'hold', retryAfterMs};
    return trialKeys.length > 0 ? {kind: 'trial', keys: trialKeys} : {kind: 'free'};
  }

  private kindOf(key: string): SuspectKind {
    if (!isPartKey(key)) return 'request';
    return this.completedParts.completedMs(key) === undefined ? 'new_part' : 'known_part';
  }

  /**
   * True when another key explains the replica's failure: one that is held and that was in progress
   * on more failed replicas than this one.
   */
  private isExplained(key: string, replica: string): boolean {
    const count = this.failuresByKey.get(key)!.size;
    for (const other of this.keysByReplica.get(replica) ?? []) {
      const failures = this.failuresByKey.get(other);
      if (failures === undefined || failures.size <= count) continue;
      const held = THRESHOLDS[this.kindOf(other)].holdSerialFailures;
      if (countSerialFailures([...failures.values()]) >= held) return true;
    }
    return false;
  }

  /** Holds end at different times in different processes, so that one of them tries first. */
  private holdMs(key: string, serialFailures: number): number {
    const {holdSerialFailures} = THRESHOLDS[this.kindOf(key)];
    const doublings = Math.max(0, serialFailures - holdSerialFailures);
    const holdMs = Math.min(MAX_HOLD_MS, BASE_HOLD_MS * 2 ** doublings);
    return holdMs * (1 + fnv1a32(`${this.processId}/${key}`) / 2 ** 32);
  }

  /** Failures of a key, unless the retention period since the last one is over. */
  private retainedFailures(key: string, nowMs: number): readonly ReplicaFailure[] {
    const failures = this.failuresOf(key);
    if (failures.length === 0) return failures;
    const retentionMs = RETENTION_MS + 2 * this.holdMs(key, countSerialFailures(failures));
    if (nowMs - lastFailureMs(failures) <= retentionMs) return failures;
    this.clear(key);
    return [];
  }

  private clear(key: string): void {
    for (const {replica} of this.failuresOf(key)) this.forgetReplicaKey(replica, key);
    this.failuresByKey.delete(key);
  }

  private forgetReplicaKey(replica: string, key: string): void {
    const keys = this.keysByReplica.get(replica);
    keys?.delete(key);
    if (keys?.size === 0) this.keysByReplica.delete(replica);
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
