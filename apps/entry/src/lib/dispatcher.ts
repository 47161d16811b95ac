/** Starts callers' requests and routes frames from sidecars to the attempts they belong to. */
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
import type {EntryMetrics, StaleFrameReason} from './entry_metrics.ts';
import type {ReplicaIndex} from './replica_index.ts';
import {CallerRequest} from './caller_request.ts';
import type {TraceLog} from './trace_log.ts';

/** Dependencies shared by all requests. @internal */
export interface DispatchContext {
  readonly clock: Clock;
  readonly zone: string;
  readonly crossZoneMs: number;
  /** Prefix of attempt ids, unique to this process. */
  readonly processId: string;
  readonly index: ReplicaIndex;
  readonly suspects: SuspectList;
  readonly retryBudget: RetryBudget;
  readonly limiter: OrganisationLimiter;
  readonly claims: ClaimStore;
  readonly metrics: EntryMetrics;
  readonly traces: TraceLog;
  readonly log: Logger;
  organisationLimits(organisation: string): {requestsPerS: number; concurrency: number};
  latencyTargets(organisation: string): {firstTokenMs: number; betweenTokensMs: number};
  liveEntries(): number;
}

/** @internal */
export class Dispatcher {
  readonly requests = new Set<CallerRequest>();
  private readonly attempts = new Map<number, CallerRequest>();
  private readonly idleListeners: Array<() => void> = [];
  private nextAttempt = 1;

  constructor(
    readonly context: DispatchContext,
    /** Called for every request, to count the demand per model. */
    private readonly onRequest: (request: ValidatedRequest) => void,
  ) {}

  dispatch(request: ValidatedRequest, sink: ResponseSink): void {
    this.context.metrics.requests.increment(request.class);
    this.onRequest(request);
    const callerRequest = new CallerRequest(this, request, sink);
    this.requests.add(callerRequest);
    callerRequest.start();
  }

  /** Allocates an attempt number; frames that carry it are passed to `request`. */
  openAttempt(request: CallerRequest): number {
    const attempt = this.nextAttempt++;
    this.attempts.set(attempt, request);
    return attempt;
  }

  /** Closes an attempt; later frames of it are dropped. */
  closeAttempt(attempt: number): void {
    this.attempts.delete(attempt);
  }

  finish(request: CallerRequest): void {
    this.requests.delete(request);
    if (this.requests.size > 0) return;
    for (const listener of this.idleListeners.splice(0)) listener();
  }

  /** Resolves when no request is in progress. */
  whenIdle(): Promise<void> {
    if (this.requests.size === 0) return Promise.resolve();
    return new Promise(resolve => this.idleListeners.push(resolve));
  }

  /** Routes a sidecar's frame to its request. @returns false for messages of other types. */
  receive(replica: Replica, message: MeshMessage): boolean {
    switch (message.type) {
      case 'head':
      case 'chunk':
      case 'end':
      case 'fail':
        this.routeFrame(replica, message);
        return true;
      default:
        return false;
    }
  }

  /** Ends the attempts in progress at a replica whose link was lost. */
  onReplicaLost(replica: Replica): void {
    for (const request of [...this.attempts.values()]) {
      if (request.replica === replica) request.onLinkLost();
    }
  }

  private routeFrame(
    replica: Replica,
    message: HeadMessage | ChunkMessage | EndMessage | FailMessage,
  ): void {
    const request = this.attempts.get(message.attempt);
    const staleFrames: CounterFamily<StaleFrameReason> = this.context.metrics.staleFrames;
    if (request === undefined) {
      staleFrames.increment('unknown_attempt');
      return;
    }
    if (!request.isCurrentAttempt(replica, message.tag)) {
      staleFrames.increment('foreign');
      return;
    }
    request.onFrame(message);
  }
}
