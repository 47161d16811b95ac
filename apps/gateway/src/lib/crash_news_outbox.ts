/** Crash reports to the other gateways: collects them, and answers those about innocent parts. */
import type {Clock} from '@jasminepost/core';
import type {CrashNewsMessage} from '@jasminepost/mesh';
import {isPartKey, type ReplicaFailure} from '@jasminepost/policy';
import {toEnding} from './crash_news_sender.ts';

/**
 * Longest delay after which a gateway answers a report about a part that it knows to be innocent.
 * The relaying gateway answers at once; the others only what is still open after a random delay.
 */
const MAX_ANSWER_DELAY_MS = 150;
const MAX_REMEMBERED_KEYS = 10_000;

/** Crash report about one key. @internal */
export type CrashNews = CrashNewsMessage['requests'][number];

/** @internal */
export interface CrashNewsOutboxContext {
  readonly clock: Clock;
  /** True while this gateway relays reports between the others. */
  isRelay(): boolean;
  announce(message: CrashNewsMessage): void;
}

/** @internal */
export class CrashNewsOutbox {
  private unsent: CrashNews[] = [];
  /** Replica incarnations whose failure has been announced or heard, by key. */
  private readonly shared = new Map<string, Set<string>>();
  /** Keys of parts whose completion the other gateways should be told of. */
  private readonly unanswered = new Set<string>();
  private answerTimer: NodeJS.Timeout | undefined;

  /** @param completedMs - Time of the latest completed request with a key, if there is one. */
  constructor(
    private readonly ctx: CrashNewsOutboxContext,
    private readonly completedMs: (key: string) => number | undefined,
  ) {}

  /** True when other gateways may know of a failure under the key. */
  isKnownElsewhere(key: string): boolean {
    return this.shared.has(key);
  }

  /** True when the failure has been announced by this or another gateway. */
  hasAnnounced(key: string, replica: string): boolean {
    return this.shared.get(key)?.has(replica) === true;
  }

  /** Queues a replica failure, unless it has been announced before. */
  queueFailure(key: string, failure: ReplicaFailure): void {
    if (this.hasAnnounced(key, failure.replica)) return;
    this.remember(key, failure.replica);
    const endings = [toEnding(failure, this.ctx.clock.monotonicMs())];
    this.unsent.push({fingerprint: key, endings, withdrawn: [], served: false});
  }

  queueWithdrawal(key: string, replica: string): void {
    this.unsent.push({fingerprint: key, endings: [], withdrawn: [replica], served: false});
  }

  /** Queues that a request with the key was completed. */
  queueCompletion(key: string, atMs: number): void {
    this.shared.delete(key);
    const completedAgoMs = Math.max(0, this.ctx.clock.monotonicMs() - atMs);
    this.unsent.push({
      fingerprint: key,
      endings: [],
      withdrawn: [],
      served: true,
      completedAgoMs,
    });
  }

  /** Handles failures that another gateway has reported; answers if the part is known here. */
  onFailuresHeard(key: string, replicas: readonly string[]): void {
    for (const replica of replicas) this.remember(key, replica);
    if (!isPartKey(key) || this.completedMs(key) === undefined) return;
    this.unanswered.add(key);
    const delayMs = this.ctx.isRelay() ? 0 : Math.random() * MAX_ANSWER_DELAY_MS;
    this.answerTimer ??= setTimeout(() => this.answer(), delayMs);
  }

  /** Handles that another gateway has reported a completion. */
  onCompletionHeard(key: string): void {
    this.unanswered.delete(key);
  }

  /** Sends all queued reports. */
  flush(): void {
    if (this.unsent.length === 0) return;
    const requests = this.unsent;
    this.unsent = [];
    this.ctx.announce({type: 'crash_news', requests});
  }

  /** Encodes failures as a report, with the latest completion of each key. */
  encode(
    failuresByKey: ReadonlyArray<readonly [string, readonly ReplicaFailure[]]>,
  ): CrashNewsMessage {
    const nowMs = this.ctx.clock.monotonicMs();
    const requests = failuresByKey.map(([fingerprint, failures]) => {
      const completedMs = this.completedMs(fingerprint);
      return {
        fingerprint,
        endings: failures.map(failure => toEnding(failure, nowMs)),
        withdrawn: [],
        served: completedMs !== undefined,
        ...(completedMs === undefined ? {} : {completedAgoMs: Math.max(0, nowMs - completedMs)}),
      };
    });
    return {type: 'crash_news', requests};
  }

  dispose(): void {
    clearTimeout(this.answerTimer);
  }

  private answer(): void {
    this.answerTimer = undefined;
    for (const key of this.unanswered) {
      const atMs = this.completedMs(key);
      if (atMs !== undefined) this.queueCompletion(key, atMs);
    }
    this.unanswered.clear();
    this.flush();
  }

  private remember(key: string, replica: string): void {
    const replicas = this.shared.get(key) ?? new Set<string>();
    this.shared.set(key, replicas.add(replica));
    if (this.shared.size > MAX_REMEMBERED_KEYS) {
      this.shared.delete(this.shared.keys().next().value!);
    }
  }
}
