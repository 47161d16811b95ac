/** Mesh links to the stewards of the model replicas. */
import {Disposer, type Clock, type CounterFamily, type Logger} from '@jasminepost/core';
import {
  applyEngineChange,
  MeshClient,
  type EngineStateMessage,
  type HandshakeAuthenticator,
  type LinkCloseReason,
  type MemberInfo,
  type MeshMessage,
  type PlacementMessage,
  type StreamsReplyMessage,
} from '@jasminepost/mesh';
import type {WeightLoadReport} from '@jasminepost/policy';
import type {Replica} from './replica.ts';

const LIVENESS_CHECK_MS = 500;
const MISSED_LOAD_REPORTS = 4;
const MIN_SILENCE_MS = 2000;
/** Minimum interval between two requests for the same adapter. */
const ADAPTER_REQUEST_INTERVAL_MS = 250;
/** Renewal interval and TTL of the load subscription at a replica that gets requests. */
const LOAD_SUBSCRIPTION_INTERVAL_MS = 1000;
const LOAD_SUBSCRIPTION_TTL_MS = 2500;

interface StewardLink {
  readonly client: MeshClient;
  readonly replicas: Set<Replica>;
  /** Latest steward state; it is sent again only when it changes. */
  state: EngineStateMessage | undefined;
  /** When its loads from the weight store began, by this process's clock. */
  loadStartsMs: readonly number[];
  /** When each adapter was last requested, by `model/adapter`. */
  readonly adapterRequestedMs: Map<string, number>;
  /** When the load subscription was last renewed. */
  subscribedMs: number;
}

/** @internal */
export interface StewardLinksContext {
  readonly self: MemberInfo;
  readonly authenticator: HandshakeAuthenticator;
  /** Mesh port, the same on every instance. */
  readonly port: number;
  readonly clock: Clock;
  readonly log: Logger;
  readonly faults: CounterFamily<LinkCloseReason>;
  isEngine(service: string): boolean;
  /** Called when a steward has reported its replica's loads from the weight store. */
  onLoadReport(host: string, report: WeightLoadReport): void;
  onLinked(host: string): void;
  onStreamsReply(host: string, reply: StreamsReplyMessage): void;
  /** Called when the steward state of a replica has changed or been lost. */
  onStateChanged(replica: Replica): void;
  /** Called when a replica's state or load has changed, which affects selection. */
  onChanged(): void;
}

/** @internal */
export class StewardLinks {
  private readonly byHost = new Map<string, StewardLink>();
  private readonly disposer = new Disposer();

  constructor(private readonly ctx: StewardLinksContext) {
    this.disposer.interval(LIVENESS_CHECK_MS, () => this.checkLiveness());
  }

  /** Opens the link to the steward of a model replica, unless there is one. */
  addEngine(replica: Replica): void {
    const {address, service} = replica.entry;
    if (!this.ctx.isEngine(service)) return;
    const link = this.byHost.get(address.host) ?? this.open(address.host);
    link.replicas.add(replica);
    // The steward may have reported the replica's state before its entry was listed.
    replica.state = link.state;
    this.sendIdentity(link, replica);
  }

  remove(replica: Replica): void {
    const {host} = replica.entry.address;
    const link = this.byHost.get(host);
    if (link === undefined) return;
    link.replicas.delete(replica);
    if (link.replicas.size > 0) return;
    this.byHost.delete(host);
    link.client.dispose();
  }

  isLinked(replica: Replica): boolean {
    return this.byHost.get(replica.entry.address.host)?.client.link !== undefined;
  }

  /** True when the replica can load an adapter now; it accepts one order at a time. */
  canLoadAdapter(replica: Replica): boolean {
    return this.isLinked(replica) && replica.state?.up === true && replica.state.moving === '';
  }

  /** Asks a replica's steward to load an adapter, or reports to it that the adapter is in use. */
  requestAdapter(replica: Replica, model: string, adapter: string): void {
    const link = this.byHost.get(replica.entry.address.host);
    if (link === undefined) return;
    const key = `${model}/${adapter}`;
    const nowMs = this.ctx.clock.monotonicMs();
    if (
      nowMs - (link.adapterRequestedMs.get(key) ?? Number.NEGATIVE_INFINITY) <
      ADAPTER_REQUEST_INTERVAL_MS
    )
      return;
    link.adapterRequestedMs.set(key, nowMs);
    link.client.link?.send({type: 'adapter_wish', model, adapter});
  }

