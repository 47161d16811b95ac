/** Link to the gateway that holds the planner role; reports this gateway's demand to it. */
import {
  Disposer,
  type Clock,
  type CounterFamily,
  type HostPort,
  type Logger,
} from '@jasminepost/core';
import {
  MeshClient,
  type CrashNewsMessage,
  type HandshakeAuthenticator,
  type LimitNewsMessage,
  type LinkCloseReason,
  type MemberInfo,
  type ModelDemandMessage,
  type PermitAskMessage,
  type PermitGrantMessage,
  type StoreChangesMessage,
} from '@jasminepost/mesh';
import {relayedAsOfMs, type TimeEcho} from '@jasminepost/policy';
import {CrashNewsSender, FLEET_REPORT_BYTES_PER_S} from './crash_news_sender.ts';

const DEMAND_INTERVAL_MS = 250;
/**
 * Silence after which the link counts as lost. The planner need not send anything but responses to
 * probes; a link is probed after half of this.
 */
const SILENCE_TIMEOUT_MS = 4000;

/** @internal */
export interface PlannerLinkEvents {
  /** Number of gateways that share the rate of crash reports. */
  gateways(): number;
  /** Returns the demand counted since the last call. */
  collectDemand(): ModelDemandMessage;
  /** Called instead of sending the demand while this gateway is the planner. */
  onLocalDemand(message: ModelDemandMessage): void;
  /** Called for store changes relayed by the planner's gateway. */
  onStoreChanges(message: StoreChangesMessage, asOfMs: number): void;
  /** Requests known here to crash replicas. */
  crashNews(): CrashNewsMessage;
  /** Called when another gateway reports requests that crash replicas. */
  onCrashNews(message: CrashNewsMessage): void;
  /** Rate limits of replicas that are known here. */
  limitNews(): LimitNewsMessage;
  onLimitNews(message: LimitNewsMessage): void;
  onPermits(message: PermitGrantMessage): void;
}

/** @internal */
export class PlannerLink {
  private client: MeshClient | undefined;
  private address: HostPort | undefined;
  private readonly crashNews: CrashNewsSender;
  /** Echo that was sent together with the next store changes. */
  private echo: TimeEcho | undefined;
  private readonly disposer = new Disposer();

  constructor(
    private readonly self: MemberInfo,
    private readonly ownAddress: HostPort,
    private readonly authenticator: HandshakeAuthenticator,
    clock: Clock,
    private readonly log: Logger,
    private readonly faults: CounterFamily<LinkCloseReason>,
    private readonly events: PlannerLinkEvents,
  ) {
    this.crashNews = new CrashNewsSender(
      clock,
      () => FLEET_REPORT_BYTES_PER_S / Math.max(1, events.gateways()),
      message => this.client?.link?.sendDeferrable(message),
    );
    this.disposer.interval(DEMAND_INTERVAL_MS, () => this.sendDemand());
  }

  /** Connects to the holder of the planner role; `address` is undefined while nobody holds it. */
  setHolder(address: HostPort | undefined): void {
    if (address?.host === this.address?.host && address?.port === this.address?.port) return;
    this.log.info('planner holder changed', {
      host: address?.host ?? '',
      before: this.address?.host ?? '',
    });
    this.client?.dispose();
    this.client = undefined;
    this.address = address;
    if (address === undefined || this.isOwnAddress(address)) return;
    this.client = new MeshClient(
      address,
      this.self,
      this.authenticator,
      {
        onUp: client => {
          this.log.info('planner linked', {host: address.host});
          this.echo = undefined;
          // What was sent over an earlier link may have been lost with it.
          this.crashNews.restart(this.events.crashNews());
          const limits = this.events.limitNews();
          if (limits.limits.length > 0) client.link?.send(limits);
        },
        onMessage: (_client, message) => {
          if (message.type === 'crash_news') this.events.onCrashNews(message);
          if (message.type === 'time_echo') this.echo = message;
          if (message.type === 'store_changes') this.receiveStoreChanges(message);
          if (message.type === 'limit_news') this.events.onLimitNews(message);
          if (message.type === 'permit_grant') this.events.onPermits(message);
        },
        onDown: (_client, fault) => this.log.info('planner lost', {host: address.host, fault}),
        isAwaitingReply: () => false,
      },
      this.faults,
    );
    this.client.silenceTimeoutMs = SILENCE_TIMEOUT_MS;
  }

  /** True when this gateway is the known holder of the planner role. */
  get holdsRole(): boolean {
    return this.address !== undefined && this.isOwnAddress(this.address);
  }

  /** Sends crash reports to the planner, which broadcasts it to all gateways. */
  announceCrashes(message: CrashNewsMessage): void {
    if (this.client?.link !== undefined) {
      this.crashNews.add(message);
      return;
    }
    const {length} = message.requests;
    this.log.warn('crash reports not sent', {requests: length, reason: 'no link to a planner'});
  }

  /** Sends rate limits to the planner; without a link, they are sent once there is one. */
  announceLimits(message: LimitNewsMessage): void {
    this.client?.link?.send(message);
  }

  /** Requests permits from the planner; returns false without a link to it. */
  requestPermits(message: PermitAskMessage): boolean {
    return this.client?.link?.send(message) === true;
  }

  dispose(): void {
    this.disposer.dispose();
    this.crashNews.dispose();
    this.client?.dispose();
  }

  private sendDemand(): void {
    this.client?.checkLiveness(performance.now());
    const isPlanner = this.holdsRole;
    const link = this.client?.link;
    if (!isPlanner && link === undefined) return;
    const demand = this.events.collectDemand();
    if (isPlanner) this.events.onLocalDemand(demand);
    else link?.send({...demand, sentMs: performance.now()});
  }

  private receiveStoreChanges(message: StoreChangesMessage): void {
    const asOfMs = relayedAsOfMs(this.echo, message.ageMs, performance.now());
    this.echo = undefined;
    this.events.onStoreChanges(message, asOfMs);
  }

  private isOwnAddress(address: HostPort): boolean {
    return address.host === this.ownAddress.host && address.port === this.ownAddress.port;
  }
}
