/** Counters and histograms of the sidecar. */
import type {CounterFamily, Histogram, MetricRegistry, Verdict} from '@jasminepost/core';
import type {LinkCloseReason} from '@jasminepost/mesh';

type OrderEvent = 'sent' | 'accepted' | 'stale_fence' | 'no_room' | 'unknown' | 'resent';
type ClaimEvent =
  | 'granted'
  | 'replay'
  | 'in_progress'
  | 'key_reused'
  | 'cancelled'
  | 'unavailable'
  | 'withdrawn'
  | 'store_failed';

/** @internal */
export class SidecarMetrics {
  readonly verdicts: CounterFamily<Verdict['kind']>;
  readonly refusals: CounterFamily<string>;
  readonly claims: CounterFamily<ClaimEvent>;
  readonly orders: CounterFamily<OrderEvent>;
  readonly upstream: CounterFamily<'crash' | 'cut' | 'unhealthy' | 'recovered'>;
  readonly preemptions: CounterFamily<'trial'>;
  readonly linkFaults: CounterFamily<LinkCloseReason>;
  readonly queueTime: Histogram;

  constructor(registry: MetricRegistry) {
    this.verdicts = registry.counter('verdicts', 'Ended attempts, by verdict.', 'verdict');
    this.refusals = registry.counter(
      'refusals',
      'Attempts refused as not run, by reason.',
      'reason',
    );
    this.claims = registry.counter('claims', 'Claims of idempotency keys, by outcome.', 'outcome');
    this.orders = registry.counter('orders', 'Orders to the engine, by event.', 'event');
    this.upstream = registry.counter(
      'upstream_events',
      'Crashes, cut connections and health changes of the upstream.',
      'event',
    );
    this.preemptions = registry.counter(
      'preemptions',
      'Running requests preempted, by class.',
      'class',
    );
    this.linkFaults = registry.counter('link_faults', 'Closed mesh links, by reason.', 'reason');
    this.queueTime = registry.histogram('queue_ms', 'Time that attempts spent in the queue.');
  }
}
