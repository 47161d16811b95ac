/** One attempt to run a request on a replica, and its share of the replica's load counters. */
import type {Replica} from './replica.ts';

/** @internal */
export class Attempt {
  /** Monotonic time of the first response data; 0 before that. */
  firstEventMs = 0;
  /** This gateway's requests to the replica that had no first event yet when this one was sent. */
  readonly awaitingBefore: number;
  /** Bytes of the response's body that have arrived. */
  responseBytes = 0;
  private ended = false;

  /**
   * @param tokens - KV cache tokens that the request occupies or will occupy.
   * @param onEnded - Called once, when it ends.
   */
  constructor(
    readonly replica: Replica,
    readonly sentMs: number,
    private readonly tokens: number,
    private readonly onEnded: (attempt: Attempt) => void,
  ) {
    this.awaitingBefore = replica.awaitingFirstEvent;
    replica.inFlight += 1;
    replica.awaitingFirstEvent += 1;
    replica.kvTokens += tokens;
  }

  get isLive(): boolean {
    return !this.ended;
  }

  /**
   * Records the first response data.
   *
   * @returns Milliseconds from sending to the first response data.
   */
  onFirstEvent(nowMs: number): number {
    this.firstEventMs = nowMs;
    this.replica.awaitingFirstEvent -= 1;
    return nowMs - this.sentMs;
  }

  /** Removes the attempt from the replica's counters; later calls have no effect. */
  end(): void {
    if (this.ended) return;
    this.ended = true;
    this.replica.inFlight -= 1;
    if (this.firstEventMs === 0) this.replica.awaitingFirstEvent -= 1;
    this.replica.kvTokens -= this.tokens;
    this.onEnded(this);
  }
}
