/** Detects requests that crash the replicas running them, and holds them back. */
import {sha256Hex, type Clock, type CounterFamily, type Logger} from '@jasminepost/core';
import type {CrashNewsMessage} from '@jasminepost/mesh';
import {CrashRecord, type CrashDecision, type ReplicaFailure} from '@jasminepost/policy';
import {incarnationId} from '@jasminepost/serving';
import type {CrashEvidence} from './gateway_metrics.ts';
import type {Replica} from './replica.ts';

/** Time within which an up-to-date list drops an ended replica: more than three heartbeats. */
const LIST_CONFIRM_MS = 5000;
/** A replica that responds this soon after a cut has not ended: a restart takes longer. */
const MIN_RESTART_MS = 1000;
const CHECK_INTERVAL_MS = 100;
/** Most cut connections are explained within this delay; other gateways are told of the rest. */
const ANNOUNCE_DELAY_MS = 300;
/** Upper limit of a held request's retry delay while it is open whether the replica has ended. */
const UNRESOLVED_RETRY_AFTER_MS = 800;
const MAX_SUSPECTS = 5000;
const FINGERPRINT_DIGITS = 24;

/** Parts of a request that stay the same when it is retried under another id. @internal */
export interface RequestContent {
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
}

/** Crash report about one request. @internal */
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
  /** True while the list of replicas reflects the store. */
  isListUpToDate(): boolean;
  /** Acquires the lease for the fleet's only trial of a suspected request. */
  acquireTrial(fingerprint: string): Promise<boolean>;
  /** Sends crash reports to the other gateways. */
  announce(message: CrashNewsMessage): void;
}

/**
 * `presumed`: the connection ended, which counts as a replica failure until the replica turns out
 * to be alive. `possible`: the attempt was aborted first, which counts only once the replica is
 * known to have ended.
 */
type EvidenceWeight = 'presumed' | 'possible';

/** An attempt that may have crashed its replica. */
interface Suspect {
  readonly fingerprint: string;
  readonly replica: Replica;
  readonly sentMs: number;
  readonly atMs: number;
  readonly weight: EvidenceWeight;
  /** True once it has been queued for the other gateways. */
  isQueued: boolean;
  /** Time since `atMs` during which the list was up to date and would have dropped the replica. */
  upToDateMs: number;
}

/**
 * Tracks each attempt of this gateway that may have crashed its replica until it is known whether
 * the replica has ended. `CrashRecord` decides what the replica failures mean for the request.
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

  /** Decides whether the request may be sent now. */
  decide(fingerprint: () => string): CrashDecision {
    if (this.record.isEmpty) return {kind: 'free'};
    const id = fingerprint();
    const decision = this.record.decide(id, this.ctx.clock.monotonicMs());
    if (decision.kind !== 'hold' || !this.hasUnresolved(id)) return decision;
    return {kind: 'hold', retryAfterMs: Math.min(decision.retryAfterMs, UNRESOLVED_RETRY_AFTER_MS)};
  }

  /** Tries to acquire the fleet's only trial of a suspected request. */
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

  /** Records an attempt whose connection ended before the response was complete. */
  onCut(fingerprint: string, replica: Replica, sentMs: number): void {
    this.ctx.evidence.increment('cut');
    this.watch({fingerprint, replica, sentMs, weight: 'presumed'});
  }

  /** Records an attempt that was aborted before its replica had responded. */
  onAborted(fingerprint: string, replica: Replica, sentMs: number): void {
    this.watch({fingerprint, replica, sentMs, weight: 'possible'});
  }

  /** Clears a request that a replica has run to completion: it does not crash replicas. */
  onCompleted(fingerprint: () => string): void {
    if (this.suspects.length === 0 && this.record.isEmpty) return;
    const completed = fingerprint();
    this.suspects = this.suspects.filter(suspect => suspect.fingerprint !== completed);
    if (!this.record.clear(completed)) return;
    this.ctx.log.info('request no longer suspected of crashing replicas', {fingerprint: completed});
    this.queueNews({fingerprint: completed, endings: [], withdrawn: [], served: true});
    this.flush();
  }

  /** Returns all known replica failures, for a gateway that has just connected. */
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

  /** Applies crash reports of another gateway. */
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

  /** True while a replica that seems to have ended may still turn out to be alive. */
  private hasUnresolved(fingerprint: string): boolean {
    return this.suspects.some(
      suspect => suspect.weight === 'presumed' && suspect.fingerprint === fingerprint,
    );
  }

  /** Starts to track an attempt. */
  private watch(details: Pick<Suspect, 'fingerprint' | 'replica' | 'sentMs' | 'weight'>): void {
    const atMs = this.ctx.clock.monotonicMs();
    const suspect = {...details, atMs, isQueued: false, upToDateMs: 0};
    this.suspects.push(suspect);
    if (this.suspects.length > MAX_SUSPECTS) this.suspects.shift();
    if (details.weight === 'presumed') this.count(suspect);
    this.timer ??= setInterval(() => this.checkSuspects(), CHECK_INTERVAL_MS);
  }

  /** Counts a replica failure; one that restricts the request is announced at once. */
  private count(suspect: Suspect): void {
    const {fingerprint, replica, sentMs, atMs} = suspect;
    if (!this.add(fingerprint, incarnationId(replica.entry), sentMs, atMs)) return;
    if (this.record.decide(fingerprint, atMs).kind === 'free') return;
    this.queueFailure(suspect);
    this.flush();
  }

  /** @returns True when the replica failure was not known yet. */
  private add(fingerprint: string, replica: string, sentMs: number, atMs: number): boolean {
    const nowMs = this.ctx.clock.monotonicMs();
    const before = this.record.decide(fingerprint, nowMs).kind;
    if (!this.record.add(fingerprint, {replica, sentMs, atMs})) return false;
    const decision = this.record.decide(fingerprint, nowMs);
    if (decision.kind !== before) {
      const endings = this.record.failuresOf(fingerprint).length;
      this.ctx.log.warn('request suspected of crashing replicas', {
        fingerprint,
        replica,
        endings,
        ...decision,
      });
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
      // A replica that was leaving has ended for that reason, not because of an aborted request.
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

  /** Withdraws the evidence against a request because its replica has not ended. */
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

  /** Queues a replica failure for the other gateways, unless that has been done. */
  private queueFailure(suspect: Suspect): void {
    if (suspect.isQueued) return;
    suspect.isQueued = true;
    const {fingerprint, replica, sentMs, atMs} = suspect;
    const ending = {replica: incarnationId(replica.entry), sentMs, atMs};
    const news = toNews(ending, this.ctx.clock.monotonicMs());
    this.queueNews({fingerprint, endings: [news], withdrawn: [], served: false});
  }

  /** Merges a crash report into the next message. */
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

/** Identifies a request across retries by its method, path, and body. @internal */
export function fingerprintOf({method, path, body}: RequestContent): string {
  const digest = sha256Hex(Buffer.concat([Buffer.from(`${method} ${path}\n`), body]));
  return digest.slice(0, FINGERPRINT_DIGITS);
}

/** Converts times to ages, because the monotonic clocks of gateways are unrelated. */
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
