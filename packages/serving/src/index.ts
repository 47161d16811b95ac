export {
  selectBackend,
  RouteTable,
  type Backend,
  type CallerLimits,
  type EngineSpec,
  type FleetConfig,
  type ModelSpec,
  type Organisation,
  type Quota,
  type QuotaUnit,
  type RequestKind,
  type Route,
  type Service,
} from './lib/fleet_config.ts';
export type {
  EngineOrder,
  EngineReport,
  LoadedModel,
  OrderOutcome,
  ReplicaRegistration,
  CachedWeights,
} from './lib/replica_registration.ts';
export {OrganisationDirectory, type KeyLookup} from './lib/organisation_directory.ts';
export {incarnationId} from './lib/replica_registration.ts';
export {
  EMPTY_GENERATION,
  maxTokens,
  sharedPartIds,
  type GenerationParams,
  type PromptPart,
} from './lib/generation_params.ts';
