/** Keeps one link to a peer, reconnecting with backoff and jitter. */
import {connect} from 'node:net';
import {backoffMs, type CounterFamily, type HostPort} from '@jasminepost/core';
import type {HelloGuard} from './hello.ts';
import {MeshLink, type LinkFault} from './mesh_link.ts';
import type {MemberInfo, MeshMessage} from './messages.ts';

const CONNECT_TIMEOUT_MS = 2000;
const RECONNECT_BASE_MS = 100;
const RECONNECT_CAP_MS = 5000;
/** A peer that owes an answer is probed after this silence and cut after twice as long. */
const PROBE_AFTER_MS = 1000;

/** @public */
export interface MeshClientEvents {
  onUp(client: MeshClient, link: MeshLink): void;
  onMessage(client: MeshClient, message: MeshMessage): void;
  onDown(client: MeshClient, fault: LinkFault): void;
  /** True while the peer owes an answer, which shortens the time to detect a stalled peer. */
  isAwaiting(client: MeshClient): boolean;
}

/** @public */
export class MeshClient {
  /** Open and authenticated link, if there is one. */
  link: MeshLink | undefined;
  /** Silence after which an idle peer counts as gone. */
  silenceLimitMs = 15_000;

  private failures = 0;
  private stopped = false;

  constructor(
    readonly address: HostPort,
    private readonly self: MemberInfo,
    private readonly guard: HelloGuard,
    private readonly events: MeshClientEvents,
    private readonly faults: CounterFamily<LinkFault>,
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
    const nonce = this.guard.newNonce();
    const timer = setTimeout(() => link.cut('hello_timeout'), CONNECT_TIMEOUT_MS);
    link.handle({
      onMessage: message => this.handshake(link, nonce, message, timer),
      onClose: fault => {
        clearTimeout(timer);
        this.reconnectAfter(fault === 'socket_error' ? 'connect_failed' : fault);
      },
    });
  }

  private handshake(
    link: MeshLink,
    nonce: string,
    message: MeshMessage,
    timer: NodeJS.Timeout,
  ): void {
    if (message.type === 'challenge') {
      const proof = this.guard.prove(this.self, message.nonce, 'client');
      link.send({type: 'hello', member: this.self, wallMs: Date.now(), nonce, proof});
      return;
    }
    const proven =
      message.type === 'welcome' &&
      this.guard.verify(message.member, nonce, 'server', message.proof);
    if (!proven) {
      link.cut('hello_refused');
      return;
    }
    clearTimeout(timer);
    this.open(link, message.member);
  }

  private open(link: MeshLink, peer: MemberInfo): void {
    link.peer = peer;
    this.link = link;
    this.failures = 0;
    link.handle({
      onMessage: message => {
        if (message.type !== 'pong') this.events.onMessage(this, message);
      },
      onClose: fault => {
        this.link = undefined;
        this.events.onDown(this, fault);
        this.reconnectAfter(fault);
      },
    });
    this.events.onUp(this, link);
  }

  private reconnectAfter(fault: LinkFault): void {
    this.faults.increment(fault);
    if (this.stopped) return;
    const delayMs = backoffMs(this.failures, RECONNECT_BASE_MS, RECONNECT_CAP_MS);
    this.failures += 1;
    const timer = setTimeout(() => this.connect(), delayMs);
    timer.unref();
  }

  /** Probes a silent peer and cuts one that stays silent; the owner calls this regularly. */
  checkLiveness(nowMs: number): void {
    const link = this.link;
    if (link === undefined) return;
    const silentMs = nowMs - link.lastReceivedMs;
    const awaiting = this.events.isAwaiting(this);
    const limitMs = awaiting ? 2 * PROBE_AFTER_MS : this.silenceLimitMs;
    if (silentMs > limitMs) {
      link.cut('silent');
    } else if (silentMs > (awaiting ? PROBE_AFTER_MS : limitMs / 2)) {
      link.send({type: 'ping'});
    }
  }
}
