/** One send of a request: what it takes up at its replica, and when the answer began. */
import type {Replica} from './replica.ts';

/** @internal */
export class Attempt {
  /** 0 before the first event. */
  firstEventMs = 0;
  /** Requests without a first event that were there before it. */
  readonly unstartedBefore: number;
  private ended = false;

  /** @param tokens - KV cache that it holds or will hold. */
  constructor(
    readonly replica: Replica,
    readonly sentMs: number,
    private readonly tokens: number,
  ) {
    this.unstartedBefore = replica.unstarted;
    replica.inFlight += 1;
    replica.unstarted += 1;
    replica.kvTokens += tokens;
  }

  get isLive(): boolean {
    return !this.ended;
  }

  /** @returns Time from the send to the first event, in milliseconds. */
  onFirstEvent(nowMs: number): number {
    this.firstEventMs = nowMs;
    this.replica.unstarted -= 1;
    return nowMs - this.sentMs;
  }

  end(): void {
    if (this.ended) return;
    this.ended = true;
    this.replica.inFlight -= 1;
    if (this.firstEventMs === 0) this.replica.unstarted -= 1;
    this.replica.kvTokens -= this.tokens;
  }
}
