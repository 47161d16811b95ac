/** The planner's role: its lease, the planning while it is held, and the way to its holder. */
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
import type {WeightLoadReport} from '@jasminepost/policy';
import {PermitRequestHandler} from './permit_request_handler.ts';
import {Planner, type PlannerContext} from './planner.ts';
import {PlannerLink} from './planner_link.ts';

/** Prefix of the role's keys. */
const ROLE_KEY_PREFIX = 'system/planner';
const HOLDER_KEY = `${ROLE_KEY_PREFIX}/holder`;
/** Term of the lease: a lost planner is replaced after this. */
const LEASE_MS = 1500;
/** Looks at the role while it is free, and while the feed shows a holder. */
const VACANT_POLL_MS = 300;
const HELD_POLL_MS = 8000;
/** A planner that reaches fewer of the stewards leaves the role: less than one zone of three. */
const MIN_LINKED_SHARE = 0.25;
/** Links are made anew within this after a start or a break. */
const UNLINKED_GRACE_MS = 1500;

/** @internal */
export interface PlannerRoleContext extends Omit<PlannerContext, 'lease' | 'heldByOther'> {
  readonly store: KeyValueStore;
  readonly minLeaseMs: number;
  readonly self: MemberInfo;
  /** Where the other gateways reach this one. */
  readonly address: HostPort;
  readonly guard: HandshakeAuthenticator;
  readonly faults: CounterFamily<LinkCloseReason>;
  collectDemand(): ModelDemandMessage;
  /** What is known here of requests that crash replicas. */
  crashNews(): CrashNewsMessage;
  onCrashNews(message: CrashNewsMessage): void;
  /** What is known here of limits that replicas have named. */
  limitNews(): LimitNewsMessage;
  onLimitNews(message: LimitNewsMessage): void;
  /** Called for an answer to `askPermits`. */
  onPermits(message: PermitGrantMessage): void;
  /** Called for what the planner's gateway has read from the store. */
  onStoreChanges(message: StoreChangesMessage): void;
}

/** @internal */
export class PlannerRole {
  private readonly lease: LeaderLease;
  private readonly planner: Planner;
  private readonly link: PlannerLink;
  private readonly mesh: MeshServer;
  private readonly office: PermitRequestHandler;
  private isHolderKnown = false;
  private lastReachedMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly ctx: PlannerRoleContext) {
    const {address, clock, faults, guard, log, self} = ctx;
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
      heldByOther: () => this.isHolderKnown && !this.link.isSelfPlanner,
    });
    this.office = new PermitRequestHandler(
      clock,
      () => this.planner.actingTerm(),
      () => this.lease.heldTerm() > 0,
    );
    this.link = new PlannerLink(self, address, guard, log, faults, {
      collectDemand: () => ctx.collectDemand(),
      onLocalDemand: message => this.planner.recordDemand(self.id, message),
      onStoreChanges: message => ctx.onStoreChanges(message),
      crashNews: () => ctx.crashNews(),
      onCrashNews: message => ctx.onCrashNews(message),
      limitNews: () => ctx.limitNews(),
      onLimitNews: message => ctx.onLimitNews(message),
      onPermits: message => ctx.onPermits(message),
    });
    this.mesh = new MeshServer(
      self,
      guard,
      {
        onLink: link => {
          const news = ctx.crashNews();
          if (news.requests.length > 0) link.send(news);
          const limits = ctx.limitNews();
          if (limits.limits.length > 0) link.send(limits);
        },
        onMessage: (link, message) => this.receive(link, message),
        onLinkLost: () => undefined,
      },
      faults,
    );
  }

  async start(): Promise<void> {
    this.lease.start();
    await this.mesh.listen(this.ctx.address);
  }

  /** Takes in that the store came back from an older copy: nobody holds the role. */
  onStoreRestored(): void {
    this.lease.onStoreRestored();
  }

  /** Takes in a change in the store that may tell who holds the role. */
  onStoreChange(change: StoreChange): void {
    if (change.key !== HOLDER_KEY) return;
    const address = parseHolderAddress(change.value);
    this.isHolderKnown = address !== undefined;
    this.link.setHolder(address);
    if (!this.isHolderKnown) this.lease.acquireSoon();
  }

  /** Takes in what a steward tells of its replica's loads; any gateway may have to plan next. */
  recordLoadReport(host: string, account: WeightLoadReport): void {
    this.planner.recordLoadReport(host, account);
  }

  /** True while this gateway reads the store for the others. */
  get isRelay(): boolean {
    return this.link.isSelfPlanner;
  }

  /** Gateways linked to this one, with itself; 0 while another plans. */
  get linkedGatewayCount(): number {
    return this.isRelay ? this.mesh.links.size + 1 : 0;
  }

  /** Bytes that wait to be sent to other gateways. */
  get queuedBytes(): number {
    return this.mesh.queuedBytes();
  }

  /** Tells the other gateways what has been read from the store. */
  relay(message: StoreChangesMessage): void {
    if (this.isRelay) this.mesh.broadcast(message);
  }

  /** Tells the other gateways of requests that crash replicas, by way of the planner. */
  announceCrashes(message: CrashNewsMessage): void {
    if (this.link.isSelfPlanner) this.mesh.broadcast(message);
    else this.link.announceCrashes(message);
  }

  /** Tells the other gateways of limits that replicas have named, by way of the planner. */
  announceLimits(message: LimitNewsMessage): void {
    if (this.link.isSelfPlanner) this.mesh.broadcast(message);
    else this.link.announceLimits(message);
  }

  /** Asks for permits; false when nobody can be asked. */
  askPermits(message: PermitAskMessage): boolean {
    if (!this.link.isSelfPlanner) return this.link.askPermits(message);
    const grant = this.office.answer(message);
    if (grant === undefined) return false;
    this.ctx.onPermits(grant);
    return true;
  }

  dispose(): void {
    this.lease.dispose();
    this.planner.dispose();
    this.link.dispose();
    this.mesh.close();
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
        return;
      case 'crash_news':
        this.ctx.onCrashNews(message);
        this.mesh.broadcast(message);
        return;
      case 'limit_news':
        this.ctx.onLimitNews(message);
        this.mesh.broadcast(message);
        return;
      case 'permit_ask': {
        const grant = this.office.answer(message);
        if (grant !== undefined) link.send(grant);
        return;
      }
      default:
        this.ctx.log.warn('message of this type is not for a planner', {type: message.type});
    }
  }
}

/** Address in the role's record; undefined when nobody holds the role. */
function parseHolderAddress(value: string | undefined): HostPort | undefined {
  if (value === undefined) return undefined;
  try {
    const {holder} = JSON.parse(value) as {readonly holder: string};
    return parseHostPort(HOLDER_KEY, holder);
  } catch {
    // Another writer's value names no planner; the next holder replaces it.
    return undefined;
  }
}
