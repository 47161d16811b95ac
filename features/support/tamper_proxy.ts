/** Proxy between entries and one sidecar that tampers with the sidecar's frames. */
import {connect, createServer, type Server, type Socket} from 'node:net';
import {Encoder} from 'cbor-x';

const HEADER_BYTES = 4;

export type Tampering =
  | 'none'
  | 'cut between frames'
  | 'cut within a frame'
  | 'drop a frame'
  | 'double a frame'
  | 'cross two attempts'
  | 'replay a frame late'
  | 'send rubbish'
  | 'send an unknown message'
  | 'send an oversized frame';

interface AnyFrame {
  readonly type?: string;
  readonly attempt?: number;
  readonly seq?: number;
  readonly events?: readonly string[];
}

const codec = new Encoder({useRecords: false, mapsAsObjects: true, tagUint8Array: false});

export class TamperProxy {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  /** Next sequence number of each attempt, newest attempts last. */
  private readonly nextSeq = new Map<number, number>();
  private chunks = 0;
  private heldFrame: Buffer | undefined;
  /** Attempt whose next frame is followed by the held frame. */
  private replayAttempt: number | undefined;

  /**
   * @param interval - Tampers with one chunk out of this many.
   */
  constructor(
    private readonly targetPort: number,
    private readonly tampering: Tampering,
    private readonly interval: number,
  ) {
    this.server = createServer(client => this.accept(client));
  }

  async listen(): Promise<number> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve));
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private accept(client: Socket): void {
    const upstream = connect(this.targetPort, '127.0.0.1');
    for (const socket of [client, upstream]) {
      this.sockets.add(socket);
      socket.on('error', () => socket.destroy());
    }
    client.on('close', () => upstream.destroy());
    upstream.on('close', () => client.destroy());
    client.on('data', data => upstream.write(data));
    let buffered: Buffer = Buffer.alloc(0);
    upstream.on('data', data => {
      buffered = Buffer.concat([buffered, data]);
      while (buffered.length >= HEADER_BYTES) {
        const length = HEADER_BYTES + buffered.readUInt32BE(0);
        if (buffered.length < length) return;
        this.forward(client, buffered.subarray(0, length));
        buffered = buffered.subarray(length);
      }
    });
  }

  private forward(client: Socket, frame: Buffer): void {
    const message = codec.decode(frame.subarray(HEADER_BYTES)) as AnyFrame;
    if (message.type !== 'chunk') {
      client.write(frame);
      return;
    }
    this.chunks += 1;
    this.trackSequence(message);
    if (this.chunks % this.interval === 0) this.tamper(client, frame, message);
    else client.write(this.withReplay(frame, message));
  }

  private tamper(client: Socket, frame: Buffer, message: AnyFrame): void {
    switch (this.tampering) {
      case 'none':
        client.write(frame);
        return;
      case 'cut between frames':
        client.destroy();
        return;
      case 'cut within a frame':
        client.end(frame.subarray(0, frame.length >> 1));
        return;
      case 'drop a frame':
        return;
      case 'double a frame':
        client.write(Buffer.concat([frame, frame]));
        return;
      case 'cross two attempts':
        client.write(encode({...message, ...this.otherAttempt(message.attempt ?? 0)}));
        return;
      case 'replay a frame late':
        client.write(this.heldFrame === undefined ? frame : Buffer.concat([frame, this.heldFrame]));
        this.heldFrame = Buffer.from(frame);
        this.replayAttempt = message.attempt;
        return;
      case 'send rubbish':
        client.write(Buffer.concat([frame, Buffer.from([0, 0, 0, 3, 0xff, 0xff, 0xff])]));
        return;
      case 'send an unknown message':
        client.write(Buffer.concat([frame, encode({type: 'surprise'})]));
        return;
      case 'send an oversized frame':
        client.write(Buffer.concat([frame, Buffer.from([0x7f, 0xff, 0xff, 0xff])]));
    }
  }

  /** Repeats the held frame after the next of its attempt; later, the attempt may have ended. */
  private withReplay(frame: Buffer, {attempt}: AnyFrame): Buffer {
    if (this.heldFrame === undefined || this.replayAttempt !== attempt) return frame;
    this.replayAttempt = undefined;
    return Buffer.concat([frame, this.heldFrame]);
  }

  private trackSequence({attempt = 0, seq = 0, events = []}: AnyFrame): void {
    this.nextSeq.set(attempt, seq + events.length);
    if (this.nextSeq.size > 8) this.nextSeq.delete(this.nextSeq.keys().next().value!);
  }

  /** Another attempt, with the sequence number that its next frame would have. */
  private otherAttempt(own: number): {readonly attempt: number; readonly seq: number} {
    const others = [...this.nextSeq].filter(([attempt]) => attempt !== own);
    const [attempt, seq] = others[others.length - 1] ?? [own + 1, 0];
    return {attempt, seq};
  }
}

function encode(message: object): Buffer {
  const body = codec.encode(message);
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32BE(body.length, 0);
  return Buffer.concat([header, body]);
}
