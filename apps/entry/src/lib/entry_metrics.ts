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
    this.completed = registry.counter('completed', 'Requests answered whole.', 'class');
    this.onTarget = registry.counter('on_target', 'Requests that met their targets.', 'class');
    this.refusals = registry.counter('refusals', 'Final refusals.', 'reason');
    this.retries = registry.counter('retries', 'Attempts after the first, by cause.', 'reason');
    this.resumes = registry.counter('resumes', 'Streams continued elsewhere, by cause.', 'reason');
    this.givenUp = registry.counter('given_up', 'Failed requests by what ended them.', 'cause');
    this.staleFrames = registry.counter('stale_frames', 'Frames dropped.', 'reason');
    this.linkFaults = registry.counter('link_faults', 'Ended mesh links.', 'reason');
    this.firstToken = {
      paid: registry.histogram('first_token_paid_ms', 'Time to the first token, paid.'),
      trial: registry.histogram('first_token_trial_ms', 'Time to the first token, trial.'),
    };
  }
}
