/** Finds requests that crash the replicas which run them, and keeps them from further replicas. */
import {sha256Hex, type Clock, type CounterFamily, type Logger} from '@jasminepost/core';
import type {CrashNewsMessage} from '@jasminepost/mesh';
import {CrashRecord, type CrashDecision, type ReplicaFailure} from '@jasminepost/policy';
import {incarnationId} from '@jasminepost/serving';
import type {CrashEvidence} from './gateway_metrics.ts';
import type {Replica} from './replica.ts';

/** Time in which a list that is up to date drops a replica that has ended: three heartbeats and more. */
const LIST_CONFIRM_MS = 5000;
/** A replica that answers this soon after a cut has not ended: a restart takes longer. */
const MIN_RESTART_MS = 1000;
const CHECK_INTERVAL_MS = 100;
/** Most cuts are explained by then; the others are told to the other gateways. */
const ANNOUNCE_DELAY_MS = 300;
/** A held request is told to come back after this while a replica may still turn out to live. */
const UNRESOLVED_RETRY_AFTER_MS = 800;
const MAX_SUSPECTS = 5000;
const FINGERPRINT_DIGITS = 24;

/** A request as it looks when it comes again, under another id. @internal */
export interface RequestContent {
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
}

/** News of one request. @internal */
export type CrashNews = CrashNewsMessage['requests'][number];

/** @internal */
export interface CrashDetectorContext {
  readonly clock: Clock;
  readonly log: Logger;
  readonly evidence: CounterFamily<CrashEvidence>;
  /** Id of this gateway. */
  readonly self: string;
  /** True once the replica is known to have ended. */
  isLost(replica: Replica): boolean;
  /** True while the platform's list is followed without a gap. */
  isListUpToDate(): boolean;
  /** Takes the fleet's leave to try a suspected request. */
  acquireTrial(fingerprint: string): Promise<boolean>;
  /** Tells the other gateways. */
  announce(message: CrashNewsMessage): void;
}

/**
 * `presumed`: the connection ended, which counts until the replica turns out to live. `possible`: the
 * caller left first, which counts only once the replica is known to have ended.
 */
type EvidenceWeight = 'presumed' | 'possible';

/** An attempt that may have ended its replica. */
interface Suspect {
  readonly fingerprint: string;
  readonly replica: Replica;
  readonly sentMs: number;
  readonly atMs: number;
  readonly weight: EvidenceWeight;
  isQueued: boolean;
  /** Time since then in which a lost replica would have left the list. */
  upToDateMs: number;
}

/**
 * Keeps the evidence of this gateway: each attempt that may have ended its replica is watched until
 * it is known whether the replica lives. `CrashRecord` decides what the endings mean.
 *
 * @internal
 */
