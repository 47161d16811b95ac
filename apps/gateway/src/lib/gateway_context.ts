/** Parts of the gateway that the handling of a caller's request depends on. */
import type {IncomingMessage} from 'node:http';
import type {Clock, Logger, UnreadHeaderCounter} from '@jasminepost/core';
import type {
  ConfigCurrency,
  PriorWaitEstimator,
  StreamVersions,
  WindowedRetryBudget,
} from '@jasminepost/policy';
import type {EngineSpec} from '@jasminepost/serving';
import type {CallerMemory} from './caller_memory.ts';
import type {CallerRequest} from './caller_request.ts';
import type {CrashDetector} from './crash_detector.ts';
import type {DefaultVersions} from './default_versions.ts';
import type {GenerationQueue} from './generation_queue.ts';
import type {GatewayMetrics} from './gateway_metrics.ts';
import type {ReplicaRateLimits} from './replica_rate_limits.ts';
import type {OrganisationQuotas} from './organisation_quotas.ts';
import type {PrefillEstimator} from './prefill_estimator.ts';
import type {ReplicaTable} from './replica_table.ts';
import type {ServiceQueue} from './service_queue.ts';
import type {StreamRecord} from './stream_record.ts';
import type {StreamWitnesses} from './stream_witnesses.ts';
import type {ZoneOverflows} from './zone_overflows.ts';
import type {ZoneTraffic} from './zone_traffic.ts';

/** @internal */
export interface GatewayContext {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: GatewayMetrics;
  readonly unreadHeaders: UnreadHeaderCounter;
  readonly zone: string;
  /** Round-trip time to another availability zone, in milliseconds. */
  readonly crossZoneMs: number;
  readonly zoneOverflows: ZoneOverflows;
  readonly zoneTraffic: ZoneTraffic;
  readonly table: ReplicaTable;
  readonly estimator: PrefillEstimator;
  readonly generations: GenerationQueue;
  readonly services: ServiceQueue;
  readonly limits: ReplicaRateLimits;
  readonly quotas: OrganisationQuotas;
  readonly crashes: CrashDetector;
  readonly memory: CallerMemory;
  readonly streamVersions: StreamVersions;
  readonly defaultVersions: DefaultVersions;
  readonly streamRecord: StreamRecord;
  readonly streamWitnesses: StreamWitnesses;
  readonly priorWait: PriorWaitEstimator;
  engineOf(service: string): EngineSpec | undefined;
  retryBudget(service: string): WindowedRetryBudget;
  /** Estimated number of gateways, which share retry budgets and rate limits. */
  gateways(): number;
  /** Version of the active configuration; 0 before the first. */
  configVersion(): number;
  /** What is known of the age of the active configuration. */
  configCurrency(): ConfigCurrency;
  /** Time since the list of replicas was last known to be current. */
  listAgeMs(): number;
  /** False while a newer list of replicas is awaited; see `ListAgeLimit`. */
  mayChooseReplica(): boolean;
  /** True when the connection must end with the response: in a graceful shutdown. */
  endsConnection(req: IncomingMessage): boolean;
  /** True once only requests that have already been sent may finish before the exit. */
  isClosing(): boolean;
  /** True while the first attempt to read the configuration is in progress. */
  isStarting(): boolean;
  onFinished(request: CallerRequest): void;
}
