/** Metrics of the gateway. */
import {MetricRegistry, type CounterFamily, type Histogram} from '@jasminepost/core';
import type {LinkCloseReason} from '@jasminepost/mesh';
import type {StoreCall} from '@jasminepost/platform';
import type {StallReason, StreamVersionDecision} from '@jasminepost/policy';
import type {CreditEvent} from './organisation_quotas.ts';
import type {MemoryEviction} from './caller_memory.ts';
import type {PermitEvent} from './replica_rate_limits.ts';

/** How the version of a resumed stream is known. @internal */
export type StreamResumeSource =
  Extract<StreamVersionDecision, {kind: 'version'}>['source'] | 'unknown';

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

/** What serves a request: a model, or a plain service. @internal */
export type ServiceKind = 'model' | 'service';

/** @internal */
export interface GatewayMetrics {
  readonly registry: MetricRegistry;
  readonly endings: CounterFamily<RequestOutcome>;
  readonly refusals: CounterFamily<string>;
  readonly rejections: CounterFamily<string>;
  readonly attemptFailures: CounterFamily<string>;
  readonly retries: CounterFamily<string>;
  readonly placements: CounterFamily<string>;
  readonly storeCalls: CounterFamily<StoreCall>;
  readonly crashEvidence: CounterFamily<CrashEvidence>;
  readonly permits: CounterFamily<PermitEvent>;
  readonly credit: CounterFamily<CreditEvent>;
  readonly streamResumes: CounterFamily<StreamResumeSource>;
  readonly movedStreams: CounterFamily<StallReason>;
  readonly linkFaults: CounterFamily<LinkCloseReason>;
  readonly memoryEvictions: CounterFamily<MemoryEviction>;
  /** Requests sent to another zone, and the bytes of their bodies and of the responses'. */
  readonly zoneRequests: CounterFamily<ServiceKind>;
  readonly zoneBytes: CounterFamily<ServiceKind>;
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
  callerBytes(): number;
}

/** @internal */
export function createGatewayMetrics(gauges: GatewayGauges): GatewayMetrics {
  const registry = new MetricRegistry();
  registry.gauge('waiting', 'Requests that wait for a replica', () => gauges.waiting());
  registry.gauge('config_version', 'Configuration in force, 0 for none', () =>
    gauges.configVersion(),
  );
  registry.gauge('store_revision', 'Revision of the store that is known', () =>
    gauges.storeRevision(),
  );
  registry.gauge('store_unheard_ms', 'Time since the store was heard, also by way of others', () =>
    gauges.storeContactAgeMs(),
  );
  registry.gauge('planner_queued_bytes', 'Bytes that the planner has yet to send to gateways', () =>
    gauges.queuedBytes(),
  );
  registry.gauge('caller_bytes', 'Bytes held for callers, of the memory for them', () =>
    gauges.callerBytes(),
  );
  return {
    registry,
    endings: registry.counter('endings', 'Requests by how they ended', 'ending'),
    refusals: registry.counter('refusals', 'Requests refused as not run, by reason', 'reason'),
    rejections: registry.counter('rejections', 'Requests answered on arrival, by reason', 'reason'),
    attemptFailures: registry.counter('attempt_failures', 'Failed attempts', 'reason'),
    retries: registry.counter('retries', 'Requests sent once more, by reason', 'reason'),
    placements: registry.counter('placements', 'Models placed, by source of weights', 'source'),
    storeCalls: registry.counter('store_calls', 'Calls to the platform store', 'call'),
    crashEvidence: registry.counter(
      'crash_evidence',
      'Attempts that may have crashed their replica',
      'outcome',
    ),
    permits: registry.counter('permits', 'Permits for replicas that have named a limit', 'event'),
    credit: registry.counter('credit_units', 'Units of quotas of organisations', 'event'),
    streamResumes: registry.counter(
      'stream_resumes',
      'Streams resumed by their callers, by how their version is known',
      'source',
    ),
    movedStreams: registry.counter(
      'moved_streams',
      'Streams moved to another replica because they got no events, by reason',
      'reason',
    ),
    memoryEvictions: registry.counter(
      'memory_evictions',
      'Bodies and connections ended to free memory',
      'kind',
    ),
    linkFaults: registry.counter('link_faults', 'Mesh links that ended', 'fault'),
    zoneRequests: registry.counter('zone_requests', 'Requests sent to another zone', 'kind'),
    zoneBytes: registry.counter(
      'zone_bytes',
      'Bytes of bodies exchanged with other zones, for requests and responses',
      'kind',
    ),
    firstEvent: registry.histogram('first_event_ms', 'Arrival to first byte of the answer'),
    waited: registry.histogram('waited_ms', 'Time in the line before the request was sent'),
  };
}
