/** Account of all loads from the weight store, by which the planner keeps to its limit. */
import type {LoadAccount} from './load_record.ts';

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
export function loadsAtOnce({loadsPerS, loadS}: WeightStoreLimit): number {
  return Math.max(1, Math.ceil(loadsPerS * loadS));
}

/** Loads beside the rate that a window may hold. */
const WINDOW_EXTRA = 3;
/** Loads of a window that are left for what no account tells of. */
const WINDOW_RESERVE = 1;
/** A load begins at the replica shortly after its steward has recorded it. */
const RECORD_LAG_MS = 300;

interface Ordered {
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
export class LoadLedger {
  private readonly accounts = new Map<string, LoadAccount>();
  private readonly ordered = new Map<string, Ordered[]>();
  private term = 0;
  /** Until when placements of earlier terms can fall into a window with a load that begins now. */
  private earlierUntilMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly windowMs: number) {}

  /** Counts a placement that loads from the weight store, at `latestBeginMs` at the latest. */
  onPlaced(holder: string, term: number, number: number, latestBeginMs: number): void {
    const list = this.ordered.get(holder) ?? [];
    list.push({term, number, untilMs: latestBeginMs + this.windowMs});
    this.ordered.set(holder, list);
  }

  /**
   * Begins a term. Of the last placements of earlier ones nothing is known, until each steward
   * tells that it has heard of this term.
   */
  onTerm(term: number, latestBeginMs: number): void {
    this.term = term;
    this.earlierUntilMs = latestBeginMs + this.windowMs;
  }

  /** Takes in a steward's account, with its times translated to this clock. */
  onAccount(holder: string, account: LoadAccount): void {
    this.accounts.set(holder, account);
    const {term, closed} = account;
    const list = this.ordered.get(holder);
    if (list === undefined) return;
    const open = list.filter(
      entry => entry.term > term || (entry.term === term && entry.number > closed),
    );
    if (open.length > 0) this.ordered.set(holder, open);
    else this.ordered.delete(holder);
  }

  /**
   * Loads that may be placed now.
   *
   * @param holders - All replicas that the store's limit is for.
   */
  left(limit: WeightStoreLimit, holders: readonly string[], nowMs: number): number {
    const {loadsPerS, windowS, overshoot, loadS} = limit;
    const most = Math.floor(loadsPerS * windowS * overshoot) + WINDOW_EXTRA - WINDOW_RESERVE;
    const open = this.open(nowMs);
    const begun = this.begunSince(nowMs - this.windowMs - RECORD_LAG_MS);
    const byWindow = most - open - begun - this.unclaimed(holders, nowMs);
    const byPlaces = loadsAtOnce(limit) - open - this.begunSince(nowMs - loadS * 1000);
    return Math.max(0, Math.min(byWindow, byPlaces));
  }

  /** Replicas at which an earlier planner's placement may yet be carried out. */
  private unclaimed(holders: readonly string[], nowMs: number): number {
    if (nowMs >= this.earlierUntilMs) return 0;
    return holders.filter(holder => (this.accounts.get(holder)?.term ?? 0) < this.term).length;
  }

  /** Loads that have been placed and whose begin is not known. */
  private open(nowMs: number): number {
    let count = 0;
    for (const list of this.ordered.values()) {
      for (const {untilMs} of list) if (nowMs < untilMs) count += 1;
    }
    return count;
  }

  private begunSince(sinceMs: number): number {
    let count = 0;
    for (const {beginsMs} of this.accounts.values()) {
      for (const atMs of beginsMs) if (atMs > sinceMs) count += 1;
    }
    return count;
  }
}
