/** How old a gateway takes its knowledge of the store to be when responses and messages wait. */
import assert from 'node:assert/strict';
import fc from 'fast-check';
import {createLogger, MetricRegistry, sleep} from '@jasminepost/core';
import type {StoreChangesMessage} from '@jasminepost/mesh';
import {relayedAsOfMs} from '@jasminepost/policy';
import {StoreClient, type StoreCall} from '@jasminepost/platform';
import {FleetWatcher} from '../../apps/gateway/src/lib/fleet_watcher.ts';
import {StoreWatcher} from '../../apps/gateway/src/lib/store_watcher.ts';
import {MetadataStore} from '../../stand_ins/users_platform/metadata_store.ts';
import {until} from './fleet_process.ts';
import {LoopbackProxy} from './loopback_proxy.ts';

const READ_TIMEOUT_MS = 3000;
const RELAY_INTERVAL_MS = 100;
const HEARTBEAT_MS = 1200;
const REPLICA_KEY = 'servers/a';
const GATEWAYS = 3;
const MAX_DELAY_MS = 100_000;
const BATCH_DELAY_MS = 2000;

function storeClient(host: string, port: number): StoreClient {
  const calls = new MetricRegistry().counter<StoreCall>('store_calls', 'Calls', 'call');
  return new StoreClient({host, port}, calls);
}

/** A gateway's watcher between a stand-in store and relayed messages that the test sends. */
class RelayedWatcher {
  /** Newest entry of the replica that the watcher knows. */
  known: string | undefined;
  /** For each change of an entry: true when it was held to be possibly due to an outage. */
  readonly afterOutage: boolean[] = [];
  readonly store = new MetadataStore();
  watcher!: FleetWatcher;
  private client!: StoreClient;

  async start(): Promise<void> {
    const [host, port] = (await this.store.listen()).split(':');
    this.client = storeClient(host, Number(port));
    const log = createLogger('test', 'late', 'error');
    this.watcher = new FleetWatcher(this.client, log, HEARTBEAT_MS, {
      onConfig: () => undefined,
      onReplicaSnapshot: changes => (this.known = changes.at(-1)?.value),
      onReplicaChange: ({value}, afterOutage) => {
        this.known = value;
        this.afterOutage.push(afterOutage);
        return true;
      },
      onOtherChange: () => true,
      isRelay: () => false,
      relay: () => undefined,
      gateways: () => GATEWAYS,
      linkedGatewayCount: () => 0,
    });
    this.store.put(REPLICA_KEY, 'serving');
    this.watcher.start();
    await until('the first read', READ_TIMEOUT_MS, async () =>
      this.known === undefined ? undefined : true,
    );
  }

  /** Relays the changes that follow what the watcher knows. */
  relay(asOfMs: number, changes: StoreChangesMessage['changes'] = []): void {
    const since = this.watcher.knownRevision;
    this.watcher.applyRelayed(
      {
        type: 'store_changes',
        era: this.client.era,
        since,
        revision: changes.at(-1)?.revision ?? since,
        settling: false,
        gateways: GATEWAYS,
        configRevision: 0,
        ageMs: 0,
        changes,
      },
      asOfMs,
    );
  }

  /** @returns Time until a leaving replica is known; infinite if not within `timeoutMs`. */
  async timeUntilLeavingKnown(timeoutMs: number): Promise<number> {
    this.store.put(REPLICA_KEY, 'leaving');
    const putMs = performance.now();
    return until('the change', timeoutMs, async () =>
      this.known === 'leaving' ? performance.now() - putMs : undefined,
    ).catch(() => Number.POSITIVE_INFINITY);
  }

  dispose(): void {
    this.watcher.dispose();
    this.store.close();
  }
}

/**
 * Relays messages that are `ageMs` old to a gateway, without a change that the store already has.
 *
 * @returns Time until the gateway knows the change; infinite if not within `timeoutMs`.
 */
export async function relayLate(ageMs: number, timeoutMs: number): Promise<number> {
  const relayed = new RelayedWatcher();
  await relayed.start();
  const relay = () => relayed.relay(performance.now() - ageMs);
  relay();
  const relays = setInterval(relay, RELAY_INTERVAL_MS);
  // A pending watch of the gateway's own ends with this.
  relayed.store.put('servers/b', 'serving');
  await sleep(READ_TIMEOUT_MS);
  const tookMs = await relayed.timeUntilLeavingKnown(timeoutMs);
  clearInterval(relays);
  relayed.dispose();
  return tookMs;
}

