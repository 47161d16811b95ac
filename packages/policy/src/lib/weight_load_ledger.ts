/** Account of all loads from the weight store, by which the planner keeps to its limit. */
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

/** Loads that the weight store serves at once; with more of them, all would be slower. @public */
export function maxConcurrentLoads({loadsPerS, loadS}: WeightStoreLimit): number {
  return Math.max(1, Math.ceil(loadsPerS * loadS));
}

/** Loads beside the rate that a window may hold. */
const WINDOW_SLACK_LOADS = 3;
/** Loads of a window that are left for what no account tells of. */
const WINDOW_RESERVED_LOADS = 1;
/** A load begins at the replica shortly after its steward has recorded it. */
const START_LAG_MS = 300;

interface OpenPlacement {
  readonly term: number;
  readonly number: number;
  /** Until when it can fall into a window with a load that begins now. */
  readonly untilMs: number;
}

/**
 * Counts each load from the placement on until its begin has left the window, wherever the begin
 * falls. Answers placements that wait for an unload, lost answers, late execution and a change of
 * the planner: whichever load of a window was placed last, all others of that window were counted.
 *
 * @example
 * if (ledger.left(limit, nowMs) > 0) ledger.onPlaced(host, term, number, latestBeginMs);
 * @public
 */
export class WeightLoadLedger {
  private readonly reports = new Map<string, WeightLoadReport>();
  private readonly openPlacements = new Map<string, OpenPlacement[]>();
  private term = 0;
  /** Until when placements of earlier terms can fall into a window with a load that begins now. */
  private earlierTermsUntilMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly windowMs: number) {}

  /** Counts a placement that loads from the weight store, at `latestBeginMs` at the latest. */
  recordPlacement(replica: string, term: number, number: number, latestStartMs: number): void {
    const placements = this.openPlacements.get(replica) ?? [];
    placements.push({term, number, untilMs: latestStartMs + this.windowMs});
    this.openPlacements.set(replica, placements);
  }

  /**
   * Begins a term. Of the last placements of earlier ones nothing is known, until each steward
   * tells that it has heard of this term.
   */
  startTerm(term: number, latestStartMs: number): void {
    this.term = term;
    this.earlierTermsUntilMs = latestStartMs + this.windowMs;
  }

  /** Takes in a steward's account, with its times translated to this clock. */
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
   * Loads that may be placed now.
   *
   * @param replicas - All replicas that the store's limit is for.
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

  /** Replicas at which an earlier planner's placement may yet be carried out. */
  private replicasWithoutTerm(replicas: readonly string[], nowMs: number): number {
    if (nowMs >= this.earlierTermsUntilMs) return 0;
    return replicas.filter(replica => (this.reports.get(replica)?.term ?? 0) < this.term).length;
  }

  /** Loads that have been placed and whose begin is not known. */
  private countOpenLoads(nowMs: number): number {
    let count = 0;
    for (const placements of this.openPlacements.values()) {
      for (const {untilMs} of placements) if (nowMs < untilMs) count += 1;
    }
    return count;
  }

  private countStartedSince(sinceMs: number): number {
    let count = 0;
    for (const {latestStartsMs: latestStartsMs} of this.reports.values()) {
      for (const atMs of latestStartsMs) if (atMs > sinceMs) count += 1;
    }
    return count;
  }
}
