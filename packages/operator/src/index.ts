export {
  declarationSchema,
  parseDeclaration,
  type AdapterDeclaration,
  type Declaration,
  type ModelDeclaration,
  type OrganisationDeclaration,
  type ServiceDeclaration,
} from './lib/declaration.ts';
export {CONFIG_KEY, encodeConfig, parseConfig, type ConfigDocument} from './lib/config_document.ts';
export {ConfigIndex, type Credential} from './lib/config_index.ts';
export {ActiveConfig, type ConfigOfferOutcome} from './lib/active_config.ts';
export {ConfigWatcher} from './lib/config_watcher.ts';
export {ConfigPeerSync, type ConfigPeerLink} from './lib/config_peer_sync.ts';
export {diffDeclarations, type DeclarationChange} from './lib/declaration_diff.ts';
export {
  answersSchema,
  applyAnswers,
  parseAnswers,
  QUESTIONS,
  type Answers,
} from './lib/questionnaire.ts';
export {acceptDeclaration, type AcceptOutcome} from './lib/accept.ts';
export {reviewCapacity, type CapacityReview} from './lib/capacity_review.ts';
