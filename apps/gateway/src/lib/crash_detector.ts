/** Detects requests and prompt parts that crash the replicas running them, and holds them back. */
import type {Clock, CounterFamily, Logger} from '@jasminepost/core';
import type {CrashNewsMessage} from '@jasminepost/mesh';
import {CrashRecord, isPartKey, type CrashDecision} from '@jasminepost/policy';
import {incarnationId} from '@jasminepost/serving';
import {CrashNewsOutbox} from './crash_news_outbox.ts';
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
  /** True while this gateway relays reports between the others. */
  isRelay(): boolean;
  /** Acquires the lease for the fleet's only trial of a suspected key. */
  acquireTrial(key: string): Promise<boolean>;
  /** Sends crash reports to the other gateways. */
  announce(message: CrashNewsMessage): void;
}

/**
 * `presumed`: the connection ended, which counts as a replica failure until the replica turns out
 * to be alive. `possible`: the attempt was aborted first, which counts only once the replica is
 * known to have ended. `unclear`: the response ended with its connection, which is a replica
 * failure if the replica has ended, and else a completed request.
 */
type EvidenceWeight = 'presumed' | 'possible' | 'unclear';

/** A key of an attempt that may have crashed its replica. */
interface Suspect {
  readonly key: string;
  readonly replica: Replica;
  readonly sentMs: number;
  readonly atMs: number;
  readonly weight: EvidenceWeight;
  /** Time since `atMs` during which the list was up to date and would have dropped the replica. */
  upToDateMs: number;
}

/**
 * Tracks each attempt of this gateway that may have crashed its replica until it is known whether
 * the replica has ended. `CrashRecord` decides what the replica failures mean for a request.
 *
 * @internal
 */
