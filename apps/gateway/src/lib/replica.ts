/** This gateway's view of one replica: registration, steward state, availability, and load. */
import {fnv1a32} from '@jasminepost/core';
import type {EngineLoadMessage, EngineStateMessage} from '@jasminepost/mesh';
import type {ReplicaClient, ReportedLoad} from '@jasminepost/platform';
import {
  correctPace,
  eligibilityOf,
  expectedPace,
  nextPace,
  reportedPace,
  nextRateLimit,
  nextAvailability,
  remainingPauseMs,
  type EngineCandidate,
  type RateLimitUpdate,
  type Eligibility,
  type RouteCandidate,
  type AvailabilityEvent,
  type ReplicaRateLimit,
} from '@jasminepost/policy';
import {
  incarnationId,
  type CachedWeights,
  type LoadedModel,
  type ReplicaRegistration,
} from '@jasminepost/serving';
import type {IncarnationRecord} from './incarnation_records.ts';

/** A load report is used for two of its intervals; later it says nothing about the current load. */
const LOAD_VALID_INTERVALS = 2;
/** Time in which a steward detects that its replica has ended, and the gateway learns of it. */
const STEWARD_DETECTION_MS = 700;
/** Initial estimate of the service time of a request to a plain service. */
const INITIAL_SERVICE_MS = 50;
/** Initial estimate of the time to the first event. */
const INITIAL_PREFILL_MS = 80;
/** Weight of a new sample in the moving averages. */
const ESTIMATE_WEIGHT = 0.1;

/** @internal */
export class Replica {
  readonly idHash: number;
  /** Requests of this gateway in progress on the replica. */
  inFlight = 0;
  /** Requests of this gateway that wait for their first event. */
  awaitingFirstEvent = 0;
  /** Prefill time of these requests at the usual pace. */
  private awaitingMs = 0;
  /** Mean prefill time of this gateway's requests at the usual pace, taken as that of all. */
  private usualPrefillMs = INITIAL_PREFILL_MS;
  /** KV cache tokens that this gateway's requests in progress occupy or will occupy. */
  kvTokens = 0;
  serviceMs = INITIAL_SERVICE_MS;
  prefillMs = INITIAL_PREFILL_MS;
  /** True while its entry is missing after an outage of the store, and may yet be renewed. */
  isMissing = false;
  private isAddressReassigned = false;
  private stewardState: EngineStateMessage | undefined;
  private load: EngineLoadMessage | undefined;
  private loadReceivedMs = Number.NEGATIVE_INFINITY;
  /** This gateway's own counters when the load report arrived. */
  private ownAtLoad = {inFlight: 0, awaitingFirstEvent: 0, kvTokens: 0};
  private responseLoad: ReportedLoad | undefined;
  private responseLoadMs = 0;
  private inFlightAtResponseLoad = 0;
  /** The most recently sent request that it has responded to: times of sending and of response. */
  private answered = {sentMs: Number.NEGATIVE_INFINITY, atMs: Number.NEGATIVE_INFINITY};

  /**
   * @param learned - Shared with earlier and later entries of the same incarnation.
   * @param onEligibilityChanged - Called when its models or its usability may have changed.
   */
  constructor(
    private listed: ReplicaRegistration,
    readonly client: ReplicaClient,
    readonly learned: IncarnationRecord,
    private readonly onEligibilityChanged: () => void,
  ) {
    this.idHash = fnv1a32(listed.id);
  }

  /** Its newest registration in the platform's list. */
  get entry(): ReplicaRegistration {
    return this.listed;
  }

  set entry(entry: ReplicaRegistration) {
    this.listed = entry;
    this.onEligibilityChanged();
  }

  /** Newest state from its steward; undefined while there is no link to the steward. */
  get state(): EngineStateMessage | undefined {
    return this.stewardState;
  }

  set state(state: EngineStateMessage | undefined) {
    this.stewardState = state;
    this.onEligibilityChanged();
  }

  /** True when another replica, or a later start of this one, is at its address. */
  get addressReassigned(): boolean {
    return this.isAddressReassigned;
  }

  set addressReassigned(reassigned: boolean) {
    this.isAddressReassigned = reassigned;
    this.onEligibilityChanged();
  }

  get id(): string {
    return this.entry.id;
  }

  /** Id of this start of it. */
  get incarnation(): string {
    return incarnationId(this.entry);
  }

  /** True when its software has the version, or any version will do. */
  mayServeVersion(version: string | undefined): boolean {
    return version === undefined || this.entry.softwareVersion === version;
  }

  /** True when it may receive new requests. */
  get usable(): boolean {
    return !this.isLeaving && !this.hasEnded;
  }

  /** True when its registration, its steward, or one of its responses says that it is leaving. */
  get isLeaving(): boolean {
    const stewardSaysLeaving = this.currentStewardState()?.leaving === true;
    return this.entry.leaving || stewardSaysLeaving || this.learned.availability.kind === 'leaving';
  }

