/** Decides whether one request may be sent, given the suspicion that it crashes replicas. */
import {assertNever} from '@jasminepost/core';
import {fingerprintOf, type CrashDetector, type RequestContent} from './crash_detector.ts';
import type {Replica} from './replica.ts';

/** Retry delay while another copy of the request is on trial; the trial has ended by then. */
const TRIAL_RETRY_AFTER_MS = 1000;
/** A copy waits for the result of another trial by checking this many times, at this interval. */
const TRIAL_CHECK_INTERVAL_MS = 250;
const MAX_TRIAL_CHECKS = 4;

/** @internal */
export class CrashGate {
  private fingerprint: string | undefined;
  private inTrial = false;
  private trialChecks = 0;
  private disposed = false;
  private timer: NodeJS.Timeout | undefined;
  /** Computed on first use: most requests never need their fingerprint. */
  private readonly id = () => (this.fingerprint ??= fingerprintOf(this.request));

  constructor(
    private readonly crashes: CrashDetector,
    private readonly request: RequestContent,
  ) {}

  /** Calls `onAllowed` once the request may be sent, or `onHeld` with the time until it may. */
  check(onAllowed: () => void, onHeld: (retryAfterMs: number) => void): void {
    const decision = this.crashes.decide(this.id);
    if (decision.kind === 'trial' && !this.inTrial && this.trialChecks < MAX_TRIAL_CHECKS) {
      this.trialChecks += 1;
      void this.crashes.requestTrial(this.id()).then(granted => {
        if (this.disposed) {
          if (granted) this.crashes.endTrial(this.id());
          return;
        }
        this.inTrial = granted;
        const checkAgain = () => this.check(onAllowed, onHeld);
        if (granted) checkAgain();
        else this.timer = setTimeout(checkAgain, TRIAL_CHECK_INTERVAL_MS);
      });
      return;
    }
    const holdMs = this.holdMs();
    if (holdMs > 0) onHeld(holdMs);
    else onAllowed();
  }

  /** Time for which the request must not be sent to any replica; 0 when it may be sent. */
  holdMs(): number {
    const decision = this.crashes.decide(this.id);
    switch (decision.kind) {
      case 'free':
        return 0;
      case 'trial':
        return this.inTrial ? 0 : TRIAL_RETRY_AFTER_MS;
      case 'hold':
        return decision.retryAfterMs;
      default:
        return assertNever(decision);
    }
  }

  /** Records that the connection of an attempt ended before the response was complete. */
  onCut(replica: Replica, sentMs: number): void {
    this.crashes.onCut(this.id(), replica, sentMs);
  }

  /** Records that an attempt was aborted before its replica had responded. */
  onAborted(replica: Replica, sentMs: number): void {
    this.crashes.onAborted(this.id(), replica, sentMs);
  }

  /** Records that a replica has run the request to completion. */
  onCompleted(): void {
    this.crashes.onCompleted(this.id);
  }

  dispose(): void {
    this.disposed = true;
    clearTimeout(this.timer);
    if (this.inTrial) this.crashes.endTrial(this.id());
    this.inTrial = false;
  }
}
