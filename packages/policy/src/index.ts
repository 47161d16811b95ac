export {CircuitBreaker} from './lib/circuit_breaker.ts';
export {
  chooseReplica,
  isSaturated,
  type RouteCandidate,
  type RouteChoice,
  type RouteRequest,
} from './lib/routing.ts';
export {RetryBudget} from './lib/retry_budget.ts';
export {decideRetry, type RetryDecision, type RetryInput} from './lib/retry.ts';
export {
  AdmissionQueue,
  type AdmissionDecision,
  type AdmissionLimits,
  type Ticket,
} from './lib/admission.ts';
export {
  CrashRecord,
  isPartKey,
  partKey,
  type CrashDecision,
  type ReplicaFailure,
} from './lib/crash_record.ts';
export {CrashReportQueue, reportBytes, type CrashReport} from './lib/crash_report_queue.ts';
export {ListAgeLimit} from './lib/list_age_limit.ts';
export {relayedAsOfMs, type TimeEcho} from './lib/relayed_age.ts';
export {
  decideQuarantine,
  SuspectList,
  type QuarantineDecision,
  type SuspectUpdate,
} from './lib/quarantine.ts';
export {
  MemoryLedger,
  type EngineResidency,
  type LedgerRefusal,
  type OrderRecord,
} from './lib/memory_ledger.ts';
export {checkFloors, type FloorShortage} from './lib/floor_check.ts';
export {
  planMoves,
  type ModelDemand,
  type PlacementInput,
  type PlacementMove,
  type ReplicaState,
} from './lib/placement.ts';
export {thresholdsOf, type Objective} from './lib/placement_objective.ts';
export {DemandTracker, TRIAL_DEMAND_WEIGHT} from './lib/demand.ts';
export {
  rejectionWithoutKey,
  settleKeyCheck,
  type AcceptedKey,
  type ConfigCurrency,
  type KeyCheck,
  type KeyFault,
} from './lib/key_check.ts';
export {OrganisationLimiter, type LimitRefusal} from './lib/organisation_limiter.ts';
export {demandIntervalMs, reportIntervalMs} from './lib/report_interval.ts';
export {
  WeightLoadLedger,
  maxConcurrentLoads,
  type WeightStoreLimit,
} from './lib/weight_load_ledger.ts';
export {WeightLoadRecord, type WeightLoadReport} from './lib/weight_load_record.ts';
export {WindowedRetryBudget, type WindowedRetryLimits} from './lib/windowed_retry_budget.ts';
export {
  chooseEngine,
  type EngineCandidate,
  type EngineChoice,
  type EngineRequest,
} from './lib/engine_choice.ts';
export {
  compareQueuedRequests,
  enginePriority,
  wouldBeLateBehind,
  shouldQueue,
  queuedRequestState,
  type QueuedRequest,
  type QueuedRequestState,
} from './lib/queue_order.ts';
export {DrainRateEstimator} from './lib/drain_rate_estimator.ts';
export {PriorWaitEstimator} from './lib/prior_wait_estimator.ts';
export {chargedMb, chooseAdapterToEvict} from './lib/engine_memory.ts';
export {
  planEngines,
  type EngineMove,
  type EnginePlanInput,
  type EnginePlanModel,
  type EnginePlanReplica,
} from './lib/engine_plan.ts';
export {requestTimes, type RequestTimes, type RequestTimeInputs} from './lib/request_times.ts';
export {
  eligibilityOf,
  INITIAL_AVAILABILITY,
  nextAvailability,
  remainingPauseMs,
  type Eligibility,
  type ReplicaAvailability,
  type AvailabilityEvent,
} from './lib/replica_availability.ts';
export {quotaBucket, type CreditBucket, type QuotaTolerance} from './lib/credit_bucket.ts';
export {
  ISSUER_TIMEOUT_MS,
  PermitPool,
  type Charge,
  type NumberedCreditRequest,
  type PermitRequest,
} from './lib/permit_pool.ts';
export {
  correctPace,
  expectedPace,
  nextPace,
  reportedPace,
  type ReplicaPace,
} from './lib/replica_pace.ts';
export {
  decideStall,
  type StallDecision,
  type StallInput,
  type StallReason,
} from './lib/stall_decision.ts';
export {
  PermitIssuer,
  type CreditGrant,
  type CreditRequest,
  type IssuerView,
  type PermitGrant,
} from './lib/permit_issuer.ts';
export {
  NO_RATE_LIMIT,
  nextRateLimit,
  type RateLimitUpdate,
  type ReplicaRateLimit,
} from './lib/replica_rate_limit.ts';
export {
  decideStreamVersion,
  MAX_DEFAULT_AGE_MS,
  mayBeginUnrecorded,
  nextDefaultVersion,
  StreamVersions,
  unrecordedVersion,
  type DefaultVersion,
  type StreamBeginning,
  type StreamVersionDecision,
  STREAM_LIFE_MS,
} from './lib/stream_versions.ts';
export {VersionSightings} from './lib/version_sightings.ts';
export {
  crossingPriceMs,
  ZoneOverflow,
  type Crossing,
  type ZoneDecision,
  type ZoneInputs,
  type ZoneLeaveReason,
  type ZoneOffer,
} from './lib/zone_overflow.ts';
