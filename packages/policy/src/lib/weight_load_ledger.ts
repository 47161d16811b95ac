/** Counts all loads from the weight store, so that the planner keeps to the store's limit. */
import type {WeightLoadReport} from './weight_load_record.ts';

/** @public */
export interface WeightStoreLimit {
  /** Loads a second that the weight store allows in the long run. */
  readonly loadsPerS: number;
  readonly windowS: number;
  /** Factor by which a window may exceed the rate. */
  readonly overshoot: number;
  /** Time of one load at full speed. */
  readonly loadS: number;
}

/**
 * Loads that the weight store serves concurrently at full speed; with more, all would be slower.
 *
 * @public
 */
export function maxConcurrentLoads({loadsPerS, loadS}: WeightStoreLimit): number {
  return Math.max(1, Math.ceil(loadsPerS * loadS));
}

/** Loads that a window may contain on top of the rate. */
const WINDOW_SLACK_LOADS = 3;
/** Loads of a window that are kept free for those that no report contains. */
const WINDOW_RESERVED_LOADS = 1;
/** A load starts on the replica up to this long after its steward has recorded it. */
const START_LAG_MS = 300;

interface OpenPlacement {
  readonly term: number;
  readonly number: number;
  /** Until when its load can share a window with one that starts now. */
  readonly untilMs: number;
}

/**
 * Counts each load from its placement until its start has left the window, whenever it starts.
 * Handles placements that wait for an unload, lost responses, late execution and a change of the
 * planner: when the last load of a window is placed, all others of that window are counted.
 *
 * @example
 * if (ledger.availableLoads(limit, hosts, nowMs) > 0) {
 *   ledger.recordPlacement(host, term, number, latestStartMs);
 * }
 * @public
 */
export class WeightLoadLedger {
  private readonly reports = new Map<string, WeightLoadReport>();
  private readonly openPlacements = new Map<string, OpenPlacement[]>();
  private term = 0;
  /** Until when loads placed in earlier terms can share a window with one that starts now. */
  private earlierTermsUntilMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly windowMs: number) {}

  /** Counts a placement whose load from the weight store starts by `latestStartMs`. */
  recordPlacement(replica: string, term: number, number: number, latestStartMs: number): void {
    const placements = this.openPlacements.get(replica) ?? [];
    placements.push({term, number, untilMs: latestStartMs + this.windowMs});
    this.openPlacements.set(replica, placements);
  }

  /**
   * Starts a term. The last placements of earlier terms are unknown until each steward reports
   * that it knows this term.
   */
  startTerm(term: number, latestStartMs: number): void {
    this.term = term;
    this.earlierTermsUntilMs = latestStartMs + this.windowMs;
  }

  /** Applies a steward's load report, with its times converted to this clock. */
  applyReport(replica: string, report: WeightLoadReport): void {
    this.reports.set(replica, report);
    const {term, closed} = report;
    const placements = this.openPlacements.get(replica);
    if (placements === undefined) return;
    const open = placements.filter(
      entry => entry.term > term || (entry.term === term && entry.number > closed),
    );
    if (open.length > 0) this.openPlacements.set(replica, open);
    else this.openPlacements.delete(replica);
  }

  /**
   * Number of loads that may be placed now.
   *
   * @param replicas - All replicas that share the store's limit.
   */
  availableLoads(limit: WeightStoreLimit, replicas: readonly string[], nowMs: number): number {
    const {loadsPerS, windowS, overshoot, loadS} = limit;
    const maxLoads =
      Math.floor(loadsPerS * windowS * overshoot) + WINDOW_SLACK_LOADS - WINDOW_RESERVED_LOADS;
    const openLoads = this.countOpenLoads(nowMs);
    const startedLoads = this.countStartedSince(nowMs - this.windowMs - START_LAG_MS);
    const windowLoads =
      maxLoads - openLoads - startedLoads - this.replicasWithoutTerm(replicas, nowMs);
    const concurrentLoads =
      maxConcurrentLoads(limit) - openLoads - this.countStartedSince(nowMs - loadS * 1000);
    return Math.max(0, Math.min(windowLoads, concurrentLoads));
  }

  /** Number of replicas that may still execute a placement of an earlier planner. */
  private replicasWithoutTerm(replicas: readonly string[], nowMs: number): number {
    if (nowMs >= this.earlierTermsUntilMs) return 0;
    return replicas.filter(replica => (this.reports.get(replica)?.term ?? 0) < this.term).length;
  }

  /** Loads that have been placed and whose start has not been reported. */
  private countOpenLoads(nowMs: number): number {
    let count = 0;
    for (const placements of this.openPlacements.values()) {
      for (const {untilMs} of placements) if (nowMs < untilMs) count += 1;
    }
    return count;
  }

  private countStartedSince(sinceMs: number): number {
    let count = 0;
    for (const {latestStartsMs} of this.reports.values()) {
      for (const atMs of latestStartsMs) if (atMs > sinceMs) count += 1;
    }
    return count;
  }
}
