/** How old a gateway takes its knowledge of the store to be when responses and messages wait. */
import assert from 'node:assert/strict';
import fc from 'fast-check';
import {createLogger, MetricRegistry, sleep} from '@jasminepost/core';
import {relayedAsOfMs} from '@jasminepost/policy';
import {StoreClient, type StoreCall} from '@jasminepost/platform';
import {FleetWatcher} from '../../apps/gateway/src/lib/fleet_watcher.ts';
import {StoreWatcher} from '../../apps/gateway/src/lib/store_watcher.ts';
import {MetadataStore} from '../../stand_ins/users_platform/metadata_store.ts';
import {until} from './fleet_process.ts';

const READ_TIMEOUT_MS = 3000;
const RELAY_INTERVAL_MS = 100;
const HEARTBEAT_MS = 1200;
const REPLICA_KEY = 'servers/a';
const GATEWAYS = 3;
const MAX_DELAY_MS = 100_000;

/**
 * Relays messages that are `ageMs` old to a gateway, without a change that the store already has.
 *
 * @returns Time until the gateway knows the change; infinite if not within `timeoutMs`.
 */
export async function relayLate(ageMs: number, timeoutMs: number): Promise<number> {
  const store = new MetadataStore();
  const [host, port] = (await store.listen()).split(':');
  const calls = new MetricRegistry().counter<StoreCall>('store_calls', 'Calls', 'call');
  const client = new StoreClient({host, port: Number(port)}, calls);
  let known: string | undefined;
  const watcher = new FleetWatcher(client, createLogger('test', 'late', 'error'), HEARTBEAT_MS, {
    onConfig: () => undefined,
    onReplicaSnapshot: changes => (known = changes.at(-1)?.value),
    onReplicaChange: ({value}) => {
      known = value;
      return true;
    },
    onOtherChange: () => true,
    isRelay: () => false,
    relay: () => undefined,
    gateways: () => GATEWAYS,
    linkedGatewayCount: () => 0,
  });
  store.put(REPLICA_KEY, 'serving');
  watcher.start();
  await until('the first read', READ_TIMEOUT_MS, async () => (known === undefined ? known : true));
  const revision = watcher.knownRevision;
  const relay = () =>
    watcher.applyRelayed(
      {
        type: 'store_changes',
        era: client.era,
        since: revision,
        revision,
        settling: false,
        gateways: GATEWAYS,
        configRevision: 0,
        ageMs: 0,
        changes: [],
      },
      performance.now() - ageMs,
    );
  relay();
  const relays = setInterval(relay, RELAY_INTERVAL_MS);
  // A pending watch of the gateway's own ends with this.
  store.put('servers/b', 'serving');
  await sleep(READ_TIMEOUT_MS);
  store.put(REPLICA_KEY, 'leaving');
  const putMs = performance.now();
  const tookMs = await until('the change', timeoutMs, async () =>
    known === 'leaving' ? performance.now() - putMs : undefined,
  ).catch(() => Number.POSITIVE_INFINITY);
  clearInterval(relays);
  watcher.dispose();
  store.close();
  return tookMs;
}

/** @returns Age of what a watcher knows just after the response to a watch that took so long. */
export async function watchSlowly(responseMs: number): Promise<number> {
  let ageMs: number | undefined;
  const position = {revision: 1, era: 0, changes: []};
  const store = {
    range: () => Promise.resolve(position),
    watch: () => sleep(responseMs).then(() => position),
  } as unknown as StoreClient;
  const watcher = new StoreWatcher(store, 's', createLogger('test', 'slow', 'error'), {
    onSnapshot: () => undefined,
    onChanges: () => (ageMs ??= watcher.contactAgeMs),
    onReconnect: () => undefined,
    watchTimeoutMs: () => 0,
    batchDelayMs: () => 0,
  });
  watcher.start();
  const found = await until('a response', responseMs + READ_TIMEOUT_MS, async () => ageMs);
  watcher.dispose();
  return found;
}

/** Dates relayed contents by an echo, whatever the clocks and delays of the two processes. */
export function checkRelayedAge(runs: number): void {
  const delayMs = fc.nat(MAX_DELAY_MS);
  const property = fc.property(
    delayMs,
    delayMs,
    delayMs,
    delayMs,
    (uplinkMs, heldMs, downlinkMs, ageMs) => {
      const sentMs = MAX_DELAY_MS;
      const relayedMs = sentMs + uplinkMs + heldMs;
      const asOfMs = relayedAsOfMs({sentMs, heldMs}, ageMs, relayedMs + downlinkMs);
      assert.ok(asOfMs <= relayedMs - ageMs, 'contents look fresher than they are');
      assert.ok(asOfMs >= relayedMs - ageMs - uplinkMs, 'contents look too old');
    },
  );
  fc.assert(property, {numRuns: runs});
}
