/** A gateway that is told of a newer configuration by the planner's gateway before it reads it. */
import {createLogger, MetricRegistry, sleep} from '@jasminepost/core';
import {StoreClient, type StoreCall} from '@jasminepost/platform';
import {FleetWatcher} from '../../apps/gateway/src/lib/fleet_watcher.ts';
import {MetadataStore} from '../../stand_ins/users_platform/metadata_store.ts';
import {until} from './fleet_process.ts';

const TIMEOUT_MS = 3000;
/** Calls that are aborted end in this time; a client that is closed before reports them as errors. */
const ABORT_MS = 100;

/** Whether a newer configuration counts as announced: before it is, once it is, and once it is read. */
export async function announceConfiguration(): Promise<readonly boolean[]> {
  const store = new MetadataStore();
  const [host, port] = (await store.listen()).split(':');
  const calls = new MetricRegistry().counter<StoreCall>('store_calls', 'Calls', 'call');
  const client = new StoreClient({host, port: Number(port)}, calls);
  let position = {era: 0, revision: 0};
  const watcher = new FleetWatcher(client, createLogger('test', 'announced', 'error'), 1200, {
    onConfig: (_text, at) => (position = at),
    onReplicaSnapshot: () => undefined,
    onReplicaChange: () => true,
    onOtherChange: () => true,
    isRelay: () => false,
    relay: () => undefined,
    gateways: () => 2,
    linkedGatewayCount: () => 2,
  });
  store.put('op/config', 'the first');
  watcher.start();
  await until('both reads', TIMEOUT_MS, async () =>
    position.revision > 0 && watcher.knownRevision >= 0 ? true : undefined,
  );
  const seen = [watcher.isNewerConfigAnnounced];
  const {era} = position;
  const configRevision = position.revision + 1;
  const revision = watcher.knownRevision;
  const report = {era, since: revision, revision, settling: false, gateways: 2, configRevision};
  watcher.applyRelayed(
    {type: 'store_changes', ...report, ageMs: 0, changes: []},
    performance.now(),
  );
  seen.push(watcher.isNewerConfigAnnounced);
  store.put('op/config', 'the second');
  await until('the second configuration', TIMEOUT_MS, async () =>
    position.revision === configRevision ? true : undefined,
  );
  seen.push(watcher.isNewerConfigAnnounced);
  watcher.dispose();
  await sleep(ABORT_MS);
  await client.close();
  store.close();
  return seen;
}
