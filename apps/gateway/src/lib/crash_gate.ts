/** Decides whether one request may be sent, given the suspicion that it crashes replicas. */
import {assertNever} from '@jasminepost/core';
import type {CrashDetector} from './crash_detector.ts';
import {fingerprintOf, partKeysOf, type RequestContent} from './crash_suspects.ts';
import type {Replica} from './replica.ts';

/** Retry delay while another copy of the request is on trial; the trial has ended by then. */
const TRIAL_RETRY_AFTER_MS = 1000;
/** A copy waits for the result of another trial by checking this many times, at this interval. */
const TRIAL_CHECK_INTERVAL_MS = 250;
const MAX_TRIAL_CHECKS = 4;

/** @internal */
export class CrashGate {
  private readonly partKeys: readonly string[];
  private allKeys: readonly string[] | undefined;
  /** Keys that this request has the fleet's only trial of. */
  private readonly grantedKeys = new Set<string>();
  private trialChecks = 0;
  private disposed = false;
  private timer: NodeJS.Timeout | undefined;
  /** Computed on first use: hashing the body is not needed while nothing is suspected. */
  private readonly keys = () => (this.allKeys ??= [fingerprintOf(this.content), ...this.partKeys]);

  /** @param sharedParts - Ids of the prompt parts that other requests may hold, too. */
  constructor(
    private readonly crashes: CrashDetector,
    private readonly content: RequestContent,
    sharedParts: readonly string[],
  ) {
    this.partKeys = partKeysOf(sharedParts);
  }

  /** Calls `onAllowed` once the request may be sent, or `onHeld` with the time until it may. */
  check(onAllowed: () => void, onHeld: (retryAfterMs: number) => void): void {
    const missingKey = this.missingTrialKey();
    if (missingKey !== undefined && this.trialChecks < MAX_TRIAL_CHECKS) {
      void this.crashes.requestTrial(missingKey).then(granted => {
        if (this.disposed) {
          if (granted) this.crashes.endTrial(missingKey);
          return;
        }
        const checkAgain = () => this.check(onAllowed, onHeld);
        if (granted) {
          this.grantedKeys.add(missingKey);
          checkAgain();
          return;
        }
        this.trialChecks += 1;
        this.timer = setTimeout(checkAgain, TRIAL_CHECK_INTERVAL_MS);
      });
      return;
    }
    const holdMs = this.holdMs();
    if (holdMs > 0) onHeld(holdMs);
    else onAllowed();
  }

  /** Time for which the request must not be sent to any replica; 0 when it may be sent. */
  holdMs(): number {
    const decision = this.crashes.decide(this.keys);
    switch (decision.kind) {
      case 'free':
        return 0;
      case 'trial':
        return this.missingTrialKey() === undefined ? 0 : TRIAL_RETRY_AFTER_MS;
      case 'hold':
        return decision.retryAfterMs;
      default:
        return assertNever(decision);
    }
  }

  /** Records that the connection of an attempt ended before the response was complete. */
  onCut(replica: Replica, sentMs: number): void {
    this.crashes.onCut(this.keys(), replica, sentMs);
  }

  /** Records that an attempt was aborted before its response was complete. */
  onAborted(replica: Replica, sentMs: number): void {
    this.crashes.onAborted(this.keys(), replica, sentMs);
  }

  /** Records a response that may be complete or cut off by the end of its connection. */
  onUnclearEnd(replica: Replica, sentMs: number): void {
    this.crashes.onUnclearEnd(this.keys(), replica, sentMs);
  }

  /** Records that a replica has run the request to completion. */
  onCompleted(): void {
    this.crashes.onCompleted(this.keys, this.partKeys);
  }

  dispose(): void {
    this.disposed = true;
    clearTimeout(this.timer);
    for (const key of this.grantedKeys) this.crashes.endTrial(key);
    this.grantedKeys.clear();
  }

  /** The first key whose trial this request needs and does not have. */
  private missingTrialKey(): string | undefined {
    const decision = this.crashes.decide(this.keys);
    if (decision.kind !== 'trial') return undefined;
    return decision.keys.find(key => !this.grantedKeys.has(key));
  }
}
