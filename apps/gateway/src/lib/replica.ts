/** One replica as this gateway sees it. */
import {fnv1a32} from '@jasminepost/core';
import type {EngineLoadMessage, EngineStateMessage} from '@jasminepost/mesh';
import type {ReplicaClient, ReportedLoad} from '@jasminepost/platform';
import {
  eligibilityOf,
  INITIAL_AVAILABILITY,
  nextRateLimit,
  nextAvailability,
  NO_RATE_LIMIT,
  remainingPauseMs,
  type EngineCandidate,
  type RateLimitUpdate,
  type Eligibility,
  type ReplicaAvailability,
  type RouteCandidate,
  type AvailabilityEvent,
  type ReplicaRateLimit,
} from '@jasminepost/policy';
import type {LoadedModel, ReplicaRegistration, CachedWeights} from '@jasminepost/serving';

/** A steward's load report that is older than two of its intervals says nothing of the load now. */
const LOAD_VALID_INTERVALS = 2;
/** Time in which a steward notices that its replica has ended, with the way of its word. */
const STEWARD_NOTICE_MS = 700;
/** Start of the estimate of one request's time at a plain service. */
const INITIAL_SERVICE_MS = 50;
/** Start of the estimate of the time up to a first event. */
const INITIAL_PREFILL_MS = 80;
const ESTIMATE_WEIGHT = 0.1;

/** @internal */
export class Replica {
  readonly idHash: number;
  /** Requests of this gateway in progress there. */
  inFlight = 0;
  /** Those without a first event. */
  unstarted = 0;
  /** Tokens that those in progress hold or will hold. */
  kvTokens = 0;
  serviceMs = INITIAL_SERVICE_MS;
  prefillMs = INITIAL_PREFILL_MS;
  private standing: ReplicaAvailability = INITIAL_AVAILABILITY;
  private statedLimit: ReplicaRateLimit = NO_RATE_LIMIT;
  private isDisplaced = false;
  private account: EngineStateMessage | undefined;
  private load: EngineLoadMessage | undefined;
  private loadMs = Number.NEGATIVE_INFINITY;
  private atLoad = {inFlight: 0, unstarted: 0, kvTokens: 0};
  private stated: ReportedLoad | undefined;
  private statedMs = 0;
  private inFlightAtStated = 0;
  /** Newest request that it has answered, by when that was sent and answered. */
  private answered = {sentMs: Number.NEGATIVE_INFINITY, atMs: Number.NEGATIVE_INFINITY};

  /** @param onHoldsChanged - Called when it may hold something else, or be usable no more. */
  constructor(
    private listed: ReplicaRegistration,
    readonly channel: ReplicaClient,
    private readonly onHoldsChanged: () => void,
  ) {
    this.idHash = fnv1a32(listed.id);
  }

  /** Its newest entry in the platform's list. */
  get entry(): ReplicaRegistration {
    return this.listed;
  }

  set entry(entry: ReplicaRegistration) {
    this.listed = entry;
    this.onHoldsChanged();
  }

  /** Newest account of the steward beside it; undefined while there is no link. */
  get state(): EngineStateMessage | undefined {
    return this.account;
  }

  set state(state: EngineStateMessage | undefined) {
    this.account = state;
    this.onHoldsChanged();
  }

  /** True when another replica has its address now. */
  get displaced(): boolean {
    return this.isDisplaced;
  }

  set displaced(displaced: boolean) {
    this.isDisplaced = displaced;
    this.onHoldsChanged();
  }

  get id(): string {
    return this.entry.id;
  }

  /** True when new requests may go there. */
  get usable(): boolean {
    return !this.isLeaving && !this.hasEnded;
  }

  /** True when its entry, its steward or one of its own answers says that it leaves. */
  get isLeaving(): boolean {
    const told = this.stewardAccount()?.leaving === true;
    return this.entry.leaving || told || this.standing.kind === 'leaving';
  }

  /** Takes in what happened to a request there; returns true when it is known to leave only now. */
  note(event: AvailabilityEvent, nowMs: number): boolean {
    const before = this.standing;
    this.standing = nextAvailability(before, event, nowMs);
    const leaves = this.standing.kind === 'leaving' && before.kind !== 'leaving';
    if (leaves) this.onHoldsChanged();
    return leaves;
  }

  mayTake(nowMs: number): Eligibility {
    return eligibilityOf(this.standing, nowMs);
  }

  /** Most requests a second that it takes from all gateways. */
  get limit(): ReplicaRateLimit {
    return this.statedLimit;
  }

  /** Prefill that it takes, as a share of its time; infinity unless it has named a limit. */
  get capacity(): number {
    const {limit} = this;
    if (limit.kind === 'none') return Number.POSITIVE_INFINITY;
    return (limit.perS * this.prefillMs) / 1000;
  }

