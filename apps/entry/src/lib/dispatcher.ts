/** Runs callers' requests: owns the table of attempts and what all requests share. */
import type {ResponseSink, ValidatedRequest} from '@jasminepost/caller';
import type {Clock, CounterFamily, Logger} from '@jasminepost/core';
import type {
  ChunkMessage,
  EndMessage,
  FailMessage,
  HeadMessage,
  MeshMessage,
  Replica,
} from '@jasminepost/mesh';
import type {ClaimStore} from '@jasminepost/key_value';
import type {OrganisationLimiter, RetryBudget, SuspectList} from '@jasminepost/policy';
import type {EntryMetrics, StaleFrame} from './entry_metrics.ts';
import type {ReplicaIndex} from './replica_index.ts';
import {RequestRun} from './request_run.ts';
import type {TraceLog} from './trace_log.ts';

/** What every request uses. @internal */
export interface DispatchContext {
  readonly clock: Clock;
  readonly zone: string;
  readonly crossZoneMs: number;
  /** Names this process in attempt ids. */
  readonly processId: string;
  readonly index: ReplicaIndex;
  readonly suspects: SuspectList;
  readonly retryBudget: RetryBudget;
  readonly limiter: OrganisationLimiter;
  readonly claims: ClaimStore;
  readonly metrics: EntryMetrics;
  readonly traces: TraceLog;
  readonly log: Logger;
  limitsOf(organisation: string): {requestsPerS: number; concurrency: number};
  targetsOf(organisation: string): {firstTokenMs: number; betweenTokensMs: number};
  liveEntries(): number;
}

/** @internal */
export class Dispatcher {
  readonly runs = new Set<RequestRun>();
  private readonly attempts = new Map<number, RequestRun>();
  private readonly idleListeners: Array<() => void> = [];
  private nextAttempt = 1;

  constructor(
    readonly context: DispatchContext,
    /** Counts requests per model for placement. */
    private readonly onRequest: (call: ValidatedRequest) => void,
  ) {}

  dispatch(call: ValidatedRequest, sink: ResponseSink): void {
    this.context.metrics.requests.increment(call.class);
    this.onRequest(call);
    const run = new RequestRun(this, call, sink);
    this.runs.add(run);
    run.start();
  }

  /** Reserves a number for one attempt; frames with it reach `run`. */
  openAttempt(run: RequestRun): number {
    const attempt = this.nextAttempt++;
    this.attempts.set(attempt, run);
    return attempt;
  }

  /** From here on frames of the attempt are dropped. */
  closeAttempt(attempt: number): void {
    this.attempts.delete(attempt);
  }

  finish(run: RequestRun): void {
    this.runs.delete(run);
    if (this.runs.size > 0) return;
    for (const listener of this.idleListeners.splice(0)) listener();
  }

  /** Resolves when no request is in progress. */
  whenIdle(): Promise<void> {
    if (this.runs.size === 0) return Promise.resolve();
    return new Promise(resolve => this.idleListeners.push(resolve));
  }

  /** Routes a sidecar's frame to its request; false when it is of another kind. */
  receive(replica: Replica, message: MeshMessage): boolean {
    switch (message.type) {
      case 'head':
      case 'chunk':
      case 'end':
      case 'fail':
        this.route(replica, message);
        return true;
      default:
        return false;
    }
  }

  /** Ends the attempts that were in progress on a lost link. */
  loseReplica(replica: Replica): void {
    for (const run of [...this.attempts.values()]) {
      if (run.replica === replica) run.onLinkLost();
    }
  }

  private route(
    replica: Replica,
    message: HeadMessage | ChunkMessage | EndMessage | FailMessage,
  ): void {
    const run = this.attempts.get(message.attempt);
    const stale: CounterFamily<StaleFrame> = this.context.metrics.staleFrames;
    if (run === undefined) {
      stale.increment('unknown_attempt');
      return;
    }
    if (!run.owns(replica, message.tag)) {
      stale.increment('foreign');
      return;
    }
    run.onFrame(message);
  }
}
