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
    this.verdicts = registry.counter('verdicts', 'Attempts by verdict.', 'verdict');
    this.refusals = registry.counter('refusals', 'Attempts refused as not run.', 'reason');
    this.claims = registry.counter('claims', 'Claims of non-idempotent requests.', 'outcome');
    this.orders = registry.counter('orders', 'Orders to the engine.', 'event');
    this.upstream = registry.counter('upstream_events', 'Changes of the upstream.', 'event');
    this.preemptions = registry.counter('preemptions', 'Running work stopped.', 'class');
    this.linkFaults = registry.counter('link_faults', 'Ended mesh links.', 'reason');
    this.queueTime = registry.histogram('queue_ms', 'Time in the queue.');
  }
}