  /** Takes in what an answer to a request that was sent at `sentMs` says of its limit. */
  noteLimit(word: RateLimitUpdate, sentMs: number, nowMs: number): void {
    this.statedLimit = nextRateLimit(this.statedLimit, word, sentMs, nowMs);
  }

  /** Limit that its steward has read, 0 for none; undefined while no steward tells of this start. */
  get stewardLimitPerS(): number | undefined {
    return this.stewardAccount()?.limitPerS;
  }

  /** Milliseconds until it takes requests again; 0 when it has not asked for a pause. */
  pauseLeftMs(nowMs: number): number {
    return remainingPauseMs(this.standing, nowMs);
  }

  /** True when it is known to have ended. */
  get hasEnded(): boolean {
    return this.displaced || this.isDown();
  }

  /** What it holds: its steward's word if that is of the same incarnation, else its entry's. */
  get models(): readonly LoadedModel[] {
    return this.stewardAccount()?.models ?? this.entry.models;
  }

  get copies(): CachedWeights {
    return this.stewardAccount() ?? this.entry.copies;
  }

  get gateways(): number {
    return this.load?.gateways ?? 0;
  }

  holds(model: string, adapter: string): boolean {
    const held = this.models.find(found => found.name === model);
    return held !== undefined && (adapter === '' || held.adapters.includes(adapter));
  }

  onLoad(load: EngineLoadMessage, nowMs: number): void {
    this.load = load;
    this.loadMs = nowMs;
    this.atLoad = {
      inFlight: this.inFlight,
      unstarted: this.unstarted,
      kvTokens: this.kvTokens,
    };
  }

  onStatedLoad(load: ReportedLoad, nowMs: number): void {
    this.stated = load;
    this.statedMs = nowMs;
    this.inFlightAtStated = this.inFlight;
  }

  /** Notes an answer of this very replica. */
  onAnswered(sentMs: number, atMs: number): void {
    if (sentMs > this.answered.sentMs) this.answered = {sentMs, atMs};
  }

  /** True when it has answered a request that was sent after `sinceMs`, and within `limitMs` of it. */
  answeredWithin(sinceMs: number, limitMs: number): boolean {
    const {sentMs, atMs} = this.answered;
    return sentMs > sinceMs && atMs < sinceMs + limitMs;
  }

  /** True when its steward has read reports of the same start since. */
  stewardSawAliveSince(sinceMs: number): boolean {
    if (this.stewardAccount() === undefined) return false;
    return this.loadMs > sinceMs + STEWARD_NOTICE_MS;
  }

  learnPrefill(prefillMs: number): void {
    this.prefillMs += ESTIMATE_WEIGHT * (prefillMs - this.prefillMs);
  }

  learnService(servedMs: number): void {
    this.serviceMs += ESTIMATE_WEIGHT * (servedMs - this.serviceMs);
  }

  asEngineCandidate(adapter: string, model: string, slots: number, nowMs: number): EngineCandidate {
    const validMs = LOAD_VALID_INTERVALS * (this.load?.nextMs ?? 0);
    const known = nowMs - this.loadMs < validMs ? this.load : undefined;
    const since = (own: 'inFlight' | 'unstarted' | 'kvTokens', reported: number) =>
      known === undefined
        ? this[own]
        : Math.max(this[own], reported + this[own] - this.atLoad[own]);
    return {
      id: this.id,
      idHash: this.idHash,
      zone: this.entry.zone,
      hasAdapter: this.holds(model, adapter),
      awaitingFirstEvent: since('unstarted', (known?.prefilling ?? 0) + (known?.waiting ?? 0)),
      active: since('inFlight', (known?.running ?? 0) + (known?.waiting ?? 0)),
      slots,
      kvUsed: since('kvTokens', known?.kvUsed ?? 0),
      kvTotal: known?.kvTotal ?? Number.POSITIVE_INFINITY,
      prefillMs: this.prefillMs,
    };
  }

  asRouteCandidate(): RouteCandidate {
    return {
      id: this.id,
      idHash: this.idHash,
      zone: this.entry.zone,
      reportedPaid: (this.stated?.running ?? 0) + (this.stated?.waiting ?? 0),
      reportedTrial: 0,
      serviceMs: this.serviceMs,
      reportedMs: this.statedMs,
      ownInFlight: this.inFlight,
      ownAtReport: this.inFlightAtStated,
      slots: Math.max(1, this.entry.slots),
      isBlocked: nowMs => this.mayTake(nowMs) === 'last_resort',
    };
  }

  /** True when the steward beside it finds no replica there, or one that started later. */
  private isDown(): boolean {
    const {state, entry} = this;
    if (state === undefined) return false;
    return !state.up || (entry.bornMs > 0 && state.bornMs > entry.bornMs);
  }

  private stewardAccount(): (EngineStateMessage & CachedWeights) | undefined {
    const {state, entry} = this;
    if (state === undefined || !state.up) return undefined;
    return entry.bornMs === 0 || state.bornMs === entry.bornMs ? state : undefined;
  }
}
