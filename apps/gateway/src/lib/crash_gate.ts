/** One request's way past the suspicion that it crashes the replicas which run it. */
import {assertNever} from '@jasminepost/core';
import {fingerprintOf, type CrashWatch, type RepeatableRequest} from './crash_watch.ts';
import type {Replica} from './replica.ts';

/** Another copy of a suspected request is being tried; it has ended by then. */
const TRIAL_RETURN_MS = 1000;
/** A copy waits this long for what another gateway's trial shows, and looks so often. */
const TRIAL_LOOK_MS = 250;
const TRIAL_LOOKS = 4;

/** @internal */
export class CrashGate {
  private fingerprint: string | undefined;
  private inTrial = false;
  private looks = 0;
  private disposed = false;
  private timer: NodeJS.Timeout | undefined;
  private readonly id = () => (this.fingerprint ??= fingerprintOf(this.request));

  constructor(
    private readonly crashes: CrashWatch,
    private readonly request: RepeatableRequest,
  ) {}

  /** Calls `onFree` once the request may be sent, or `onHeld` with the time until it may. */
  pass(onFree: () => void, onHeld: (retryAfterMs: number) => void): void {
    const decision = this.crashes.decide(this.id);
    if (decision.kind === 'trial' && !this.inTrial && this.looks < TRIAL_LOOKS) {
      this.looks += 1;
      void this.crashes.seekTrial(this.id()).then(granted => {
        if (this.disposed) {
          if (granted) this.crashes.endTrial(this.id());
          return;
        }
        this.inTrial = granted;
        const again = () => this.pass(onFree, onHeld);
        if (granted) again();
        else this.timer = setTimeout(again, TRIAL_LOOK_MS);
      });
      return;
    }
    const heldBackMs = this.heldBackMs();
    if (heldBackMs > 0) onHeld(heldBackMs);
    else onFree();
  }

  /** Time for which the request must reach no replica; 0 when it may. */
  heldBackMs(): number {
    const decision = this.crashes.decide(this.id);
    switch (decision.kind) {
      case 'free':
        return 0;
      case 'trial':
        return this.inTrial ? 0 : TRIAL_RETURN_MS;
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
  onGivenUp(replica: Replica, sentMs: number): void {
    this.crashes.onGivenUp(this.id(), replica, sentMs);
  }

  onServed(): void {
    this.crashes.onServed(this.id);
  }

  dispose(): void {
    this.disposed = true;
    clearTimeout(this.timer);
    if (this.inTrial) this.crashes.endTrial(this.id());
    this.inTrial = false;
  }
}
