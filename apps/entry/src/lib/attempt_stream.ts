/** Relays the frames of one attempt in order and acknowledges what the caller has read. */
import type {ChunkMessage, MeshLink} from '@jasminepost/mesh';
import type {ResponseSink} from '@jasminepost/caller';

/** Bytes per acknowledgement; batching keeps their number small. */
const ACK_BYTES = 32 * 1024;

const MAX_TAG = 2 ** 32;

/** @internal */
export class AttemptStream {
  /** Carried by every frame of this attempt; a frame with another tag is dropped as stale. */
  readonly tag = Math.floor(Math.random() * MAX_TAG);
  /** Number of events plus body bytes received so far; the next frame must start here. */
  seq = 0;
  private unackedBytes = 0;

  constructor(
    readonly attempt: number,
    readonly link: MeshLink,
    private readonly sink: ResponseSink,
  ) {}

  /** Whether a frame continues exactly where the last one ended. */
  isNext(seq: number): boolean {
    return seq === this.seq;
  }

  /** Writes a frame to the caller; acknowledges only while the caller's connection has capacity. */
  deliver(message: ChunkMessage): void {
    let bytes = message.data.length;
    for (const event of message.events) bytes += event.length;
    this.seq += message.events.length + message.data.length;
    this.unackedBytes += bytes;
    const hasCapacity =
      message.events.length > 0 ? this.sink.events(message.events) : this.sink.data(message.data);
    if (hasCapacity && this.unackedBytes >= ACK_BYTES) this.acknowledge();
  }

  /** Tells the sidecar that the caller has read everything received so far. */
  acknowledge(): void {
    if (this.unackedBytes === 0) return;
    this.link.send({type: 'ack', attempt: this.attempt, bytes: this.unackedBytes});
    this.unackedBytes = 0;
  }
}
