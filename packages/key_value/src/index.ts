export {KeyValueClient, type KeyValueCall, type KeyValueEntry} from './lib/key_value_client.ts';
export type {KeyValueStore, StoredEntry, WriteOutcome} from './lib/key_value_store.ts';
export {KeyWatcher} from './lib/key_watcher.ts';
export {InstanceListClient, type ListedInstance} from './lib/instance_list_client.ts';
export {
  ClaimStore,
  type CancelOutcome,
  type ClaimOutcome,
  type ClaimTicket,
  type StoredAnswer,
} from './lib/claim_store.ts';
export {FenceCounter} from './lib/fence_counter.ts';
export {
  parsePlan,
  planKey,
  planKeyOf,
  PLAN_PREFIX,
  type PlanDocument,
} from './lib/plan_document.ts';
export {TermLease} from './lib/term_lease.ts';
export {
  StoreConnection,
  type StoreCallLimits,
  type StoreHttpHeaders,
  type StoreConnectionLimits,
  type StoreHttpReply,
} from './lib/store_http.ts';
