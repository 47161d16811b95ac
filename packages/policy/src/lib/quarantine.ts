/** Prevents a request that has crashed two upstreams from reaching a third one. */

const MAX_SUSPECTS = 10_000;

/** Upstreams that requests with one fingerprint may crash before they are refused. */
const MAX_CRASHES = 2;

/** @public */
export type QuarantineDecision =
  | {readonly kind: 'normal'}
  | {readonly kind: 'isolate'; readonly crashes: number}
  | {readonly kind: 'refuse'; readonly retryAfterMs: number};

/** What one process tells the others about a fingerprint. @public */
export interface SuspectUpdate {
  readonly fingerprint: string;
  readonly crashes: number;
  /** True when the request has completed since. */
  readonly cleared: boolean;
}

interface Suspicion {
  readonly crashes: number;
  readonly reportedMs: number;
  readonly untilMs: number;
}

/** Crash counts per request fingerprint, removed after a retention period. @public */
export class SuspectList {
  private readonly suspects = new Map<string, Suspicion>();

  constructor(private readonly retentionMs: number) {}

  /** Applies a count from any process; counts only grow until they are cleared or expire. */
  report(fingerprint: string, crashes: number, nowMs: number): boolean {
    const known = this.crashCount(fingerprint, nowMs);
    if (crashes <= known) return false;
    this.suspects.delete(fingerprint);
    this.suspects.set(fingerprint, {
      crashes,
      reportedMs: nowMs,
      untilMs: nowMs + this.retentionMs,
    });
    if (this.suspects.size > MAX_SUSPECTS) {
      this.suspects.delete(this.suspects.keys().next().value!);
    }
    return true;
  }

  /** Applies an update from another process. */
  applyUpdate({fingerprint, crashes, cleared}: SuspectUpdate, nowMs: number): void {
    if (cleared) this.clear(fingerprint);
    else this.report(fingerprint, crashes, nowMs);
  }

  /** Removes a fingerprint whose request completed in isolation. */
  clear(fingerprint: string): void {
    this.suspects.delete(fingerprint);
  }

  crashCount(fingerprint: string, nowMs: number): number {
    return this.find(fingerprint, nowMs)?.crashes ?? 0;
  }

  /** When the last crash was reported; minus infinity when none was. */
  reportedMs(fingerprint: string): number {
    return this.suspects.get(fingerprint)?.reportedMs ?? Number.NEGATIVE_INFINITY;
  }

  /** Milliseconds until the fingerprint expires. */
  remainingMs(fingerprint: string, nowMs: number): number {
    const found = this.find(fingerprint, nowMs);
    return found === undefined ? 0 : found.untilMs - nowMs;
  }

  /** All suspects, to send to a new peer. */
  list(nowMs: number): Array<{readonly fingerprint: string; readonly crashes: number}> {
    return [...this.suspects]
      .filter(([, suspicion]) => suspicion.untilMs > nowMs)
      .map(([fingerprint, {crashes}]) => ({fingerprint, crashes}));
  }

  /** True when there are no suspects. Removes the expired ones, which come first. */
  isEmpty(nowMs: number): boolean {
    for (const [fingerprint, {untilMs}] of this.suspects) {
      if (untilMs > nowMs) return false;
      this.suspects.delete(fingerprint);
    }
    return true;
  }

  get size(): number {
    return this.suspects.size;
  }

  private find(fingerprint: string, nowMs: number): Suspicion | undefined {
    const found = this.suspects.get(fingerprint);
    if (found === undefined || found.untilMs > nowMs) return found;
    this.suspects.delete(fingerprint);
    return undefined;
  }
}

/**
 * @example
 * decideQuarantine(suspects, fingerprint, clock.monotonicMs()).kind; // 'isolate'
 * @public
 */
export function decideQuarantine(
  suspects: SuspectList,
  fingerprint: string,
  nowMs: number,
): QuarantineDecision {
  const crashes = suspects.crashCount(fingerprint, nowMs);
  if (crashes === 0) return {kind: 'normal'};
  if (crashes < MAX_CRASHES) return {kind: 'isolate', crashes};
  return {kind: 'refuse', retryAfterMs: Math.ceil(suspects.remainingMs(fingerprint, nowMs))};
}
