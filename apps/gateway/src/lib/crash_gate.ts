/** One request's way past the suspicion that it crashes the replicas which run it. */
import {assertNever} from '@jasminepost/core';
import {fingerprintOf, type CrashDetector, type RequestContent} from './crash_detector.ts';
import type {Replica} from './replica.ts';

/** Another copy of a suspected request is being tried; it has ended by then. */
const TRIAL_RETRY_AFTER_MS = 1000;
/** A copy waits this long for what another gateway's trial shows, and looks so often. */
const TRIAL_CHECK_INTERVAL_MS = 250;
const MAX_TRIAL_CHECKS = 4;

/** @internal */
export class CrashGate {
  private fingerprint: string | undefined;
  private inTrial = false;
  private trialChecks = 0;
  private disposed = false;
  private timer: NodeJS.Timeout | undefined;
  private readonly id = () => (this.fingerprint ??= fingerprintOf(this.request));

  constructor(
    private readonly crashes: CrashDetector,
    private readonly request: RequestContent,
  ) {}

  /** Calls `onFree` once the request may be sent, or `onHeld` with the time until it may. */
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

  /** Time for which the request must reach no replica; 0 when it may. */
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

  /** Takes in that an attempt's connection ended before the answer did. */
  onCut(replica: Replica, sentMs: number): void {
    this.crashes.onCut(this.id(), replica, sentMs);
  }

  /** Takes in that an attempt was given up before its replica had answered. */
  onAborted(replica: Replica, sentMs: number): void {
    this.crashes.onAborted(this.id(), replica, sentMs);
  }

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
