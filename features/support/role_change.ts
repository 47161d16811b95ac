/** Two processes that compete for one leader lease in the platform's store. */
import {createLogger, MetricRegistry, sleep, SystemClock} from '@jasminepost/core';
import {LeaderLease} from '@jasminepost/key_value';
import {StoreClient, type StoreCall} from '@jasminepost/platform';
import {MetadataStore} from '../../stand_ins/users_platform/metadata_store.ts';

export interface RoleChange {
  readonly terms: readonly [before: number, after: number];
  /** Time from the holder's loss of eligibility to the other's first term; infinite for none. */
  readonly tookMs: number;
  readonly heldByBoth: boolean;
}

const TTL_MS = 1000;
const CHECK_INTERVAL_MS = 100;
const POLL_MS = 5;
const TIMEOUT_MS = 5000;

export async function changeRole(): Promise<RoleChange> {
  const store = new MetadataStore();
  const [host, port] = (await store.listen()).split(':');
  const calls = new MetricRegistry().counter<StoreCall>('store_calls', 'Calls', 'call');
  const log = createLogger('test', 'role', 'error');
  const eligible = [true, true];
  const leases = eligible.map((_, index) => {
    const client = new StoreClient({host, port: Number(port)}, calls);
    const isEligible = () => eligible[index];
    return new LeaderLease(
      client,
      'planner',
      `p${index}`,
      TTL_MS,
      new SystemClock(),
      log,
      () => CHECK_INTERVAL_MS,
      isEligible,
    );
  });
  for (const lease of leases) lease.start();
  let heldByBoth = false;
  const until = async (isDone: () => boolean) => {
    const startMs = performance.now();
    while (!isDone() && performance.now() - startMs < TIMEOUT_MS) {
      heldByBoth ||= leases.every(lease => lease.heldTerm() > 0);
      await sleep(POLL_MS);
    }
    return isDone() ? performance.now() - startMs : Number.POSITIVE_INFINITY;
  };
  await until(() => leases.some(lease => lease.heldTerm() > 0));
  const holder = leases.findIndex(lease => lease.heldTerm() > 0);
  const before = leases[holder].heldTerm();
  eligible[holder] = false;
  const tookMs = await until(() => leases[1 - holder].heldTerm() > 0);
  const after = leases[1 - holder].heldTerm();
  for (const lease of leases) lease.dispose();
  store.close();
  return {terms: [before, after], tookMs, heldByBoth};
}
