/** A steward's record of the loads from the weight store that it ordered its replica to do. */

/** What a steward reports to the planner about its replica's loads. @public */
export interface WeightLoadReport {
  /** Highest planner term that the steward knows. */
  readonly term: number;
  /** Placements of that term up to this number cause no further orders. */
  readonly closed: number;
  /** Latest time at which each load from the weight store started, in milliseconds of one clock. */
  readonly latestStartsMs: readonly number[];
}

/** An order without a response is executed within this time or not at all. */
const MAX_ORDER_DELAY_MS = 5000;
/** Must be longer than the window of any weight store's limit. */
const RETENTION_MS = 60_000;

/**
 * Handles lost responses and late execution: a load is counted before its order is sent, and one
 * with an unknown outcome counts as started at the latest possible time.
 *
 * @example
 * if (record.acceptPlacement(message.term, message.number)) execute(message);
 * @public
 */
export class WeightLoadRecord {
  private term = 0;
  private currentPlacement = 0;
  private closed = 0;
  private startTimesMs: number[] = [];

  /** Accepts a placement; false for one of an earlier term, which must not be executed. */
  acceptPlacement(term: number, number: number): boolean {
    if (term < this.term) return false;
    this.term = term;
    this.currentPlacement = number;
    this.closed = Math.max(0, number - 1);
    return true;
  }

  /** Closes the current placement: it causes no further orders. */
  closeCurrentPlacement(): void {
    this.closed = this.currentPlacement;
  }

  /** Records that an order to load from the weight store is about to be sent. */
  onOrderSending(nowMs: number): void {
    this.startTimesMs = this.startTimesMs.filter(atMs => nowMs - atMs < RETENTION_MS);
    this.startTimesMs.push(nowMs + MAX_ORDER_DELAY_MS);
  }

  /** Records the outcome of the latest order; after `unknown`, its load may still start. */
  onOrderOutcome(outcome: 'begun' | 'refused' | 'unknown', nowMs: number): void {
    if (outcome === 'unknown') return;
    this.startTimesMs.pop();
    if (outcome === 'refused') return;
    // The replica's state has changed, so earlier orders for its previous state are void.
    this.startTimesMs = this.startTimesMs.filter(atMs => atMs <= nowMs);
    this.startTimesMs.push(nowMs);
  }

  get report(): WeightLoadReport {
    return {term: this.term, closed: this.closed, latestStartsMs: [...this.startTimesMs]};
  }
}
