/** What a gateway that reads the store for others tells them of a change. */
import {createLogger, MetricRegistry} from '@jasminepost/core';
import {encodeFrame, type StoreChangesMessage} from '@jasminepost/mesh';
import {StoreClient, type StoreCall} from '@jasminepost/platform';
import {FleetWatcher} from '../../apps/gateway/src/lib/fleet_watcher.ts';
import {MetadataStore} from '../../stand_ins/users_platform/metadata_store.ts';
import {until} from './fleet_process.ts';

export interface RelayTelling {
  readonly bytesTold: number;
  /** True when the gateway itself has taken the document in. */
  readonly taken: boolean;
}

const LIMIT_MS = 3000;
const GATEWAYS = 31;
const REPLICA_INTERVAL_MS = 1200;

export async function tellConfiguration(documentBytes: number): Promise<RelayTelling> {
  const store = new MetadataStore();
  const [host, port] = (await store.listen()).split(':');
  const calls = new MetricRegistry().counter<StoreCall>('store_calls', 'Calls', 'call');
  const client = new StoreClient({host, port: Number(port)}, calls);
  const told: StoreChangesMessage[] = [];
  let taken = '';
  const feed = new FleetWatcher(
    client,
    createLogger('test', 'relay', 'error'),
    REPLICA_INTERVAL_MS,
    {
      onConfig: text => (taken = text),
      onReplicaSnapshot: () => undefined,
      onReplicaChange: () => true,
      onOtherChange: () => undefined,
      isRelay: () => true,
      relay: message => told.push(message),
      gateways: () => GATEWAYS,
      linkedGatewayCount: () => GATEWAYS,
    },
  );
  store.put('op/config', 'the first');
  feed.start();
  await until('the first document', LIMIT_MS, async () => (taken === '' ? undefined : true));
  const document = 'x'.repeat(documentBytes);
  store.put('op/config', document);
  store.put('servers/a', 'an entry');
  const isTold = () => told.some(({changes}) => changes.some(({key}) => key === 'servers/a'));
  await until('the document and the entry', LIMIT_MS, async () =>
    taken === document && isTold() ? true : undefined,
  );
  feed.dispose();
  await client.close();
  store.close();
  const bytesTold = told.reduce((bytes, message) => bytes + encodeFrame(message).length, 0);
  return {bytesTold, taken: taken === document};
}
