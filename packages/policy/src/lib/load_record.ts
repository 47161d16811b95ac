/** A steward's own record of the loads from the weight store that its replica was ordered to do. */

/** What a steward tells the planner of its replica's loads. @public */
export interface LoadAccount {
  /** Highest planner's term that the steward knows. */
  readonly term: number;
  /** Placements of that term up to this number won't cause any further order. */
  readonly closed: number;
  /** When each load from the weight store began at the latest, in milliseconds of one clock. */
  readonly beginsMs: readonly number[];
}

/** An order that got no answer is carried out within this, or not at all. */
const LATE_ORDER_MS = 5000;
/** Longer than the window of any weight store's limit. */
const KEPT_MS = 60_000;

/**
 * Answers lost answers and late execution: a load counts from before its order is sent, and one of
 * unknown outcome as if it began as late as it can.
 *
 * @example
 * if (record.take(message.term, message.number)) carryOut(message);
 * @public
 */
export class LoadRecord {
  private term = 0;
  private current = 0;
  private closed = 0;
  private begins: number[] = [];

  /** Takes a placement; false for one of an earlier term, which must not be carried out. */
  take(term: number, number: number): boolean {
    if (term < this.term) return false;
    this.term = term;
    this.current = number;
    this.closed = Math.max(0, number - 1);
    return true;
  }

  /** Ends the placement in hand: no order follows from it. */
  close(): void {
    this.closed = this.current;
  }

  /** Takes in that an order to load from the weight store is about to be sent. */
  onSending(nowMs: number): void {
    this.begins = this.begins.filter(atMs => nowMs - atMs < KEPT_MS);
    this.begins.push(nowMs + LATE_ORDER_MS);
  }

  /** Takes in the answer to the order sent last; `unknown` leaves it as one that may yet begin. */
  onAnswer(answer: 'begun' | 'refused' | 'unknown', nowMs: number): void {
    if (answer === 'unknown') return;
    this.begins.pop();
    if (answer === 'refused') return;
    // The replica has moved on, so that earlier orders for the same state are void.
    this.begins = this.begins.filter(atMs => atMs <= nowMs);
    this.begins.push(nowMs);
  }

  get account(): LoadAccount {
    return {term: this.term, closed: this.closed, beginsMs: [...this.begins]};
  }
}
