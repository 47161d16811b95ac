/** A steward's own record of the loads from the weight store that its replica was ordered to do. */

/** What a steward tells the planner of its replica's loads. @public */
export interface WeightLoadReport {
  /** Highest planner's term that the steward knows. */
  readonly term: number;
  /** Placements of that term up to this number won't cause any further order. */
  readonly closed: number;
  /** When each load from the weight store began at the latest, in milliseconds of one clock. */
  readonly latestStartsMs: readonly number[];
}

/** An order that got no answer is carried out within this, or not at all. */
const MAX_ORDER_DELAY_MS = 5000;
/** Longer than the window of any weight store's limit. */
const RETENTION_MS = 60_000;

/**
 * Answers lost answers and late execution: a load counts from before its order is sent, and one of
 * unknown outcome as if it began as late as it can.
 *
 * @example
 * if (record.take(message.term, message.number)) carryOut(message);
 * @public
 */
export class WeightLoadRecord {
  private term = 0;
  private currentPlacement = 0;
  private closed = 0;
  private startTimesMs: number[] = [];

  /** Takes a placement; false for one of an earlier term, which must not be carried out. */
  acceptPlacement(term: number, number: number): boolean {
    if (term < this.term) return false;
    this.term = term;
    this.currentPlacement = number;
    this.closed = Math.max(0, number - 1);
    return true;
  }

  /** Ends the placement in hand: no order follows from it. */
  closeCurrentPlacement(): void {
    this.closed = this.currentPlacement;
  }

  /** Takes in that an order to load from the weight store is about to be sent. */
  onOrderSending(nowMs: number): void {
    this.startTimesMs = this.startTimesMs.filter(atMs => nowMs - atMs < RETENTION_MS);
    this.startTimesMs.push(nowMs + MAX_ORDER_DELAY_MS);
  }

  /** Takes in the answer to the order sent last; `unknown` leaves it as one that may yet begin. */
  onOrderOutcome(outcome: 'begun' | 'refused' | 'unknown', nowMs: number): void {
    if (outcome === 'unknown') return;
    this.startTimesMs.pop();
    if (outcome === 'refused') return;
    // The replica has moved on, so that earlier orders for the same state are void.
    this.startTimesMs = this.startTimesMs.filter(atMs => atMs <= nowMs);
    this.startTimesMs.push(nowMs);
  }

  get report(): WeightLoadReport {
    return {term: this.term, closed: this.closed, latestStartsMs: [...this.startTimesMs]};
  }
}
