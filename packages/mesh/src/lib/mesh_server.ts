/** Accepts links from other processes and authenticates them. */
import {createServer, type Server, type Socket} from 'node:net';
import {listenOn, PolledTimeout, type CounterFamily, type HostPort} from '@jasminepost/core';
import {encodeFrame} from './frame_codec.ts';
import type {HandshakeAuthenticator} from './handshake_authenticator.ts';
import {MeshLink, type LinkCloseReason} from './mesh_link.ts';
import type {MemberInfo, MeshMessage} from './messages.ts';

const HELLO_TIMEOUT_MS = 2000;
/** Open links, including unauthenticated ones; bounds the memory that peers can occupy. */
const MAX_LINKS = 4096;

/** @public */
export interface MeshServerEvents {
  onLink(link: MeshLink): void;
  onMessage(link: MeshLink, message: MeshMessage): void;
  onLinkLost(link: MeshLink, reason: LinkCloseReason): void;
}

/** @public */
export class MeshServer {
  readonly links = new Set<MeshLink>();
  private readonly server: Server;
  private readonly unauthenticated = new Set<MeshLink>();

  constructor(
    private readonly self: MemberInfo,
    private readonly authenticator: HandshakeAuthenticator,
    private readonly events: MeshServerEvents,
    private readonly closeReasons: CounterFamily<LinkCloseReason>,
  ) {
    this.server = createServer(socket => this.accept(socket));
  }

  async listen(address: HostPort): Promise<number> {
    await listenOn(this.server, address);
    const bound = this.server.address();
    return typeof bound === 'object' && bound !== null ? bound.port : address.port;
  }

  /** Sends a message to all peers that pass `filter`. */
  broadcast(message: MeshMessage, filter: (peer: MemberInfo) => boolean = () => true): void {
    if (this.links.size === 0) return;
    const frame = encodeFrame(message);
    for (const link of this.links) {
      if (link.peer !== undefined && filter(link.peer)) link.sendFrame(frame);
    }
  }

  /** Sends a message that others overtake to all peers. */
  broadcastDeferrable(message: MeshMessage): void {
    if (this.links.size === 0) return;
    const frame = encodeFrame(message);
    for (const link of this.links) {
      if (link.peer !== undefined) link.sendDeferrableFrame(frame);
    }
  }

  /** Bytes sent and received over the links that are open. */
  openLinkBytes(): number {
    let bytes = 0;
    for (const link of this.links) bytes += link.bytesSent + link.bytesReceived;
    return bytes;
  }

  /** Bytes not yet sent, over all links. */
  queuedBytes(): number {
    let bytes = 0;
    for (const link of this.links) bytes += link.queuedBytes;
    return bytes;
  }

  /** Stops listening and closes authenticated links after their queued frames. */
  close(): void {
    this.server.close();
    for (const link of this.unauthenticated) link.cut('closed_here');
    for (const link of [...this.links]) link.close();
  }

  private accept(socket: Socket): void {
    if (this.links.size + this.unauthenticated.size >= MAX_LINKS) {
      socket.destroy();
      return;
    }
    const link = new MeshLink(socket);
    const nonce = this.authenticator.createNonce();
    this.unauthenticated.add(link);
    const timeout = new PolledTimeout(HELLO_TIMEOUT_MS, () => link.cut('hello_timeout'));
    link.setHandlers({
      onMessage: message => {
        timeout.clear();
        this.authenticate(link, nonce, message);
      },
      onClose: reason => {
        timeout.clear();
        this.unauthenticated.delete(link);
        this.closeReasons.increment(reason);
      },
    });
    link.send({type: 'challenge', nonce});
  }

  private authenticate(link: MeshLink, nonce: string, message: MeshMessage): void {
    const isAuthenticated =
      message.type === 'hello' &&
      this.authenticator.verifyProof(message.member, nonce, 'client', message.proof);
    if (!isAuthenticated) {
      link.cut('hello_refused');
      return;
    }
    this.unauthenticated.delete(link);
    link.peer = message.member;
    const proof = this.authenticator.createProof(this.self, message.nonce, 'server');
    link.send({type: 'welcome', member: this.self, proof});
    link.setHandlers({
      onMessage: next => this.dispatch(link, next),
      onClose: reason => {
        this.links.delete(link);
        this.closeReasons.increment(reason);
        this.events.onLinkLost(link, reason);
      },
    });
    this.links.add(link);
    this.events.onLink(link);
  }

  private dispatch(link: MeshLink, message: MeshMessage): void {
    if (message.type === 'ping') {
      link.send({type: 'pong'});
      return;
    }
    this.events.onMessage(link, message);
  }
}
