/** The planner role: its lease, the planner that runs while held, and the link to its holder. */
import {parseHostPort, type CounterFamily, type HostPort} from '@jasminepost/core';
import {LeaderLease, type KeyValueStore} from '@jasminepost/key_value';
import {
  MeshServer,
  type CrashNewsMessage,
  type HandshakeAuthenticator,
  type LimitNewsMessage,
  type LinkCloseReason,
  type MemberInfo,
  type MeshLink,
  type MeshMessage,
  type ModelDemandMessage,
  type PermitAskMessage,
  type PermitGrantMessage,
  type StoreChangesMessage,
} from '@jasminepost/mesh';
import type {StoreChange} from '@jasminepost/platform';
import type {CreditBucket, WeightLoadReport} from '@jasminepost/policy';
import {CrashNewsSender, FLEET_REPORT_BYTES_PER_S} from './crash_news_sender.ts';
import {PermitRequestHandler} from './permit_request_handler.ts';
import {Planner, type PlannerContext} from './planner.ts';
import {PlannerLink} from './planner_link.ts';

/** Prefix of the role's keys in the store. */
const ROLE_KEY_PREFIX = 'system/planner';
const HOLDER_KEY = `${ROLE_KEY_PREFIX}/holder`;
/** TTL of the lease, after which a lost planner is replaced. */
const LEASE_MS = 1500;
/** Interval at which the lease is checked while nobody holds it, and while a holder is known. */
const VACANT_POLL_MS = 300;
const HELD_POLL_MS = 8000;
/** Share of stewards below which a planner gives up the role: less than one zone of three. */
const MIN_LINKED_SHARE = 0.25;
/** Links are established again within this after a start or an interruption. */
const UNLINKED_GRACE_MS = 1500;

/** Gateways send their demand every 250 ms; two that are late or lost may be missing. */
const RECENT_DEMAND_MS = 800;

/** @internal */
export interface PlannerRoleContext extends Omit<PlannerContext, 'lease' | 'isHeldByOther'> {
  readonly store: KeyValueStore;
  readonly minLeaseMs: number;
  readonly self: MemberInfo;
  /** Address at which other gateways reach this one. */
  readonly address: HostPort;
  readonly authenticator: HandshakeAuthenticator;
  readonly faults: CounterFamily<LinkCloseReason>;
  /** Number of gateways of the fleet. */
  gateways(): number;
  collectDemand(): ModelDemandMessage;
  /** Requests known here to crash replicas. */
  crashNews(): CrashNewsMessage;
  onCrashNews(message: CrashNewsMessage): void;
  /** Rate limits of replicas that are known here. */
  limitNews(): LimitNewsMessage;
  onLimitNews(message: LimitNewsMessage): void;
  /** Called with permits granted after `requestPermits`. */
  onPermits(message: PermitGrantMessage): void;
  /** Number of gateways known in all, within the last half minute. */
  knownGateways(): number;
  configVersion(): number;
  /** Bucket of an organisation's quota; undefined without one. */
  bucketOf(organisation: string): CreditBucket | undefined;
  /** Called for store changes relayed by the planner's gateway. */
  onStoreChanges(message: StoreChangesMessage, asOfMs: number): void;
}