  /** Records what happened to a request; returns true when this reveals that it is leaving. */
  recordEvent(event: AvailabilityEvent, nowMs: number): boolean {
    const before = this.learned.availability;
    this.learned.availability = nextAvailability(before, event, nowMs);
    const startedLeaving =
      this.learned.availability.kind === 'leaving' && before.kind !== 'leaving';
    if (startedLeaving) this.onEligibilityChanged();
    return startedLeaving;
  }

  eligibilityAt(nowMs: number): Eligibility {
    const eligibility = eligibilityOf(this.learned.availability, nowMs);
    // It may have left during the outage.
    return eligibility === 'yes' && this.isMissing ? 'last_resort' : eligibility;
  }

  /** Rate limit that it imposes on all gateways together. */
  get limit(): ReplicaRateLimit {
    return this.learned.limit;
  }

  /** Share of its time that its rate limit lets it spend on prefill; infinity without a limit. */
  get capacity(): number {
    const {limit} = this;
    if (limit.kind === 'none') return Number.POSITIVE_INFINITY;
    return (limit.perS * this.prefillMs) / 1000;
  }

  /** Applies what the response to a request sent at `sentMs` states about its rate limit. */
  updateRateLimit(update: RateLimitUpdate, sentMs: number, nowMs: number): void {
    this.learned.limit = nextRateLimit(this.limit, update, sentMs, nowMs);
  }

  /** Rate limit in its steward's state, 0 for none; undefined without a current steward state. */
  get stewardLimitPerS(): number | undefined {
    return this.currentStewardState()?.limitPerS;
  }

  /** Milliseconds until its pause ends; 0 when it is not paused. */
  remainingPauseMs(nowMs: number): number {
    return remainingPauseMs(this.learned.availability, nowMs);
  }

  /** True when it is known to have ended. */
  get hasEnded(): boolean {
    return this.addressReassigned || this.isReportedEnded();
  }

  /** Loaded models, from its steward if that reports on this incarnation, else its registration. */
  get models(): readonly LoadedModel[] {
    return this.currentStewardState()?.models ?? this.entry.models;
  }

  get copies(): CachedWeights {
    return this.currentStewardState() ?? this.entry.copies;
  }

  /** Number of gateways that are linked to its steward; 0 while unknown. */
  get gateways(): number {
    return this.load?.gateways ?? 0;
  }

  /** True when it has loaded the model and, unless that is empty, the adapter. */
  hasLoaded(model: string, adapter: string): boolean {
    const loaded = this.models.find(found => found.name === model);
    return loaded !== undefined && (adapter === '' || loaded.adapters.includes(adapter));
  }

  /** Records a load report of its steward. */
  onLoad(load: EngineLoadMessage, nowMs: number): void {
    this.load = load;
    this.loadReceivedMs = nowMs;
    this.ownAtLoad = {
      inFlight: this.inFlight,
      awaitingFirstEvent: this.awaitingFirstEvent,
      kvTokens: this.kvTokens,
    };
  }

  /** Records the load that it states in a response. */
  onResponseLoad(load: ReportedLoad, nowMs: number): void {
    this.responseLoad = load;
    this.responseLoadMs = nowMs;
    this.inFlightAtResponseLoad = this.inFlight;
    if (load.pace !== undefined) this.learned.pace = nextPace(this.learned.pace, load.pace, nowMs);
  }

  /** Factor of the usual time that work takes there; undefined before its first report. */
  paceAt(nowMs: number): number | undefined {
    const {pace} = this.learned;
    return pace === undefined ? undefined : expectedPace(pace, nowMs);
  }

  /** Average factor of the usual time that work takes there; 1 before its first report. */
  get usualPace(): number {
    const {pace} = this.learned;
    return pace === undefined ? 1 : pace.mean * pace.correction;
  }

  /** The same by its reports alone; 1 before the first. */
  reportedPaceAt(nowMs: number): number {
    const {pace} = this.learned;
    return pace === undefined ? 1 : reportedPace(pace, nowMs);
  }

  /** Age of its latest report of its pace; undefined before the first. */
  paceAgeMs(nowMs: number): number | undefined {
    const {pace} = this.learned;
    return pace === undefined ? undefined : Math.round(nowMs - pace.latestMs);
  }

  /**
   * Compares a measured time with the time that the work takes at the usual pace.
   *
   * @param weight - See `correctPace`.
   */
  onWorkMeasured(usualMs: number, measuredMs: number, nowMs: number, weight?: number): void {
    const {pace} = this.learned;
    if (pace === undefined) return;
    this.learned.pace = correctPace(pace, usualMs, measuredMs, nowMs, weight);
  }

