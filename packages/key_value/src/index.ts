export {KeyValueClient, type KeyValueCall, type KeyValueEntry} from './lib/key_value_client.ts';
export type {KeyValueStore, StoredEntry, WriteOutcome} from './lib/key_value_store.ts';
export {KeyWatcher} from './lib/key_watcher.ts';
export {InstanceListClient, type ListedInstance} from './lib/instance_list_client.ts';
export {
  ClaimStore,
  type CancelOutcome,
  type ClaimOutcome,
  type GrantedClaim,
  type StoredResponse,
} from './lib/claim_store.ts';
export {FencingTokenAllocator} from './lib/fencing_token_allocator.ts';
export {
  parsePlan,
  planShardKey,
  planKeyForReplica,
  PLAN_PREFIX,
  type PlanDocument,
} from './lib/plan_document.ts';
export {LeaderLease} from './lib/leader_lease.ts';
export {
  StoreHttpClient,
  type StoreCallOptions,
  type StoreHttpHeaders,
  type StoreHttpClientOptions,
  type StoreHttpReply,
} from './lib/store_http_client.ts';
