/** Length-prefixed CBOR frames: a 32-bit big-endian length, then the body. */
import {Encoder} from 'cbor-x';
import {MeshError} from '@jasminepost/core';

const HEADER_BYTES = 4;

/** Largest frame body accepted from a peer. @public */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024;

const codec = new Encoder({useRecords: false, mapsAsObjects: true, tagUint8Array: false});

/**
 * Encodes one message as a frame.
 *
 * @throws MeshError `frame_too_large`.
 * @example
 * socket.write(encodeFrame({type: 'ping'}));
 * @public
 */
export function encodeFrame(message: object): Buffer {
  const body = codec.encode(message);
  if (body.length > MAX_FRAME_BYTES) {
    throw new MeshError('frame_too_large', `frame of ${body.length} bytes is too large`);
  }
  const frame = Buffer.allocUnsafe(HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, HEADER_BYTES);
  return frame;
}

/** Splits a byte stream into decoded frame bodies. @public */
export class FrameDecoder {
  private pending: Buffer[] = [];
  private pendingBytes = 0;
  private requiredBytes = HEADER_BYTES;

  constructor(private readonly maxFrameBytes = MAX_FRAME_BYTES) {}

  /**
   * Adds received bytes and returns the bodies that they complete.
   *
   * @throws MeshError `frame_too_large` or `frame_malformed`.
   */
  push(bytes: Buffer): unknown[] {
    this.pending.push(bytes);
    this.pendingBytes += bytes.length;
    if (this.pendingBytes < this.requiredBytes) return [];
    return this.drain();
  }

  private drain(): unknown[] {
    const buffer = this.pending.length === 1 ? this.pending[0] : Buffer.concat(this.pending);
    const bodies: unknown[] = [];
    let offset = 0;
    this.requiredBytes = HEADER_BYTES;
    while (buffer.length - offset >= HEADER_BYTES) {
      const length = buffer.readUInt32BE(offset);
      if (length > this.maxFrameBytes) {
        throw new MeshError('frame_too_large', `frame of ${length} bytes is too large`);
      }
      const end = offset + HEADER_BYTES + length;
      if (end > buffer.length) {
        this.requiredBytes = HEADER_BYTES + length;
        break;
      }
      bodies.push(decodeBody(buffer.subarray(offset + HEADER_BYTES, end)));
      offset = end;
    }
    this.pending = offset < buffer.length ? [buffer.subarray(offset)] : [];
    this.pendingBytes = buffer.length - offset;
    return bodies;
  }
}

function decodeBody(body: Buffer): unknown {
  try {
    return codec.decode(body) as unknown;
  } catch (thrown) {
    throw new MeshError('frame_malformed', String(thrown));
  }
}
