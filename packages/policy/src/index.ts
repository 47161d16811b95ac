export {Circuit} from './lib/circuit.ts';
export {
  chooseReplica,
  isCrowded,
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
export {CrashRecord, type CrashDecision, type CrashEnding} from './lib/crash_record.ts';
export {
  decideQuarantine,
  SuspectList,
  type QuarantineDecision,
  type SuspectNews,
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
export {OrganisationLimiter, type LimitRefusal} from './lib/organisation_limiter.ts';
export {demandIntervalMs, reportIntervalMs} from './lib/report_interval.ts';
export {LoadLedger, loadsAtOnce, type WeightStoreLimit} from './lib/load_ledger.ts';
export {LoadRecord, type LoadAccount} from './lib/load_record.ts';
export {WindowBudget, type WindowBudgetLimits} from './lib/window_budget.ts';
export {
  chooseEngine,
  type EngineCandidate,
  type EngineChoice,
  type EngineNeed,
} from './lib/engine_choice.ts';
export {
  compareWaiting,
  engineUrgency,
  isLateBehind,
  mayWait,
  waitingState,
  type Waiting,
  type WaitingState,
} from './lib/waiting_line.ts';
export {DrainPace} from './lib/drain_pace.ts';
export {DeadlineHabit} from './lib/returning_caller.ts';
export {chargedMb, chooseAdapterVictim} from './lib/engine_memory.ts';
export {
  planEngines,
  type EngineMove,
  type PlanInput,
  type PlanModel,
  type PlanReplica,
} from './lib/engine_plan.ts';
export {requestTimes, type RequestTimes, type TimeInputs} from './lib/request_times.ts';
export {
  mayTake,
  NEW_STANDING,
  nextStanding,
  pauseLeftMs,
  type MayTake,
  type ReplicaStanding,
  type StandingEvent,
} from './lib/replica_standing.ts';
export {PermitAccount, type PermitQuestion} from './lib/permit_account.ts';
export {PermitDealer, type PermitAnswer} from './lib/permit_dealer.ts';
export {NO_LIMIT, nextLimit, type LimitWord, type StatedLimit} from './lib/stated_limit.ts';
