export {
  backendFor,
  RouteTable,
  type Backend,
  type CallerLimits,
  type EngineSpec,
  type FleetConfig,
  type ModelSpec,
  type RequestKind,
  type Route,
  type Service,
} from './lib/fleet_config.ts';
export type {
  EngineOrder,
  EngineReport,
  HeldModel,
  OrderOutcome,
  ReplicaEntry,
  WeightCopies,
} from './lib/replica_entry.ts';
export {incarnationOf} from './lib/replica_entry.ts';
export {NO_GENERATION, tokensOf, type Generation, type PromptPart} from './lib/generation.ts';