export class CrashDetector {
  private readonly record: CrashRecord;
  private readonly outbox: CrashNewsOutbox;
  private suspects: Suspect[] = [];
  private readonly trials = new Set<string>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly ctx: CrashDetectorContext) {
    this.record = new CrashRecord(ctx.self);
    this.outbox = new CrashNewsOutbox(ctx, key => this.record.completedMs(key));
  }

  /** Decides whether a request with these keys may be sent now. */
  decide(keys: () => readonly string[]): CrashDecision {
    if (this.record.isEmpty) return {kind: 'free'};
    const decision = this.record.decide(keys(), this.ctx.clock.monotonicMs());
    if (decision.kind !== 'hold' || !this.hasUnresolved(keys())) return decision;
    return {kind: 'hold', retryAfterMs: Math.min(decision.retryAfterMs, UNRESOLVED_RETRY_AFTER_MS)};
  }

  /** Tries to acquire the fleet's only trial of a suspected key. */
  async requestTrial(key: string): Promise<boolean> {
    if (this.trials.has(key)) return false;
    this.trials.add(key);
    const granted = await this.ctx.acquireTrial(key);
    if (!granted) this.endTrial(key);
    return granted;
  }

  endTrial(key: string): void {
    this.trials.delete(key);
  }

  /** Records an attempt whose connection ended before the response was complete. */
  onCut(keys: readonly string[], replica: Replica, sentMs: number): void {
    this.ctx.evidence.increment('cut');
    this.watch(keys, {replica, sentMs, weight: 'presumed'});
  }

  /** Records an attempt that was aborted before its response was complete. */
  onAborted(keys: readonly string[], replica: Replica, sentMs: number): void {
    this.watch(keys, {replica, sentMs, weight: 'possible'});
  }

  /** Records an attempt whose response may be complete or cut off by the end of its connection. */
  onUnclearEnd(keys: readonly string[], replica: Replica, sentMs: number): void {
    this.watch(keys, {replica, sentMs, weight: 'unclear'});
  }

  /**
   * Clears a request that a replica has run to completion: it does not crash replicas.
   *
   * @param keys - All keys of the request; called only while something is suspected.
   * @param partKeys - Keys of its shared prompt parts.
   */
  onCompleted(keys: () => readonly string[], partKeys: readonly string[]): void {
    const isQuiet = this.suspects.length === 0 && this.record.isEmpty;
    const completed = new Set(isQuiet ? partKeys : keys());
    const nowMs = this.ctx.clock.monotonicMs();
    this.suspects = this.suspects.filter(suspect => !completed.has(suspect.key));
    for (const key of completed) this.complete(key, nowMs);
    this.outbox.flush();
  }

  /** Returns all known replica failures, for a gateway that has just connected. */
  list(): CrashNewsMessage {
    return this.outbox.encode(this.record.list(this.ctx.clock.monotonicMs()));
  }

  /** Applies crash reports of another gateway. */
  applyNews({requests}: CrashNewsMessage): void {
    const nowMs = this.ctx.clock.monotonicMs();
    for (const {fingerprint: key, endings, withdrawn, served, completedAgoMs = 0} of requests) {
      if (served) {
        this.record.complete(key, nowMs - completedAgoMs);
        this.outbox.onCompletionHeard(key);
      }
      for (const replica of withdrawn) this.record.withdraw(key, replica);
      for (const {replica, sentAgoMs, agoMs} of endings) {
        this.add(key, replica, nowMs - sentAgoMs, nowMs - agoMs);
      }
      if (endings.length > 0) {
        const failed = endings.map(({replica}) => replica);
        this.outbox.onFailuresHeard(key, failed);
      }
    }
  }

  dispose(): void {
    clearInterval(this.timer);
    this.outbox.dispose();
  }

  /** True while a replica that seems to have ended may still turn out to be alive. */
  private hasUnresolved(keys: readonly string[]): boolean {
    return this.suspects.some(({weight, key}) => weight === 'presumed' && keys.includes(key));
  }

  /** Starts to track an attempt. */
  private watch(
    keys: readonly string[],
    details: Pick<Suspect, 'replica' | 'sentMs' | 'weight'>,
  ): void {
    const atMs = this.ctx.clock.monotonicMs();
    for (const key of keys) {
      const suspect = {...details, key, atMs, upToDateMs: 0};
      this.suspects.push(suspect);
      if (details.weight === 'presumed') this.count(suspect);
    }
    if (this.suspects.length > MAX_SUSPECTS) this.suspects = this.suspects.slice(-MAX_SUSPECTS);
    this.outbox.flush();
    this.timer ??= setInterval(() => this.checkSuspects(), CHECK_INTERVAL_MS);
  }

  /** Counts a replica failure; one that restricts requests is announced at once. */
  private count(suspect: Suspect): void {
    const {key, replica, sentMs, atMs} = suspect;
    if (!this.add(key, incarnationId(replica.entry), sentMs, atMs)) return;
    if (this.record.decide([key], atMs).kind !== 'free') this.announceFailures(key);
  }

  /** @returns True when the replica failure was not known yet. */
  private add(key: string, replica: string, sentMs: number, atMs: number): boolean {
    const nowMs = this.ctx.clock.monotonicMs();
    const before = this.record.decide([key], nowMs).kind;
    if (!this.record.add(key, {replica, sentMs, atMs})) return false;
    const decision = this.record.decide([key], nowMs);
    if (decision.kind !== before) {
      const endings = this.record.failuresOf(key).length;
      this.ctx.log.warn('request suspected of crashing replicas', {
        fingerprint: key,
        replica,
        endings,
        decision: decision.kind,
        ...(decision.kind === 'hold' ? {retryAfterMs: decision.retryAfterMs} : {}),
      });
    }
    return true;
  }

  private complete(key: string, atMs: number): void {
    if (!this.record.complete(key, atMs)) return;
    if (!this.outbox.isKnownElsewhere(key)) return;
    this.ctx.log.info('request no longer suspected of crashing replicas', {fingerprint: key});
    this.outbox.queueCompletion(key, atMs);
  }

  private checkSuspects(): void {
    const nowMs = this.ctx.clock.monotonicMs();
    const isListUpToDate = this.ctx.isListUpToDate();
    this.suspects = this.suspects.filter(suspect =>
      this.isUnresolved(suspect, nowMs, isListUpToDate),
    );
    this.outbox.flush();
    if (this.suspects.length > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }

  /** True while it is not known whether the replica has ended. */
  private isUnresolved(suspect: Suspect, nowMs: number, isListUpToDate: boolean): boolean {
    const {replica, atMs} = suspect;
    if (this.ctx.isLost(replica)) {
      // A replica that was leaving has ended for that reason, not because of an aborted request.
      if (suspect.weight !== 'presumed' && replica.entry.leaving) return false;
      this.countEvidence(suspect, 'confirmed');
      this.count(suspect);
      this.announceOwn(suspect);
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
      this.announceOwn(suspect);
    return true;
  }

  /** Withdraws the evidence against a request because its replica has not ended. */
  private withdraw(suspect: Suspect, outcome: 'alive' | 'listed'): void {
    if (suspect.weight === 'possible') return;
    const {key, replica, atMs} = suspect;
    if (suspect.weight === 'unclear') {
      this.complete(key, atMs);
      return;
    }
    const incarnation = incarnationId(replica.entry);
    this.countEvidence(suspect, outcome);
    this.record.withdraw(key, incarnation);
    if (!this.outbox.hasAnnounced(key, incarnation)) return;
    this.ctx.log.info('crash evidence withdrawn', {
      fingerprint: key,
      replica: replica.id,
      outcome,
    });
    this.outbox.queueWithdrawal(key, incarnation);
  }

  /** Counts an attempt, once for all of its keys. */
  private countEvidence({key}: Suspect, outcome: CrashEvidence): void {
    if (!isPartKey(key)) this.ctx.evidence.increment(outcome);
  }

  /**
   * Announces a replica failure. Prompt parts of completed requests are left out unless they are
   * restricted: many requests share them, and nearly all of those are innocent.
   */
  private announceOwn({key}: Suspect): void {
    const isKnownPart = isPartKey(key) && this.record.completedMs(key) !== undefined;
    const nowMs = this.ctx.clock.monotonicMs();
    if (isKnownPart && this.record.decide([key], nowMs).kind === 'free') return;
    this.announceFailures(key);
  }

  private announceFailures(key: string): void {
    for (const failure of this.record.failuresOf(key)) this.outbox.queueFailure(key, failure);
  }
}
