/** Finds requests that crash the replicas which run them, and keeps them from further replicas. */
import {sha256Hex, type Clock, type CounterFamily, type Logger} from '@jasminepost/core';
import type {SuspectMessage} from '@jasminepost/mesh';
import {decideQuarantine, SuspectList} from '@jasminepost/policy';
import type {CrashEvidence} from './gateway_metrics.ts';
import type {Replica} from './replica.ts';

/** A caller that repeats such a request does so within seconds; after this it is tried again. */
const SUSPECT_MEMORY_MS = 60_000;
/** Three heartbeats of a replica and the store's delay: by then a crashed one is off the list. */
const CONFIRM_MS = 5000;
const CONFIRM_INTERVAL_MS = 100;
const FINGERPRINT_DIGITS = 24;

/** A request as it looks when it comes again, under another id. @internal */
export interface RepeatableRequest {
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
}

/** @internal */
export interface CrashWatchContext {
  readonly clock: Clock;
  readonly log: Logger;
  readonly evidence: CounterFamily<CrashEvidence>;
  /** True once the replica is known to have ended. */
  isLost(replica: Replica): boolean;
  /** Tells the other gateways. */
  announce(message: SuspectMessage): void;
}

interface Cut {
  readonly fingerprint: string;
  readonly replica: Replica;
  readonly sentMs: number;
  readonly atMs: number;
}

/** @internal */
export class CrashWatch {
  private readonly suspects = new SuspectList(SUSPECT_MEMORY_MS);
  /** Attempts that were cut, until it is known whether their replica has crashed. */
  private cuts: Cut[] = [];
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly ctx: CrashWatchContext) {}

  /** Time for which a request must reach no replica; 0 when it may. */
  heldBackMs(request: RepeatableRequest): number {
    const nowMs = this.ctx.clock.monotonicMs();
    if (this.suspects.isEmpty(nowMs)) return 0;
    const decision = decideQuarantine(this.suspects, fingerprintOf(request), nowMs);
    return decision.kind === 'refuse' ? decision.retryAfterMs : 0;
  }

  /** Takes in an attempt whose connection ended before the answer did. */
  onCut(request: RepeatableRequest, replica: Replica, sentMs: number): void {
    const atMs = this.ctx.clock.monotonicMs();
    this.cuts.push({fingerprint: fingerprintOf(request), replica, sentMs, atMs});
    this.ctx.evidence.increment('cut');
    this.timer ??= setInterval(() => this.confirm(), CONFIRM_INTERVAL_MS);
  }

  /** A request that a replica has run to its end crashes none. */
  onServed(request: RepeatableRequest): void {
    const nowMs = this.ctx.clock.monotonicMs();
    if (this.cuts.length === 0 && this.suspects.isEmpty(nowMs)) return;
    const fingerprint = fingerprintOf(request);
    this.cuts = this.cuts.filter(cut => cut.fingerprint !== fingerprint);
    if (this.suspects.crashesOf(fingerprint, nowMs) === 0) return;
    this.suspects.clear(fingerprint);
    this.ctx.log.info('suspect cleared', {fingerprint});
    this.ctx.announce({type: 'suspect', fingerprint, crashes: 0, cleared: true});
  }

  /** All suspects, for a gateway that has just come. */
  list(): SuspectMessage[] {
    return this.suspects
      .list(this.ctx.clock.monotonicMs())
      .map(suspect => ({type: 'suspect', ...suspect, cleared: false}));
  }

  /** Takes in what another gateway has found. */
  take(message: SuspectMessage): void {
    this.suspects.take(message, this.ctx.clock.monotonicMs());
  }

  dispose(): void {
    clearInterval(this.timer);
  }

  private confirm(): void {
    const nowMs = this.ctx.clock.monotonicMs();
    const open: Cut[] = [];
    for (const cut of this.cuts) {
      if (this.ctx.isLost(cut.replica)) this.onCrash(cut);
      else if (nowMs - cut.atMs < CONFIRM_MS) open.push(cut);
      else this.drop(cut, 'unconfirmed');
    }
    this.cuts = open;
    if (open.length > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }

  private onCrash(cut: Cut): void {
    const {fingerprint, replica, sentMs, atMs} = cut;
    // Replicas that crash together tell nothing of the requests that were on all of them.
    if (sentMs < this.suspects.reportedMs(fingerprint)) return this.drop(cut, 'overlapping');
    const crashes = this.suspects.crashesOf(fingerprint, atMs) + 1;
    this.suspects.report(fingerprint, crashes, atMs);
    this.ctx.evidence.increment('confirmed');
    this.ctx.log.warn('request suspected', {fingerprint, crashes, replica: replica.id});
    this.ctx.announce({type: 'suspect', fingerprint, crashes, cleared: false});
  }

  private drop({fingerprint, replica, atMs}: Cut, outcome: 'unconfirmed' | 'overlapping'): void {
    this.ctx.evidence.increment(outcome);
    const ageMs = Math.round(this.ctx.clock.monotonicMs() - atMs);
    this.ctx.log.info('crash evidence dropped', {
      fingerprint,
      replica: replica.id,
      outcome,
      ageMs,
    });
  }
}

/** The same for each time that a caller sends the request. */
function fingerprintOf({method, path, body}: RepeatableRequest): string {
  const digest = sha256Hex(Buffer.concat([Buffer.from(`${method} ${path}\n`), body]));
  return digest.slice(0, FINGERPRINT_DIGITS);
}
