/** One attempt to run a request on a replica, and its share of the replica's load counters. */
import type {Replica} from './replica.ts';

/** @internal */
export class Attempt {
  /** Monotonic time of the first response data; 0 before that. */
  firstEventMs = 0;
  /** This gateway's requests to the replica that had no first event yet when this one was sent. */
  readonly awaitingBefore: number;
  /** Time until the first event that the work before it and its own prefill take at usual pace. */
  readonly workMs: number;
  /** The same at the pace that was expected when it was sent. */
  readonly expectedMs: number;
  /** Bytes of the response's body that have arrived. */
  responseBytes = 0;
  private ended = false;

  /**
   * @param tokens - KV cache tokens that the request occupies or will occupy.
   * @param prefillMs - Prefill time of the request at the usual pace; 0 for plain services.
   * @param onEnded - Called once, when it ends.
   */
  constructor(
    readonly replica: Replica,
    readonly sentMs: number,
    private readonly tokens: number,
    private readonly prefillMs: number,
    private readonly onEnded: (attempt: Attempt) => void = () => undefined,
  ) {
    const pace = replica.paceAt(sentMs) ?? 1;
    this.workMs = replica.backlogMs(sentMs) / pace + prefillMs;
    this.expectedMs = this.workMs * pace;
    this.awaitingBefore = replica.awaitingFirstEvent;
    replica.inFlight += 1;
    replica.onAwaiting(1, prefillMs);
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
    this.replica.onAwaiting(-1, this.prefillMs);
    return nowMs - this.sentMs;
  }

  /** Removes the attempt from the replica's counters; later calls have no effect. */
  end(): void {
    if (this.ended) return;
    this.ended = true;
    this.replica.inFlight -= 1;
    if (this.firstEventMs === 0) this.replica.onAwaiting(-1, this.prefillMs);
    this.replica.kvTokens -= this.tokens;
    this.onEnded(this);
  }
}