  /** Adds a request of this gateway to those without a first event, or removes it. */
  onAwaiting(change: 1 | -1, prefillMs: number): void {
    this.awaitingFirstEvent += change;
    this.awaitingMs += change * prefillMs;
    if (change === 1 && prefillMs > 0) {
      this.usualPrefillMs += ESTIMATE_WEIGHT * (prefillMs - this.usualPrefillMs);
    }
  }

  /** Expected time until its requests that have had no first event yet have had it. */
  backlogMs(nowMs: number): number {
    return this.backlogOf(this.expectedAwaiting(nowMs), this.paceAt(nowMs));
  }

  private backlogOf(count: number, pace: number | undefined): number {
    if (pace === undefined) return count * this.prefillMs;
    const others = Math.max(0, count - this.awaitingFirstEvent);
    return pace * (this.awaitingMs + others * this.usualPrefillMs);
  }

  /** Records a response that came from this replica and not from another at its address. */
  onResponse(sentMs: number, atMs: number): void {
    if (sentMs > this.answered.sentMs) this.answered = {sentMs, atMs};
  }

  /** True when it responded to a request sent after `sinceMs` within `limitMs` of that time. */
  answeredWithin(sinceMs: number, limitMs: number): boolean {
    const {sentMs, atMs} = this.answered;
    return sentMs > sinceMs && atMs < sinceMs + limitMs;
  }

  /** True when its steward reported this incarnation's load late enough to have noticed an end. */
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
    const recentLoad = this.recentLoad(nowMs);
    const inFlight = (recentLoad?.running ?? 0) + (recentLoad?.waiting ?? 0);
    const awaitingFirstEvent = this.expectedAwaiting(nowMs);
    const pace = this.paceAt(nowMs);
    return {
      id: this.id,
      idHash: this.idHash,
      zone: this.entry.zone,
      hasAdapter: this.hasLoaded(model, adapter),
      awaitingFirstEvent,
      active: this.estimateNow('inFlight', inFlight, nowMs),
      slots,
      kvUsed: this.estimateNow('kvTokens', recentLoad?.kvUsed ?? 0, nowMs),
      kvTotal: recentLoad?.kvTotal ?? Number.POSITIVE_INFINITY,
      backlogMs: this.backlogOf(awaitingFirstEvent, pace),
      pace,
    };
  }

  /** Age of the newest load that it or its steward has reported. */
  loadAgeMs(nowMs: number): number {
    return nowMs - Math.max(this.loadReceivedMs, this.responseLoadMs);
  }

  asRouteCandidate(nowMs: number): RouteCandidate {
    const {pace} = this.learned;
    const paceRatio = pace === undefined ? 1 : reportedPace(pace, nowMs) / pace.mean;
    return {
      id: this.id,
      idHash: this.idHash,
      zone: this.entry.zone,
      reportedPaid: (this.responseLoad?.running ?? 0) + (this.responseLoad?.waiting ?? 0),
      reportedTrial: 0,
      serviceMs: this.serviceMs * paceRatio,
      reportsPace: pace !== undefined,
      reportedMs: this.responseLoadMs,
      ownInFlight: this.inFlight,
      ownAtReport: this.inFlightAtResponseLoad,
      slots: Math.max(1, this.entry.slots),
      isBlocked: nowMs => this.eligibilityAt(nowMs) === 'last_resort',
    };
  }

  private recentLoad(nowMs: number): EngineLoadMessage | undefined {
    const validMs = LOAD_VALID_INTERVALS * (this.load?.nextMs ?? 0);
    return nowMs - this.loadReceivedMs < validMs ? this.load : undefined;
  }

  private expectedAwaiting(nowMs: number): number {
    const load = this.recentLoad(nowMs);
    const reported = (load?.prefilling ?? 0) + (load?.waiting ?? 0);
    return this.estimateNow('awaitingFirstEvent', reported, nowMs);
  }

  /** A reported number, corrected by this gateway's own changes since the report. */
  private estimateNow(
    field: 'inFlight' | 'awaitingFirstEvent' | 'kvTokens',
    reported: number,
    nowMs: number,
  ): number {
    if (this.recentLoad(nowMs) === undefined) return this[field];
    return Math.max(this[field], reported + this[field] - this.ownAtLoad[field]);
  }

  /** True when its steward finds no replica, or one that was started later. */
  private isReportedEnded(): boolean {
    const {state, entry} = this;
    if (state === undefined) return false;
    return !state.up || (entry.bornMs > 0 && state.bornMs > entry.bornMs);
  }

  /** State from its steward, if that is about a running replica of this incarnation. */
  private currentStewardState(): (EngineStateMessage & CachedWeights) | undefined {
    const {state, entry} = this;
    if (state === undefined || !state.up) return undefined;
    return entry.bornMs === 0 || state.bornMs === entry.bornMs ? state : undefined;
  }
}
