/** Which replicas ended under which request, and whether the request may be sent again. */
import {fnv1a32} from '@jasminepost/core';

/** One replica that ended, or lost the connection, while it ran the request. Times in milliseconds. @public */
export interface CrashEnding {
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
const MAX_IN_SERIES = 2;
/** Endings at which a request is tried by one copy at a time, however they overlap. */
const MAX_AT_ONCE = 3;
/** First hold; it doubles with each further ending. */
const HOLD_MS = 60_000;
const MAX_HOLD_MS = 3_600_000;
/** Endings are kept for this long beside the hold. */
const MEMORY_MS = 600_000;
const MAX_REQUESTS = 10_000;

/** @public */
export class CrashRecord {
  private readonly requests = new Map<string, Map<string, CrashEnding>>();

  /** @param self - This process's id; it spreads the ends of holds over a fleet. */
  constructor(private readonly self: string) {}

  /** Adds an ending; false when it was known. */
  add(fingerprint: string, ending: CrashEnding): boolean {
    const known = this.requests.get(fingerprint) ?? new Map<string, CrashEnding>();
    if (known.has(ending.replica)) return false;
    known.set(ending.replica, ending);
    // The requests that ended replicas last are kept longest.
    this.requests.delete(fingerprint);
    this.requests.set(fingerprint, known);
    if (this.requests.size > MAX_REQUESTS) {
      this.requests.delete(this.requests.keys().next().value!);
    }
    return true;
  }

  /** Takes an ending back, because the replica turned out to live. */
  withdraw(fingerprint: string, replica: string): void {
    const known = this.requests.get(fingerprint);
    known?.delete(replica);
    if (known?.size === 0) this.requests.delete(fingerprint);
  }

  /** Forgets a request that a replica has run to its end; false when nothing was known of it. */
  clear(fingerprint: string): boolean {
    return this.requests.delete(fingerprint);
  }

  /** True when no request is suspected, which is nearly always so. */
  get isEmpty(): boolean {
    return this.requests.size === 0;
  }

  endingsOf(fingerprint: string): readonly CrashEnding[] {
    return [...(this.requests.get(fingerprint)?.values() ?? [])];
  }

  /** Everything known, to tell a process that has just come. */
  list(nowMs: number): ReadonlyArray<readonly [string, readonly CrashEnding[]]> {
    return [...this.requests.keys()].flatMap(fingerprint => {
      const endings = this.kept(fingerprint, nowMs);
      return endings.length === 0 ? [] : [[fingerprint, endings] as const];
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
    const endings = this.kept(fingerprint, nowMs);
    if (endings.length === 0) return {kind: 'free'};
    const series = inSeries(endings);
    if (series >= MAX_IN_SERIES) {
      const untilMs = lastMs(endings) + this.holdMs(fingerprint, series);
      if (untilMs > nowMs) return {kind: 'hold', retryAfterMs: Math.ceil(untilMs - nowMs)};
    } else if (endings.length < MAX_AT_ONCE) {
      return {kind: 'free'};
    }
    return {kind: 'trial'};
  }

  /** Processes end a hold at different times, so that one of them tries first. */
  private holdMs(fingerprint: string, series: number): number {
    const holdMs = Math.min(MAX_HOLD_MS, HOLD_MS * 2 ** (series - MAX_IN_SERIES));
    return holdMs * (1 + fnv1a32(`${this.self}/${fingerprint}`) / 2 ** 32);
  }

  /** Endings of a request, unless the last of them is long past. */
  private kept(fingerprint: string, nowMs: number): readonly CrashEnding[] {
    const endings = this.endingsOf(fingerprint);
    if (endings.length === 0) return endings;
    const keptMs = MEMORY_MS + 2 * this.holdMs(fingerprint, inSeries(endings));
    if (nowMs - lastMs(endings) <= keptMs) return endings;
    this.requests.delete(fingerprint);
    return [];
  }
}

/** Endings each of which came of a copy that was sent after the one before. */
function inSeries(endings: readonly CrashEnding[]): number {
  let count = 0;
  let endedMs = Number.NEGATIVE_INFINITY;
  for (const {sentMs, atMs} of [...endings].sort((a, b) => a.atMs - b.atMs)) {
    if (sentMs < endedMs) continue;
    count += 1;
    endedMs = atMs;
  }
  return count;
}

function lastMs(endings: readonly CrashEnding[]): number {
  return Math.max(...endings.map(({atMs}) => atMs));
}
