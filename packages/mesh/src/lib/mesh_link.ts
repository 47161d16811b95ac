/** A connection between two processes of this system, authenticated or about to be. */
import type {Socket} from 'node:net';
import {MeshError} from '@jasminepost/core';
import {encodeFrame, FrameDecoder} from './frame_codec.ts';
import {parseMessage, type MemberInfo, type MeshMessage} from './messages.ts';

/** Why a link was closed. @public */
export type LinkCloseReason =
  | 'closed_by_peer'
  | 'closed_here'
  | 'connect_failed'
  | 'frame_malformed'
  | 'frame_too_large'
  | 'hello_refused'
  | 'hello_timeout'
  | 'message_malformed'
  | 'silent'
  | 'socket_error';

/** Deferrable frames that wait for one that the socket has not accepted; older ones are dropped. */
const MAX_DEFERRED_FRAMES = 256;

interface LinkHandlers {
  onMessage(message: MeshMessage): void;
  onClose(reason: LinkCloseReason): void;
}

/** Sends and receives messages over one socket, validates them and counts bytes. @public */
export class MeshLink {
  /** Set once the handshake has succeeded. */
  peer: MemberInfo | undefined;
  lastReceivedMs = performance.now();
  bytesSent = 0;
  bytesReceived = 0;

  private readonly decoder: FrameDecoder;
  private handlers: LinkHandlers | undefined;
  private fault: LinkCloseReason | undefined;
  private isCorked = false;
  private deferred: Buffer[] = [];
  /** True until the socket has accepted the last deferrable frame. */
  private isDeferrableWritten = false;

  constructor(
    private readonly socket: Socket,
    maxFrameBytes?: number,
  ) {
    this.decoder = new FrameDecoder(maxFrameBytes);
    socket.setNoDelay(true);
    socket.on('data', data => this.handleData(data));
    socket.on('error', () => this.cut('socket_error'));
    socket.on('close', () => this.finish('closed_by_peer'));
  }

  get isOpen(): boolean {
    return this.fault === undefined;
  }

  /** Bytes not yet sent. */
  get queuedBytes(): number {
    return this.deferred.reduce((sum, frame) => sum + frame.length, this.socket.writableLength);
  }

  setHandlers(handlers: LinkHandlers): void {
    this.handlers = handlers;
  }

  /**
   * Queues a message; frames queued in the same event loop iteration are written together.
   *
   * @returns False when the link is closed and nothing was queued.
   */
  send(message: MeshMessage): boolean {
    return this.sendFrame(encodeFrame(message));
  }

  /** Queues an encoded frame, so that a broadcast encodes its message once. */
  sendFrame(frame: Buffer): boolean {
    return this.write(frame);
  }

  /** Queues a message that others overtake while the peer reads slowly. */
  sendDeferrable(message: MeshMessage): boolean {
    return this.sendDeferrableFrame(encodeFrame(message));
  }

  sendDeferrableFrame(frame: Buffer): boolean {
    if (this.fault !== undefined) return false;
    this.deferred.push(frame);
    if (this.deferred.length > MAX_DEFERRED_FRAMES) this.deferred.shift();
    this.writeDeferred();
    return true;
  }

  private writeDeferred(): void {
    if (this.isDeferrableWritten) return;
    const frame = this.deferred.shift();
    if (frame === undefined) return;
    this.isDeferrableWritten = true;
    this.write(frame, () => {
      this.isDeferrableWritten = false;
      this.writeDeferred();
    });
  }

  private write(frame: Buffer, onAccepted?: () => void): boolean {
    if (this.fault !== undefined) return false;
    if (!this.isCorked) {
      this.isCorked = true;
      this.socket.cork();
      setImmediate(() => {
        this.isCorked = false;
        this.socket.uncork();
      });
    }
    this.bytesSent += frame.length;
    this.socket.write(frame, onAccepted);
    return true;
  }

  /** Closes the link immediately and discards queued frames. */
  cut(reason: LinkCloseReason): void {
    if (this.fault !== undefined) return;
    this.finish(reason);
    this.socket.destroy();
  }

  /** Closes the link after queued frames have been written. */
  close(): void {
    if (this.fault !== undefined) return;
    this.finish('closed_here');
    this.socket.uncork();
    this.socket.end();
  }

  private handleData(data: Buffer): void {
    if (this.fault !== undefined) return;
    this.lastReceivedMs = performance.now();
    this.bytesReceived += data.length;
    for (const body of this.decode(data)) {
      const parsed = parseMessage(body);
      if (!parsed.ok) {
        this.cut('message_malformed');
        return;
      }
      this.handlers?.onMessage(parsed.value);
      if (!this.isOpen) return;
    }
  }

  private decode(data: Buffer): unknown[] {
    try {
      return this.decoder.push(data);
    } catch (thrown) {
      const tooLarge = thrown instanceof MeshError && thrown.code === 'frame_too_large';
      this.cut(tooLarge ? 'frame_too_large' : 'frame_malformed');
      return [];
    }
  }

  private finish(reason: LinkCloseReason): void {
    if (this.fault !== undefined) return;
    this.fault = reason;
    this.handlers?.onClose(reason);
  }
}
