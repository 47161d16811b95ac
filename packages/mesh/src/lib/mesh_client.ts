/** Maintains a link to one peer, reconnecting with backoff and jitter. */
import {connect} from 'node:net';
import {backoffMs, PolledTimeout, type CounterFamily, type HostPort} from '@jasminepost/core';
import type {HandshakeAuthenticator} from './handshake_authenticator.ts';
import {MeshLink, type LinkCloseReason} from './mesh_link.ts';
import type {MemberInfo, MeshMessage} from './messages.ts';

const CONNECT_TIMEOUT_MS = 2000;
const RECONNECT_BASE_MS = 100;
const RECONNECT_CAP_MS = 5000;
/** A silent peer with a pending reply is pinged after this and disconnected after twice this. */
const PING_AFTER_MS = 1000;

/** @public */
export interface MeshClientEvents {
  onUp(client: MeshClient, link: MeshLink): void;
  onMessage(client: MeshClient, message: MeshMessage): void;
  onDown(client: MeshClient, reason: LinkCloseReason): void;
  /** True while a reply of the peer is pending, which shortens the detection of a stalled peer. */
  isAwaitingReply(client: MeshClient): boolean;
}

/** @public */
export class MeshClient {
  /** The authenticated link while it is open. */
  link: MeshLink | undefined;
  /** Silence after which an idle peer is disconnected. */
  silenceTimeoutMs = 15_000;

  private failures = 0;
  private stopped = false;

  constructor(
    readonly address: HostPort,
    private readonly self: MemberInfo,
    private readonly authenticator: HandshakeAuthenticator,
    private readonly events: MeshClientEvents,
    private readonly closeReasons: CounterFamily<LinkCloseReason>,
  ) {
    this.connect();
  }

  dispose(): void {
    this.stopped = true;
    this.link?.close();
  }

  private connect(): void {
    if (this.stopped) return;
    const socket = connect({host: this.address.host, port: this.address.port});
    const link = new MeshLink(socket);
    const nonce = this.authenticator.createNonce();
    const timeout = new PolledTimeout(CONNECT_TIMEOUT_MS, () => link.cut('hello_timeout'));
    link.setHandlers({
      onMessage: message => this.handshake(link, nonce, message, timeout),
      onClose: reason => {
        timeout.clear();
        this.scheduleReconnect(reason === 'socket_error' ? 'connect_failed' : reason);
      },
    });
  }

  private handshake(
    link: MeshLink,
    nonce: string,
    message: MeshMessage,
    timeout: PolledTimeout,
  ): void {
    if (message.type === 'challenge') {
      const proof = this.authenticator.createProof(this.self, message.nonce, 'client');
      link.send({type: 'hello', member: this.self, wallMs: Date.now(), nonce, proof});
      return;
    }
    const isAuthenticated =
      message.type === 'welcome' &&
      this.authenticator.verifyProof(message.member, nonce, 'server', message.proof);
    if (!isAuthenticated) {
      link.cut('hello_refused');
      return;
    }
    timeout.clear();
    this.open(link, message.member);
  }

  private open(link: MeshLink, peer: MemberInfo): void {
    link.peer = peer;
    this.link = link;
    this.failures = 0;
    link.setHandlers({
      onMessage: message => {
        if (message.type !== 'pong') this.events.onMessage(this, message);
      },
      onClose: reason => {
        this.link = undefined;
        this.events.onDown(this, reason);
        this.scheduleReconnect(reason);
      },
    });
    this.events.onUp(this, link);
  }

  private scheduleReconnect(reason: LinkCloseReason): void {
    this.closeReasons.increment(reason);
    if (this.stopped) return;
    const delayMs = backoffMs(this.failures, RECONNECT_BASE_MS, RECONNECT_CAP_MS);
    this.failures += 1;
    const timer = setTimeout(() => this.connect(), delayMs);
    timer.unref();
  }

  /** Pings a silent peer and disconnects one that stays silent; called regularly by the owner. */
  checkLiveness(nowMs: number): void {
    const link = this.link;
    if (link === undefined) return;
    const silentMs = nowMs - link.lastReceivedMs;
    const isAwaitingReply = this.events.isAwaitingReply(this);
    const timeoutMs = isAwaitingReply ? 2 * PING_AFTER_MS : this.silenceTimeoutMs;
    if (silentMs > timeoutMs) {
      const {lastReceivedMs} = link;
      // After this process has stood still, what the peer sent meanwhile is read only then.
      setImmediate(() => {
        if (link.lastReceivedMs === lastReceivedMs) link.cut('silent');
      });
    } else if (silentMs > (isAwaitingReply ? PING_AFTER_MS : timeoutMs / 2)) {
      link.send({type: 'ping'});
    }
  }
}
