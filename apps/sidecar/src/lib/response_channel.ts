/** Sends the frames of one attempt in order, no faster than the entry acknowledges them. */
import type {Verdict} from '@jasminepost/core';
import type {MeshLink} from '@jasminepost/mesh';

/** Bytes that may be sent before the entry acknowledges them. */
const WINDOW_BYTES = 256 * 1024;

const NO_BYTES = new Uint8Array(0);

/** @internal */
export class ResponseChannel {
  private seq = 0;
  private unackedBytes = 0;
  private resumeSender: (() => void) | undefined;

  constructor(
    private readonly link: MeshLink,
    private readonly attempt: number,
    private readonly tag: number,
  ) {}

  get isOpen(): boolean {
    return this.link.isOpen;
  }

  head(status: number, headers: Record<string, string>, replayed = false): void {
    this.link.send({type: 'head', attempt: this.attempt, tag: this.tag, status, headers, replayed});
  }

  /** Sends completion events; resolves when the window has room. */
  async events(events: string[]): Promise<void> {
    this.link.send({
      type: 'chunk',
      attempt: this.attempt,
      tag: this.tag,
      seq: this.seq,
      events,
      data: NO_BYTES,
    });
    this.seq += events.length;
    for (const event of events) this.unackedBytes += event.length;
    await this.waitForWindow();
  }

  /** Sends raw bytes; resolves when the window has room. */
  async data(data: Uint8Array): Promise<void> {
    this.link.send({
      type: 'chunk',
      attempt: this.attempt,
      tag: this.tag,
      seq: this.seq,
      events: [],
      data,
    });
    this.seq += data.length;
    this.unackedBytes += data.length;
    await this.waitForWindow();
  }

  end(usage: string): void {
    this.link.send({type: 'end', attempt: this.attempt, tag: this.tag, seq: this.seq, usage});
  }

  fail(verdict: Verdict, retryAfterMs: number): void {
    this.link.send({type: 'fail', attempt: this.attempt, tag: this.tag, verdict, retryAfterMs});
  }

  onAck(bytes: number): void {
    this.unackedBytes -= bytes;
    if (this.unackedBytes < WINDOW_BYTES) this.release();
  }

  /** Lets a sender that waits for the window continue, e.g. because the attempt was stopped. */
  release(): void {
    this.resumeSender?.();
    this.resumeSender = undefined;
  }

  private async waitForWindow(): Promise<void> {
    if (this.unackedBytes < WINDOW_BYTES || !this.link.isOpen) return;
    await new Promise<void>(resolve => {
      this.resumeSender = resolve;
    });
  }
}
