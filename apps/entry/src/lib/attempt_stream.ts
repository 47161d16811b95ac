/** Receives the frames of one attempt in order and acknowledges what the caller has taken. */
import type {ChunkMessage, MeshLink} from '@jasminepost/mesh';
import type {ResponseSink} from '@jasminepost/caller';

/** Acknowledging every so many bytes keeps the acknowledgements few. */
const ACK_BYTES = 32 * 1024;

const MAX_TAG = 2 ** 32;

/** @internal */
export class AttemptStream {
  /** Repeated in every frame of this attempt. */
  readonly tag = Math.floor(Math.random() * MAX_TAG);
  /** Events or bytes received so far. */
  seq = 0;
  private unackedBytes = 0;

  constructor(
    readonly attempt: number,
    readonly link: MeshLink,
    private readonly sink: ResponseSink,
  ) {}

  /** True when the frame continues exactly where the last one ended. */
  isNext(seq: number): boolean {
    return seq === this.seq;
  }

  /** Hands a frame to the caller. */
  deliver(message: ChunkMessage): void {
    let bytes = message.data.length;
    for (const event of message.events) bytes += event.length;
    this.seq += message.events.length + message.data.length;
    this.unackedBytes += bytes;
    const hasCapacity =
      message.events.length > 0 ? this.sink.events(message.events) : this.sink.data(message.data);
    if (hasCapacity && this.unackedBytes >= ACK_BYTES) this.acknowledge();
  }

  /** Tells the sidecar that everything received has been taken. */
  acknowledge(): void {
    if (this.unackedBytes === 0) return;
    this.link.send({type: 'ack', attempt: this.attempt, bytes: this.unackedBytes});
    this.unackedBytes = 0;
  }
}
