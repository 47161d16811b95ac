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
const STEWARD_DETECTION_MS = 700;
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
  private availability: ReplicaAvailability = INITIAL_AVAILABILITY;
  private currentLimit: ReplicaRateLimit = NO_RATE_LIMIT;
  private isAddressReassigned = false;
  private stewardState: EngineStateMessage | undefined;
  private load: EngineLoadMessage | undefined;
  private loadReceivedMs = Number.NEGATIVE_INFINITY;
  private ownAtLoad = {inFlight: 0, unstarted: 0, kvTokens: 0};
  private responseLoad: ReportedLoad | undefined;
  private responseLoadMs = 0;
  private inFlightAtResponseLoad = 0;
  /** Newest request that it has answered, by when that was sent and answered. */
  private answered = {sentMs: Number.NEGATIVE_INFINITY, atMs: Number.NEGATIVE_INFINITY};

  /** @param onEligibilityChanged - Called when it may hold something else, or be usable no more. */
  constructor(
    private listed: ReplicaRegistration,
    readonly channel: ReplicaClient,
    private readonly onEligibilityChanged: () => void,
  ) {
    this.idHash = fnv1a32(listed.id);
  }

  /** Its newest entry in the platform's list. */
  get entry(): ReplicaRegistration {
    return this.listed;
  }

  set entry(entry: ReplicaRegistration) {
    this.listed = entry;
    this.onEligibilityChanged();
  }

  /** Newest account of the steward beside it; undefined while there is no link. */
  get state(): EngineStateMessage | undefined {
    return this.stewardState;
  }

  set state(state: EngineStateMessage | undefined) {
    this.stewardState = state;
    this.onEligibilityChanged();
  }

  /** True when another replica has its address now. */
  get addressReassigned(): boolean {
    return this.isAddressReassigned;
  }

  set addressReassigned(displaced: boolean) {
    this.isAddressReassigned = displaced;
    this.onEligibilityChanged();
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
    const stewardSaysLeaving = this.currentStewardState()?.leaving === true;
    return this.entry.leaving || stewardSaysLeaving || this.availability.kind === 'leaving';
  }

  /** Takes in what happened to a request there; returns true when it is known to leave only now. */
  recordEvent(event: AvailabilityEvent, nowMs: number): boolean {
    const before = this.availability;
    this.availability = nextAvailability(before, event, nowMs);
    const startedLeaving = this.availability.kind === 'leaving' && before.kind !== 'leaving';
    if (startedLeaving) this.onEligibilityChanged();
    return startedLeaving;
  }

  eligibilityAt(nowMs: number): Eligibility {
    return eligibilityOf(this.availability, nowMs);
  }

  /** Most requests a second that it takes from all gateways. */
  get limit(): ReplicaRateLimit {
    return this.currentLimit;
  }

  /** Prefill that it takes, as a share of its time; infinity unless it has named a limit. */
  get capacity(): number {
    const {limit} = this;
    if (limit.kind === 'none') return Number.POSITIVE_INFINITY;
    return (limit.perS * this.prefillMs) / 1000;
  }

  /** Takes in what an answer to a request that was sent at `sentMs` says of its limit. */
  updateRateLimit(update: RateLimitUpdate, sentMs: number, nowMs: number): void {
    this.currentLimit = nextRateLimit(this.currentLimit, update, sentMs, nowMs);
  }

  /** Limit that its steward has read, 0 for none; undefined while no steward tells of this start. */
  get stewardLimitPerS(): number | undefined {
    return this.currentStewardState()?.limitPerS;
  }

  /** Milliseconds until it takes requests again; 0 when it has not asked for a pause. */
  remainingPauseMs(nowMs: number): number {
    return remainingPauseMs(this.availability, nowMs);
  }

  /** True when it is known to have ended. */
  get hasEnded(): boolean {
    return this.addressReassigned || this.isReportedEnded();
  }

  /** What it holds: its steward's word if that is of the same incarnation, else its entry's. */
  get models(): readonly LoadedModel[] {
    return this.currentStewardState()?.models ?? this.entry.models;
  }

  get copies(): CachedWeights {
    return this.currentStewardState() ?? this.entry.copies;
  }

  get gateways(): number {
    return this.load?.gateways ?? 0;
  }

  hasLoaded(model: string, adapter: string): boolean {
    const loaded = this.models.find(found => found.name === model);
    return loaded !== undefined && (adapter === '' || loaded.adapters.includes(adapter));
  }

  onLoad(load: EngineLoadMessage, nowMs: number): void {
    this.load = load;
    this.loadReceivedMs = nowMs;
    this.ownAtLoad = {
      inFlight: this.inFlight,
      unstarted: this.unstarted,
      kvTokens: this.kvTokens,
    };
  }

  onResponseLoad(load: ReportedLoad, nowMs: number): void {
    this.responseLoad = load;
    this.responseLoadMs = nowMs;
    this.inFlightAtResponseLoad = this.inFlight;
  }

  /** Notes an answer of this very replica. */
  onResponse(sentMs: number, atMs: number): void {
    if (sentMs > this.answered.sentMs) this.answered = {sentMs, atMs};
  }

  /** True when it has answered a request that was sent after `sinceMs`, and within `limitMs` of it. */
  answeredWithin(sinceMs: number, limitMs: number): boolean {
    const {sentMs, atMs} = this.answered;
    return sentMs > sinceMs && atMs < sinceMs + limitMs;
  }

  /** True when its steward has read reports of the same start since. */
  stewardReportedAliveSince(sinceMs: number): boolean {
    if (this.currentStewardState() === undefined) return false;
    return this.loadReceivedMs > sinceMs + STEWARD_DETECTION_MS;
  }

  recordPrefill(prefillMs: number): void {
    this.prefillMs += ESTIMATE_WEIGHT * (prefillMs - this.prefillMs);
  }

  recordServiceTime(serviceMs: number): void {
    this.serviceMs += ESTIMATE_WEIGHT * (serviceMs - this.serviceMs);
  }

  asEngineCandidate(adapter: string, model: string, slots: number, nowMs: number): EngineCandidate {
    const validMs = LOAD_VALID_INTERVALS * (this.load?.nextMs ?? 0);
    const recentLoad = nowMs - this.loadReceivedMs < validMs ? this.load : undefined;
    const estimateNow = (field: 'inFlight' | 'unstarted' | 'kvTokens', reported: number) =>
      recentLoad === undefined
        ? this[field]
        : Math.max(this[field], reported + this[field] - this.ownAtLoad[field]);
    return {
      id: this.id,
      idHash: this.idHash,
      zone: this.entry.zone,
      hasAdapter: this.hasLoaded(model, adapter),
      awaitingFirstEvent: estimateNow(
        'unstarted',
        (recentLoad?.prefilling ?? 0) + (recentLoad?.waiting ?? 0),
      ),
      active: estimateNow('inFlight', (recentLoad?.running ?? 0) + (recentLoad?.waiting ?? 0)),
      slots,
      kvUsed: estimateNow('kvTokens', recentLoad?.kvUsed ?? 0),
      kvTotal: recentLoad?.kvTotal ?? Number.POSITIVE_INFINITY,
      prefillMs: this.prefillMs,
    };
  }

  asRouteCandidate(): RouteCandidate {
    return {
      id: this.id,
      idHash: this.idHash,
      zone: this.entry.zone,
      reportedPaid: (this.responseLoad?.running ?? 0) + (this.responseLoad?.waiting ?? 0),
      reportedTrial: 0,
      serviceMs: this.serviceMs,
      reportedMs: this.responseLoadMs,
      ownInFlight: this.inFlight,
      ownAtReport: this.inFlightAtResponseLoad,
      slots: Math.max(1, this.entry.slots),
      isBlocked: nowMs => this.eligibilityAt(nowMs) === 'last_resort',
    };
  }

  /** True when the steward beside it finds no replica there, or one that started later. */
  private isReportedEnded(): boolean {
    const {state, entry} = this;
    if (state === undefined) return false;
    return !state.up || (entry.bornMs > 0 && state.bornMs > entry.bornMs);
  }

  private currentStewardState(): (EngineStateMessage & CachedWeights) | undefined {
    const {state, entry} = this;
    if (state === undefined || !state.up) return undefined;
    return entry.bornMs === 0 || state.bornMs === entry.bornMs ? state : undefined;
  }
}
