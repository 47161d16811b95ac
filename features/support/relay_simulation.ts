/** Measures what a gateway that watches the store for others relays to them. */
import {createLogger, MetricRegistry} from '@jasminepost/core';
import {encodeFrame, type StoreChangesMessage} from '@jasminepost/mesh';
import {StoreClient, type StoreCall} from '@jasminepost/platform';
import {FleetWatcher} from '../../apps/gateway/src/lib/fleet_watcher.ts';
import {MetadataStore} from '../../stand_ins/users_platform/metadata_store.ts';
import {until} from './fleet_process.ts';

export interface RelayResult {
  readonly relayedBytes: number;
  /** True when the gateway itself has applied the document. */
  readonly isApplied: boolean;
}

const TIMEOUT_MS = 3000;
const GATEWAYS = 31;
const REPLICA_POLL_MS = 1200;

export async function relayConfiguration(documentBytes: number): Promise<RelayResult> {
  const store = new MetadataStore();
  const [host, port] = (await store.listen()).split(':');
  const calls = new MetricRegistry().counter<StoreCall>('store_calls', 'Calls', 'call');
  const client = new StoreClient({host, port: Number(port)}, calls);
  const relayed: StoreChangesMessage[] = [];
  let applied = '';
  const watcher = new FleetWatcher(
    client,
    createLogger('test', 'relay', 'error'),
    REPLICA_POLL_MS,
    {
      onConfig: text => (applied = text),
      onReplicaSnapshot: () => undefined,
      onReplicaChange: () => true,
      onOtherChange: () => true,
      isRelay: () => true,
      relay: message => relayed.push(message),
      gateways: () => GATEWAYS,
      linkedGatewayCount: () => GATEWAYS,
    },
  );
  store.put('op/config', 'the first');
  watcher.start();
  await until('the first document', TIMEOUT_MS, async () => (applied === '' ? undefined : true));
  const document = 'x'.repeat(documentBytes);
  store.put('op/config', document);
  store.put('servers/a', 'an entry');
  const isRelayed = () => relayed.some(({changes}) => changes.some(({key}) => key === 'servers/a'));
  await until('the document and the entry', TIMEOUT_MS, async () =>
    applied === document && isRelayed() ? true : undefined,
  );
  watcher.dispose();
  await client.close();
  store.close();
  const relayedBytes = relayed.reduce((bytes, message) => bytes + encodeFrame(message).length, 0);
  return {relayedBytes, isApplied: applied === document};
}