export class CrashDetector {
  private readonly record: CrashRecord;
  private suspects: Suspect[] = [];
  private readonly trials = new Set<string>();
  private unsentNews = new Map<string, CrashNews>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly ctx: CrashDetectorContext) {
    this.record = new CrashRecord(ctx.self);
  }

  /** Whether the request may be sent now. */
  decide(fingerprint: () => string): CrashDecision {
    if (this.record.isEmpty) return {kind: 'free'};
    const id = fingerprint();
    const decision = this.record.decide(id, this.ctx.clock.monotonicMs());
    if (decision.kind !== 'hold' || !this.hasUnresolved(id)) return decision;
    return {kind: 'hold', retryAfterMs: Math.min(decision.retryAfterMs, UNRESOLVED_RETRY_AFTER_MS)};
  }

  /** Takes leave for the one trial of a suspected request in the fleet. */
  async requestTrial(fingerprint: string): Promise<boolean> {
    if (this.trials.has(fingerprint)) return false;
    this.trials.add(fingerprint);
    const granted = await this.ctx.acquireTrial(fingerprint);
    if (!granted) this.endTrial(fingerprint);
    return granted;
  }

  endTrial(fingerprint: string): void {
    this.trials.delete(fingerprint);
  }

  /** Takes in an attempt whose connection ended before the answer did. */
  onCut(fingerprint: string, replica: Replica, sentMs: number): void {
    this.ctx.evidence.increment('cut');
    this.watch({fingerprint, replica, sentMs, weight: 'presumed'});
  }

  /** Takes in an attempt that was given up before its replica had answered. */
  onAborted(fingerprint: string, replica: Replica, sentMs: number): void {
    this.watch({fingerprint, replica, sentMs, weight: 'possible'});
  }

  /** A request that a replica has run to its end crashes none. */
  onCompleted(fingerprint: () => string): void {
    if (this.suspects.length === 0 && this.record.isEmpty) return;
    const served = fingerprint();
    this.suspects = this.suspects.filter(suspect => suspect.fingerprint !== served);
    if (!this.record.clear(served)) return;
    this.ctx.log.info('suspect cleared', {fingerprint: served});
    this.queueNews({fingerprint: served, endings: [], withdrawn: [], served: true});
    this.flush();
  }

  /** All that is known here, for a gateway that has just come. */
  list(): CrashNewsMessage {
    const nowMs = this.ctx.clock.monotonicMs();
    const requests = this.record.list(nowMs).map(([fingerprint, endings]) => ({
      fingerprint,
      endings: endings.map(ending => toNews(ending, nowMs)),
      withdrawn: [],
      served: false,
    }));
    return {type: 'crash_news', requests};
  }

  /** Takes in what another gateway has found. */
  applyNews({requests}: CrashNewsMessage): void {
    const nowMs = this.ctx.clock.monotonicMs();
    for (const {fingerprint, endings, withdrawn, served} of requests) {
      if (served) this.record.clear(fingerprint);
      for (const replica of withdrawn) this.record.withdraw(fingerprint, replica);
      for (const {replica, sentAgoMs, agoMs} of endings) {
        this.add(fingerprint, replica, nowMs - sentAgoMs, nowMs - agoMs);
      }
    }
  }

  dispose(): void {
    clearInterval(this.timer);
  }

  /** True while it may still turn out that a replica lives which seems to have ended. */
  private hasUnresolved(fingerprint: string): boolean {
    return this.suspects.some(
      suspect => suspect.weight === 'presumed' && suspect.fingerprint === fingerprint,
    );
  }

  private watch(details: Pick<Suspect, 'fingerprint' | 'replica' | 'sentMs' | 'weight'>): void {
    const atMs = this.ctx.clock.monotonicMs();
    const suspect = {...details, atMs, isQueued: false, upToDateMs: 0};
    this.suspects.push(suspect);
    if (this.suspects.length > MAX_SUSPECTS) this.suspects.shift();
    if (details.weight === 'presumed') this.count(suspect);
    this.timer ??= setInterval(() => this.checkSuspects(), CHECK_INTERVAL_MS);
  }

  /** Counts an ending here; one that holds the request back is told at once. */
  private count(suspect: Suspect): void {
    const {fingerprint, replica, sentMs, atMs} = suspect;
    if (!this.add(fingerprint, incarnationId(replica.entry), sentMs, atMs)) return;
    if (this.record.decide(fingerprint, atMs).kind === 'free') return;
    this.queueFailure(suspect);
    this.flush();
  }

  /** @returns True when the ending is new here. */
  private add(fingerprint: string, replica: string, sentMs: number, atMs: number): boolean {
    const nowMs = this.ctx.clock.monotonicMs();
    const before = this.record.decide(fingerprint, nowMs).kind;
    if (!this.record.add(fingerprint, {replica, sentMs, atMs})) return false;
    const decision = this.record.decide(fingerprint, nowMs);
    if (decision.kind !== before) {
      const endings = this.record.failuresOf(fingerprint).length;
      this.ctx.log.warn('request suspected', {fingerprint, replica, endings, ...decision});
    }
    return true;
  }

  private checkSuspects(): void {
    const nowMs = this.ctx.clock.monotonicMs();
    const isListUpToDate = this.ctx.isListUpToDate();
    this.suspects = this.suspects.filter(suspect =>
      this.isUnresolved(suspect, nowMs, isListUpToDate),
    );
    this.flush();
    if (this.suspects.length > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }

  /** True while it is not known whether the replica has ended. */
  private isUnresolved(suspect: Suspect, nowMs: number, isListUpToDate: boolean): boolean {
    const {replica, atMs} = suspect;
    if (this.ctx.isLost(replica)) {
      // A replica that was about to leave has not been ended by a request that was given up.
      if (suspect.weight === 'possible' && replica.entry.leaving) return false;
      this.ctx.evidence.increment('confirmed');
      this.count(suspect);
      this.queueFailure(suspect);
      return false;
    }
    if (replica.stewardReportedAliveSince(atMs) || replica.answeredWithin(atMs, MIN_RESTART_MS)) {
      this.withdraw(suspect, 'alive');
      return false;
    }
    if (isListUpToDate) suspect.upToDateMs += CHECK_INTERVAL_MS;
    if (suspect.upToDateMs >= LIST_CONFIRM_MS) {
      this.withdraw(suspect, 'listed');
      return false;
    }
    if (suspect.weight === 'presumed' && nowMs - atMs >= ANNOUNCE_DELAY_MS)
      this.queueFailure(suspect);
    return true;
  }

  private withdraw(suspect: Suspect, outcome: 'alive' | 'listed'): void {
    if (suspect.weight === 'possible') return;
    const {fingerprint, replica} = suspect;
    const incarnation = incarnationId(replica.entry);
    this.ctx.evidence.increment(outcome);
    this.record.withdraw(fingerprint, incarnation);
    if (!suspect.isQueued) return;
    this.ctx.log.info('crash evidence withdrawn', {fingerprint, replica: replica.id, outcome});
    this.queueNews({fingerprint, endings: [], withdrawn: [incarnation], served: false});
  }

  private queueFailure(suspect: Suspect): void {
    if (suspect.isQueued) return;
    suspect.isQueued = true;
    const {fingerprint, replica, sentMs, atMs} = suspect;
    const ending = {replica: incarnationId(replica.entry), sentMs, atMs};
    const news = toNews(ending, this.ctx.clock.monotonicMs());
    this.queueNews({fingerprint, endings: [news], withdrawn: [], served: false});
  }

  /** Puts news into the next message. */
  private queueNews(news: CrashNews): void {
    const before = this.unsentNews.get(news.fingerprint);
    const endings = [...(before?.endings ?? []), ...news.endings];
    const withdrawn = [...(before?.withdrawn ?? []), ...news.withdrawn];
    this.unsentNews.set(news.fingerprint, {...news, endings, withdrawn});
  }

  private flush(): void {
    if (this.unsentNews.size === 0) return;
    const requests = [...this.unsentNews.values()];
    this.unsentNews = new Map();
    this.ctx.announce({type: 'crash_news', requests});
  }
}

/** The same for each time that a caller sends the request. @internal */
export function fingerprintOf({method, path, body}: RequestContent): string {
  const digest = sha256Hex(Buffer.concat([Buffer.from(`${method} ${path}\n`), body]));
  return digest.slice(0, FINGERPRINT_DIGITS);
}

/** Gateways share no clock, so that they tell each other ages. */
function toNews(
  {replica, sentMs, atMs}: ReplicaFailure,
  nowMs: number,
): CrashNews['endings'][number] {
  return {
    replica,
    sentAgoMs: Math.max(0, nowMs - sentMs),
    agoMs: Math.max(0, nowMs - atMs),
  };
}