/** @internal */
export class PlannerRole {
  private readonly lease: LeaderLease;
  private readonly planner: Planner;
  private readonly link: PlannerLink;
  private readonly mesh: MeshServer;
  private readonly permitHandler: PermitRequestHandler;
  /** Crash reports to all linked gateways. */
  private readonly crashNews: CrashNewsSender;
  /** Crash reports to gateways that have linked, until all known ones are sent. */
  private readonly crashLists = new Map<MeshLink, CrashNewsSender>();
  /** Time of each linked gateway's last demand, on its clock and on this one's. */
  private readonly lastDemands = new Map<MeshLink, {sentMs: number; receivedMs: number}>();
  private isHolderKnown = false;
  private lastReachedMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly ctx: PlannerRoleContext) {
    const {address, clock, faults, authenticator, log, self} = ctx;
    this.lease = new LeaderLease(
      ctx.store,
      ROLE_KEY_PREFIX,
      `${address.host}:${address.port}`,
      Math.max(LEASE_MS, ctx.minLeaseMs),
      clock,
      log,
      () => (this.isHolderKnown ? HELD_POLL_MS : VACANT_POLL_MS),
      () => this.reachesStewards(),
    );
    this.planner = new Planner({
      ...ctx,
      lease: this.lease,
      isHeldByOther: () => this.isHolderKnown && !this.link.holdsRole,
    });
    this.permitHandler = new PermitRequestHandler({
      clock,
      actingTerm: () => this.planner.actingTerm(),
      isConfirmed: () => this.lease.heldTerm() > 0,
      linkedGateways: () => this.recentGatewayCount(),
      knownGateways: () => ctx.knownGateways(),
      configVersion: () => ctx.configVersion(),
      bucketOf: organisation => ctx.bucketOf(organisation),
    });
    this.crashNews = new CrashNewsSender(
      clock,
      () => this.reportBytesPerLink(),
      message => this.mesh.broadcastDeferrable(message),
    );
    this.link = new PlannerLink(self, address, authenticator, clock, log, faults, {
      gateways: () => ctx.gateways(),
      collectDemand: () => ctx.collectDemand(),
      onLocalDemand: message => {
        this.permitHandler.onTick();
        this.planner.recordDemand(self.id, message);
      },
      onStoreChanges: (message, asOfMs) => ctx.onStoreChanges(message, asOfMs),
      crashNews: () => ctx.crashNews(),
      onCrashNews: message => ctx.onCrashNews(message),
      limitNews: () => ctx.limitNews(),
      onLimitNews: message => ctx.onLimitNews(message),
      onPermits: message => ctx.onPermits(message),
    });
    this.mesh = new MeshServer(
      self,
      authenticator,
      {
        onLink: link => {
          this.sendCrashList(link);
          const limits = ctx.limitNews();
          if (limits.limits.length > 0) link.send(limits);
        },
        onMessage: (link, message) => this.receive(link, message),
        onLinkLost: link => {
          this.endCrashList(link);
          this.lastDemands.delete(link);
        },
      },
      faults,
    );
  }

  async start(): Promise<void> {
    this.lease.start();
    await this.mesh.listen(this.ctx.address);
  }

  /** Handles that the store was restored from an older copy: nobody holds the role. */
  onStoreRestored(): void {
    this.lease.onStoreRestored();
  }

  /** Handles a store change, which may show who holds the role. */
  onStoreChange(change: StoreChange): void {
    if (change.key !== HOLDER_KEY) return;
    const address = parseHolderAddress(change.value);
    this.isHolderKnown = address !== undefined;
    this.link.setHolder(address);
    if (!this.isHolderKnown) this.lease.acquireSoon();
  }

  /** Records a steward's load report; on every gateway, since any may be the next planner. */
  recordLoadReport(host: string, report: WeightLoadReport): void {
    this.planner.recordLoadReport(host, report);
  }

  /** True while this gateway reads the store on behalf of the others. */
  get isRelay(): boolean {
    return this.link.holdsRole;
  }

  /** Number of gateways linked to this one, including itself; 0 unless it holds the role. */
  get linkedGatewayCount(): number {
    return this.isRelay ? this.mesh.links.size + 1 : 0;
  }

  /** Bytes queued to be sent to other gateways. */
  get queuedBytes(): number {
    return this.mesh.queuedBytes();
  }

  /** Relays store changes to the other gateways. */
  relay(message: StoreChangesMessage): void {
    if (!this.isRelay) return;
    const nowMs = this.ctx.clock.monotonicMs();
    for (const [link, {sentMs, receivedMs}] of this.lastDemands) {
      link.send({type: 'time_echo', sentMs, heldMs: Math.max(0, nowMs - receivedMs)});
    }
    this.mesh.broadcast(message);
  }

  /** Reports requests that crash replicas to the other gateways, by way of the planner. */
  announceCrashes(message: CrashNewsMessage): void {
    if (this.link.holdsRole) this.crashNews.add(message);
    else this.link.announceCrashes(message);
  }

  /** Reports rate limits of replicas to the other gateways, by way of the planner. */
  announceLimits(message: LimitNewsMessage): void {
    if (this.link.holdsRole) this.mesh.broadcast(message);
    else this.link.announceLimits(message);
  }

  /** Requests permits; returns false when there is no planner to grant them. */
  requestPermits(message: PermitAskMessage): boolean {
    if (!this.link.holdsRole) return this.link.requestPermits(message);
    const grant = this.permitHandler.answer(message);
    if (grant === undefined) return false;
    this.ctx.onPermits(grant);
    return true;
  }

  dispose(): void {
    this.lease.dispose();
    this.planner.dispose();
    this.crashNews.dispose();
    for (const link of this.crashLists.keys()) this.endCrashList(link);
    this.link.dispose();
    this.mesh.close();
  }

  /** Sends all known crash reports to a gateway that has linked. */
  private sendCrashList(link: MeshLink): void {
    const list = new CrashNewsSender(
      this.ctx.clock,
      () => this.reportBytesPerLink(),
      message => {
        link.sendDeferrable(message);
        if (list.isEmpty) this.endCrashList(link);
      },
    );
    this.crashLists.set(link, list);
    list.add(this.ctx.crashNews());
    if (list.isEmpty) this.endCrashList(link);
  }

  private endCrashList(link: MeshLink): void {
    this.crashLists.get(link)?.dispose();
    this.crashLists.delete(link);
  }

  private reportBytesPerLink(): number {
    return FLEET_REPORT_BYTES_PER_S / Math.max(1, this.mesh.links.size);
  }

  /** Gateways whose demand was heard recently, and this one: they use no fallback. */
  private recentGatewayCount(): number {
    const sinceMs = this.ctx.clock.monotonicMs() - RECENT_DEMAND_MS;
    const recent = [...this.lastDemands.values()].filter(({receivedMs}) => receivedMs >= sinceMs);
    return recent.length + 1;
  }

  private reachesStewards(): boolean {
    const {ctx} = this;
    const nowMs = ctx.clock.monotonicMs();
    const replicas = ctx.engines().flatMap(({service}) => ctx.replicasOf(service));
    const linked = replicas.filter(replica => ctx.isLinked(replica)).length;
    if (linked >= MIN_LINKED_SHARE * replicas.length) this.lastReachedMs = nowMs;
    return nowMs - this.lastReachedMs < UNLINKED_GRACE_MS;
  }

  private receive(link: MeshLink, message: MeshMessage): void {
    switch (message.type) {
      case 'model_demand':
        this.planner.recordDemand(link.peer?.id ?? '', message);
        if (message.sentMs !== undefined) {
          const receivedMs = this.ctx.clock.monotonicMs();
          this.lastDemands.set(link, {sentMs: message.sentMs, receivedMs});
        }
        return;
      case 'crash_news':
        this.ctx.onCrashNews(message);
        this.crashNews.add(message);
        return;
      case 'limit_news':
        this.ctx.onLimitNews(message);
        this.mesh.broadcast(message);
        return;
      case 'permit_ask': {
        const grant = this.permitHandler.answer(message);
        if (grant !== undefined) link.send(grant);
        return;
      }
      default:
        this.ctx.log.warn('message type not handled by a planner', {type: message.type});
    }
  }
}

/** Address of the holder in the role's record; undefined when nobody holds the role. */
function parseHolderAddress(value: string | undefined): HostPort | undefined {
  if (value === undefined) return undefined;
  try {
    const {holder} = JSON.parse(value) as {readonly holder: string};
    return parseHostPort(HOLDER_KEY, holder);
  } catch {
    // A malformed value from another writer names no planner; the next holder replaces it.
    return undefined;
  }
}