/**
 * Watches the store again after `idleMs`, when the connection of the first watch has become
 * unresponsive unnoticed.
 *
 * @returns Time until the response; infinite if there is none.
 */
export async function watchAfterIdling(idleMs: number): Promise<number> {
  const store = new MetadataStore();
  const [host, port] = (await store.listen()).split(':');
  const link = new LoopbackProxy(host, Number(port));
  await link.listen(host);
  const client = storeClient(host, link.port);
  const watch = () => client.watch('s', {era: 1, revision: 1}, 0, new AbortController().signal);
  await watch();
  await sleep(idleMs);
  link.stall();
  const startMs = performance.now();
  const tookMs = await watch().then(
    () => performance.now() - startMs,
    () => Number.POSITIVE_INFINITY,
  );
  await client.close();
  link.close();
  store.close();
  return tookMs;
}

/**
 * Makes the store silent for `silentMs`, and then slow.
 *
 * @returns Time until the gateway knows a change; infinite if not within `timeoutMs`.
 */
export async function readSlowStore(
  silentMs: number,
  latencyMs: number,
  timeoutMs: number,
): Promise<number> {
  const relayed = new RelayedWatcher();
  await relayed.start();
  relayed.store.mode = 'silent';
  await sleep(silentMs);
  relayed.store.mode = 'up';
  relayed.store.latencyMs = latencyMs;
  const tookMs = await relayed.timeUntilLeavingKnown(timeoutMs);
  relayed.dispose();
  return tookMs;
}

/**
 * Makes the store silent to one gateway for `silentMs`, and relays a removal to it after that from
 * one that had no outage.
 *
 * @returns True when the gateway takes the removal for a possible result of an outage.
 */
export async function relayRemovalAfterOwnOutage(silentMs: number): Promise<boolean> {
  const relayed = new RelayedWatcher();
  await relayed.start();
  relayed.store.mode = 'silent';
  await sleep(silentMs);
  relayed.store.mode = 'up';
  await until('contact', READ_TIMEOUT_MS, async () =>
    relayed.watcher.contactAgeMs < RELAY_INTERVAL_MS ? true : undefined,
  );
  relayed.relay(performance.now());
  const revision = relayed.watcher.knownRevision + 1;
  relayed.relay(performance.now(), [{key: REPLICA_KEY, revision, value: undefined}]);
  const wasHeld = relayed.afterOutage.at(-1)!;
  relayed.dispose();
  return wasHeld;
}

export interface SlowWatch {
  /** Age of what the watcher knows just after the response. */
  readonly ageMs: number;
  /** Time from the response until the next watch; infinite if not within the batch delay. */
  readonly nextWatchMs: number;
}

/** Watches a store that takes `responseMs` for a change instead of responding at once. */
export async function watchSlowly(responseMs: number): Promise<SlowWatch> {
  let ageMs: number | undefined;
  let respondedMs = Number.POSITIVE_INFINITY;
  let watches = 0;
  const change = {key: REPLICA_KEY, revision: 2, value: 'leaving'};
  const store = {
    range: () => Promise.resolve({revision: 1, era: 0, changes: []}),
    watch: () => {
      watches += 1;
      return sleep(responseMs).then(() => ({revision: 2, era: 0, changes: [change]}));
    },
  } as unknown as StoreClient;
  const watcher = new StoreWatcher(store, 's', createLogger('test', 'slow', 'error'), {
    onSnapshot: () => undefined,
    onChanges: () => {
      ageMs ??= watcher.contactAgeMs;
      respondedMs = Math.min(respondedMs, performance.now());
    },
    onReconnect: () => undefined,
    watchTimeoutMs: () => 0,
    batchDelayMs: () => BATCH_DELAY_MS,
  });
  watcher.start();
  const foundAgeMs = await until('a response', responseMs + READ_TIMEOUT_MS, async () => ageMs);
  const nextWatchMs = await until('the next watch', BATCH_DELAY_MS / 2, async () =>
    watches > 1 ? performance.now() - respondedMs : undefined,
  ).catch(() => Number.POSITIVE_INFINITY);
  watcher.dispose();
  return {ageMs: foundAgeMs, nextWatchMs};
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
