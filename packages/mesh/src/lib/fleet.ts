/** All sidecars: addresses as listed by the platform, state as reported by the sidecars. */
import {Disposer, fnv1a32, type CounterFamily, type HostPort} from '@jasminepost/core';
import type {HandshakeAuthenticator} from './handshake_authenticator.ts';
import {MeshClient} from './mesh_client.ts';
import type {LinkCloseReason, MeshLink} from './mesh_link.ts';
import type {LoadMessage, MemberInfo, MeshMessage, StatusMessage} from './messages.ts';

const MAX_MISSED_REPORTS = 3;
/** One timer serves all links; one per link would wake an idle process thousands of times. */
const LIVENESS_CHECK_MS = 500;

/** A sidecar as the platform lists it. @public */
export interface SidecarAddress {
  readonly id: string;
  readonly zone: string;
  readonly mesh: HostPort;
  readonly leaving: boolean;
}

/** A sidecar with its latest status and load reports. @public */
export interface Replica {
  readonly id: string;
  readonly zone: string;
  readonly client: MeshClient;
  /** Hash of `id`, computed once for rendezvous hashing. */
  readonly idHash: number;
  status: StatusMessage | undefined;
  load: LoadMessage | undefined;
  loadReceivedMs: number;
  listedLeaving: boolean;
  /** Attempts of this process in progress at the replica, now and at the last load report. */
  inFlight: number;
  inFlightAtReport: number;
}

/** @public */
export interface FleetEvents {
  onMessage(replica: Replica, message: MeshMessage): void;
  onDown(replica: Replica, reason: LinkCloseReason): void;
  onUp(replica: Replica, link: MeshLink): void;
  onStatus(replica: Replica): void;
}

/** @public */
export class Fleet {
  readonly replicas = new Map<string, Replica>();
  private readonly disposer = new Disposer();

  constructor(
    private readonly self: MemberInfo,
    private readonly authenticator: HandshakeAuthenticator,
    private readonly events: FleetEvents,
    private readonly closeReasons: CounterFamily<LinkCloseReason>,
  ) {
    this.disposer.interval(LIVENESS_CHECK_MS, () => this.checkLiveness());
  }

  /**
   * Opens and closes links according to the platform's list. A sidecar that is no longer listed is
   * kept while its link is open.
   */
  updateSidecars(listed: readonly SidecarAddress[]): void {
    const listedById = new Map(listed.map(address => [address.id, address]));
    for (const replica of [...this.replicas.values()]) {
      const address = listedById.get(replica.id);
      const moved = address !== undefined && !sameAddress(replica.client.address, address.mesh);
      const gone = address === undefined && replica.client.link === undefined;
      if (moved || gone) this.remove(replica);
    }
    for (const address of listed) this.addOrUpdate(address);
  }

  /** Replicas with an open link. */
  connected(): Replica[] {
    return [...this.replicas.values()].filter(replica => replica.client.link !== undefined);
  }

  /** Bytes sent and received over the links that are open. */
  openLinkBytes(): number {
    let bytes = 0;
    for (const {client} of this.replicas.values()) {
      bytes += (client.link?.bytesSent ?? 0) + (client.link?.bytesReceived ?? 0);
    }
    return bytes;
  }

  broadcast(message: MeshMessage): void {
    for (const replica of this.replicas.values()) replica.client.link?.send(message);
  }

  dispose(): void {
    this.disposer.dispose();
    for (const replica of [...this.replicas.values()]) this.remove(replica);
  }

  private checkLiveness(): void {
    const nowMs = performance.now();
    for (const {client} of this.replicas.values()) client.checkLiveness(nowMs);
  }

  private addOrUpdate(address: SidecarAddress): void {
    const known = this.replicas.get(address.id);
    if (known !== undefined) {
      known.listedLeaving = address.leaving;
      return;
    }
    const client: MeshClient = new MeshClient(
      address.mesh,
      this.self,
      this.authenticator,
      {
        onUp: (_client, link) => this.events.onUp(replica, link),
        onMessage: (_client, message) => this.handleMessage(replica, message),
        onDown: (_client, reason) => this.handleDown(replica, reason),
        isAwaitingReply: () => replica.inFlight > 0,
      },
      this.closeReasons,
    );
    const replica: Replica = {
      id: address.id,
      zone: address.zone,
      client,
      idHash: fnv1a32(address.id),
      status: undefined,
      load: undefined,
      loadReceivedMs: 0,
      listedLeaving: address.leaving,
      inFlight: 0,
      inFlightAtReport: 0,
    };
    this.replicas.set(address.id, replica);
  }

  private remove(replica: Replica): void {
    this.replicas.delete(replica.id);
    replica.client.dispose();
  }

  private handleDown(replica: Replica, reason: LinkCloseReason): void {
    replica.status = undefined;
    replica.load = undefined;
    this.events.onDown(replica, reason);
  }

  private handleMessage(replica: Replica, message: MeshMessage): void {
    switch (message.type) {
      case 'status':
        replica.status = message;
        this.events.onStatus(replica);
        return;
      case 'load':
        replica.load = message;
        replica.loadReceivedMs = performance.now();
        replica.inFlightAtReport = replica.inFlight;
        replica.client.silenceTimeoutMs = Math.max(2000, MAX_MISSED_REPORTS * message.nextMs);
        return;
      default:
        this.events.onMessage(replica, message);
    }
  }
}

function sameAddress(a: HostPort, b: HostPort): boolean {
  return a.host === b.host && a.port === b.port;
}
