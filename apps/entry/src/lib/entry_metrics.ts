/** Counters and latency histograms of the entry. */
import {
  Histogram,
  type CounterFamily,
  type MetricRegistry,
  type RequestClass,
} from '@jasminepost/core';
import type {LinkCloseReason} from '@jasminepost/mesh';

/** Why a frame was dropped: it does not belong to, or not continue, an attempt in progress. */
export type StaleFrameReason = 'unknown_attempt' | 'foreign' | 'sequence_gap';

/** @internal */
export class EntryMetrics {
  readonly requests: CounterFamily<RequestClass>;
  readonly completed: CounterFamily<RequestClass>;
  readonly onTarget: CounterFamily<RequestClass>;
  readonly refusals: CounterFamily<string>;
  readonly retries: CounterFamily<string>;
  readonly resumes: CounterFamily<string>;
  readonly givenUp: CounterFamily<string>;
  readonly staleFrames: CounterFamily<StaleFrameReason>;
  readonly linkFaults: CounterFamily<LinkCloseReason>;
  readonly firstToken: Readonly<Record<RequestClass, Histogram>>;

  constructor(registry: MetricRegistry) {
    this.requests = registry.counter('requests', 'Requests dispatched.', 'class');
    this.completed = registry.counter(
      'completed',
      'Requests completed with a full response.',
      'class',
    );
    this.onTarget = registry.counter(
      'on_target',
      'Completed requests that met their latency targets.',
      'class',
    );
    this.refusals = registry.counter(
      'refusals',
      'Requests refused or failed, by reason.',
      'reason',
    );
    this.retries = registry.counter(
      'retries',
      'Repeated attempts, by reason of the last failure.',
      'reason',
    );
    this.resumes = registry.counter(
      'resumes',
      'Streams resumed on another replica, by reason.',
      'reason',
    );
    this.givenUp = registry.counter('given_up', 'Requests given up, by cause.', 'cause');
    this.staleFrames = registry.counter(
      'stale_frames',
      'Stale frames dropped, by reason.',
      'reason',
    );
    this.linkFaults = registry.counter('link_faults', 'Closed mesh links, by reason.', 'reason');
    this.firstToken = {
      paid: registry.histogram('first_token_paid_ms', 'Time to the first token, paid.'),
      trial: registry.histogram('first_token_trial_ms', 'Time to the first token, trial.'),
    };
  }
}