  /** Renews the subscription to frequent load reports of a replica that gets requests. */
  renewLoadSubscription(replica: Replica): void {
    const link = this.byHost.get(replica.entry.address.host);
    const nowMs = this.ctx.clock.monotonicMs();
    if (link === undefined || nowMs - link.subscribedMs < LOAD_SUBSCRIPTION_INTERVAL_MS) return;
    link.subscribedMs = nowMs;
    link.client.link?.send({type: 'load_interest', validMs: LOAD_SUBSCRIPTION_TTL_MS});
  }

  sendPlacement(replica: Replica, message: PlacementMessage): boolean {
    return this.send(replica.entry.address.host, message);
  }

  /** @returns False while the steward on that instance isn't linked. */
  send(host: string, message: MeshMessage): boolean {
    return this.byHost.get(host)?.client.link?.send(message) ?? false;
  }

  /** Hosts of the stewards beside the replicas of a service, linked or not. */
  hostsOf(service: string): string[] {
    const hosts: string[] = [];
    for (const [host, {replicas}] of this.byHost) {
      if ([...replicas].some(replica => replica.entry.service === service)) hosts.push(host);
    }
    return hosts;
  }

  dispose(): void {
    this.disposer.dispose();
    for (const link of this.byHost.values()) link.client.dispose();
    this.byHost.clear();
  }

  private open(host: string): StewardLink {
    const client: MeshClient = new MeshClient(
      {host, port: this.ctx.port},
      this.ctx.self,
      this.ctx.authenticator,
      {
        onUp: () => {
          this.ctx.log.info('steward linked', {host});
          link.subscribedMs = Number.NEGATIVE_INFINITY;
          for (const replica of link.replicas) this.sendIdentity(link, replica);
          this.ctx.onLinked(host);
        },
        onMessage: (_client, message) => this.receive(link, message),
        onDown: (_client, fault) => this.onLinkLost(host, link, fault),
        isAwaitingReply: () => false,
      },
      this.ctx.faults,
    );
    const link: StewardLink = {
      client,
      replicas: new Set(),
      state: undefined,
      loadStartsMs: [],
      adapterRequestedMs: new Map(),
      subscribedMs: Number.NEGATIVE_INFINITY,
    };
    this.byHost.set(host, link);
    return link;
  }

  private sendIdentity(link: StewardLink, replica: Replica): void {
    const {id, bornMs} = replica.entry;
    link.client.link?.send({type: 'replica_identity', id, bornMs});
  }

  private receive(link: StewardLink, message: MeshMessage): void {
    switch (message.type) {
      case 'engine_state':
        this.applyState(link, message, message.loadsBeganMs);
        return;
      case 'engine_change':
        // A change is relative to the state before it; a link begins with a full state.
        if (link.state === undefined) return;
        this.applyState(link, applyEngineChange(link.state, message), message.loadsBeganMs);
        return;
      case 'streams_reply':
        this.ctx.onStreamsReply(link.client.address.host, message);
        return;
      case 'engine_load':
        link.client.silenceTimeoutMs = Math.max(
          MIN_SILENCE_MS,
          MISSED_LOAD_REPORTS * message.nextMs,
        );
        for (const replica of link.replicas) replica.onLoad(message, this.ctx.clock.monotonicMs());
        this.ctx.onChanged();
        return;
      default:
        this.ctx.log.warn('message type not handled by a gateway', {type: message.type});
    }
  }

  /** @param loadsBeganMs - Relative to now; undefined when they have not changed. */
  private applyState(
    link: StewardLink,
    state: EngineStateMessage,
    loadsBeganMs: readonly number[] | undefined,
  ): void {
    const nowMs = this.ctx.clock.monotonicMs();
    if (loadsBeganMs !== undefined)
      link.loadStartsMs = loadsBeganMs.map(sinceMs => nowMs + sinceMs);
    this.setState(link, state);
    const {term, closed} = state;
    this.ctx.onLoadReport(link.client.address.host, {
      term,
      closed,
      latestStartsMs: link.loadStartsMs,
    });
  }

  private onLinkLost(host: string, link: StewardLink, fault: LinkCloseReason): void {
    this.ctx.log.warn('steward lost', {host, fault});
    link.adapterRequestedMs.clear();
    this.setState(link, undefined);
  }

  private setState(link: StewardLink, state: EngineStateMessage | undefined): void {
    link.state = state;
    for (const replica of link.replicas) {
      replica.state = state;
      this.ctx.onStateChanged(replica);
    }
    this.ctx.onChanged();
  }

  private checkLiveness(): void {
    const nowMs = performance.now();
    for (const {client} of this.byHost.values()) client.checkLiveness(nowMs);
  }
}
