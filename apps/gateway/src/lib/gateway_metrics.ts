/** Metrics of the gateway. */
import {MetricRegistry, type CounterFamily, type Histogram} from '@jasminepost/core';
import type {LinkCloseReason} from '@jasminepost/mesh';
import type {StoreCall} from '@jasminepost/platform';
import type {PermitEvent} from './replica_rate_limits.ts';

/** Final outcome of a caller's request. @internal */
export type RequestOutcome =
  'answered' | 'refused' | 'failed' | 'cut' | 'timed_out' | 'caller_gone' | 'no_route' | 'rejected';

/**
 * Attempts that may have crashed their replica: `cut` counts connections that ended before the
 * response was complete; the others count whether the replica has ended (`confirmed`), still
 * responds (`alive`), or is still listed (`listed`).
 *
 * @internal
 */
export type CrashEvidence = 'cut' | 'confirmed' | 'alive' | 'listed';

/** @internal */
export interface GatewayMetrics {
  readonly registry: MetricRegistry;
  readonly endings: CounterFamily<RequestOutcome>;
  readonly refusals: CounterFamily<string>;
  readonly attemptFailures: CounterFamily<string>;
  readonly retries: CounterFamily<string>;
  readonly placements: CounterFamily<string>;
  readonly storeCalls: CounterFamily<StoreCall>;
  readonly crashEvidence: CounterFamily<CrashEvidence>;
  readonly permits: CounterFamily<PermitEvent>;
  readonly linkFaults: CounterFamily<LinkCloseReason>;
  readonly firstEvent: Histogram;
  readonly waited: Histogram;
}

/** Values that are read each time the metrics are rendered. @internal */
export interface GatewayGauges {
  waiting(): number;
  configVersion(): number;
  storeRevision(): number;
  storeContactAgeMs(): number;
  queuedBytes(): number;
}

/** @internal */
export function createGatewayMetrics(gauges: GatewayGauges): GatewayMetrics {
  const registry = new MetricRegistry();
  registry.gauge('waiting', 'Requests queued for a replica', () => gauges.waiting());
  registry.gauge('config_version', 'Version of the active configuration, 0 for none', () =>
    gauges.configVersion(),
  );
  registry.gauge('store_revision', 'Newest known revision of the store', () =>
    gauges.storeRevision(),
  );
  registry.gauge(
    'store_unheard_ms',
    'Time since the last contact with the store, directly or through the planner',
    () => gauges.storeContactAgeMs(),
  );
  registry.gauge('planner_queued_bytes', 'Bytes queued by the planner for other gateways', () =>
    gauges.queuedBytes(),
  );
  return {
    registry,
    endings: registry.counter('endings', 'Requests by outcome', 'ending'),
    refusals: registry.counter('refusals', 'Requests refused as not run, by reason', 'reason'),
    attemptFailures: registry.counter('attempt_failures', 'Failed attempts', 'reason'),
    retries: registry.counter('retries', 'Retried requests, by reason of the failure', 'reason'),
    placements: registry.counter(
      'placements',
      'Model placements, by source of the weights',
      'source',
    ),
    storeCalls: registry.counter('store_calls', 'Calls to the platform store', 'call'),
    crashEvidence: registry.counter(
      'crash_evidence',
      'Attempts that may have crashed their replica',
      'outcome',
    ),
    permits: registry.counter('permits', 'Permits for rate-limited replicas, by event', 'event'),
    linkFaults: registry.counter('link_faults', 'Closed mesh links, by reason', 'fault'),
    firstEvent: registry.histogram(
      'first_event_ms',
      'Time from arrival to the first byte of the response body',
    ),
    waited: registry.histogram(
      'waited_ms',
      'Time from arrival until the request was sent to a replica',
    ),
  };
}
