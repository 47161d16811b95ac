/** A planner's gateway and others linked to it, which report crashes while it relays the store. */
import {createServer, type AddressInfo} from 'node:net';
import {createLogger, MetricRegistry, sleep, SystemClock} from '@jasminepost/core';
import {
  encodeFrame,
  HandshakeAuthenticator,
  type CrashNewsMessage,
  type LinkCloseReason,
} from '@jasminepost/mesh';
import {partKey} from '@jasminepost/policy';
import {StoreClient, type StoreCall} from '@jasminepost/platform';
import {CrashDetector} from '../../apps/gateway/src/lib/crash_detector.ts';
import {CrashNewsSync} from '../../apps/gateway/src/lib/crash_news_sync.ts';
import {FleetWatcher} from '../../apps/gateway/src/lib/fleet_watcher.ts';
import {createGatewayMetrics} from '../../apps/gateway/src/lib/gateway_metrics.ts';
import {PlannerRole, type PlannerRoleContext} from '../../apps/gateway/src/lib/planner_role.ts';
import {MetadataStore} from '../../stand_ins/users_platform/metadata_store.ts';
import {until} from './fleet_process.ts';

const SOUND_PARTS = 20;
const REQUESTS_PER_CRASH = 4;
const CRASH_INTERVAL_MS = 300;
const WRITE_INTERVAL_MS = 100;
const HEARTBEAT_MS = 1200;
/** Time in which the last write is relayed. */
const SETTLE_MS = 2000;
const REPLICA_KEY = 'servers/a';
const LINK_TIMEOUT_MS = 10_000;
const REQUEST_RUN_MS = 100;
const CRASHING_PART = partKey('dead');

export interface ReportFlood {
  /** Highest mean of what one gateway receives. */
  readonly bytesPerS: number;
  readonly slowestRelayMs: number;
  /** Time from the last crash until every gateway holds the crashing part; infinite if not. */
  readonly heldAfterMs: number;
  /** True when every gateway could date the last changes that it received. */
  readonly areAllDated: boolean;
}

interface Node {
  readonly role: PlannerRole;
  readonly crashes: CrashDetector;
  readonly sync: CrashNewsSync;
  readonly store: StoreClient;
  receivedBytes: number;
  slowestRelayMs: number;
  lastWrite: number;
  isDated: boolean;
}

export async function floodReports(
  gateways: number,
  crashCount: number,
  timeoutMs: number,
): Promise<ReportFlood> {
  const store = new MetadataStore();
  const [host, port] = (await store.listen()).split(':');
  const planner = {host: '127.0.0.1', port: await freePort()};
  const writtenMs: number[] = [];
  const nodes = Array.from({length: gateways + 1}, (_, index) =>
    createNode(index, index === 0 ? planner : {...planner, port: 1}, writtenMs, {
      host,
      port: Number(port),
    }),
  );
  const [first, ...others] = nodes;
  const {role} = first;
  await role.start();
  const watcher = watchStore(first, gateways + 1);
  const value = JSON.stringify({holder: `${planner.host}:${planner.port}`});
  for (const node of nodes) {
    node.role.onStoreChange({key: 'system/planner/holder', revision: 1, value});
    node.sync.start();
    const parts = soundParts();
    node.crashes.onCompleted(() => parts, parts);
  }
  await until('all links', LINK_TIMEOUT_MS, async () =>
    role.linkedGatewayCount === gateways + 1 ? true : undefined,
  );

  const startedMs = performance.now();
  const writes = setInterval(() => {
    writtenMs.push(performance.now());
    store.put(REPLICA_KEY, String(writtenMs.length));
  }, WRITE_INTERVAL_MS);
  for (let crash = 0; crash < crashCount; crash += 1) {
    for (const [index, node] of others.entries()) {
      const message = reportsOf(index, crash);
      node.crashes.applyNews(message);
      node.sync.announce(message);
    }
    await sleep(CRASH_INTERVAL_MS);
  }
  const crashedMs = performance.now() - CRASH_INTERVAL_MS;
  const isHeld = () =>
    nodes.every(({crashes}) => crashes.decide(() => [CRASHING_PART]).kind === 'hold');
  const heldAfterMs = await until('the part to be held', timeoutMs, async () =>
    isHeld() ? performance.now() - crashedMs : undefined,
  ).catch(() => Number.POSITIVE_INFINITY);
  await sleep(Math.max(0, timeoutMs - (performance.now() - crashedMs)));
  clearInterval(writes);
  await sleep(SETTLE_MS);
  const elapsedS = (performance.now() - startedMs) / 1000;
  watcher.dispose();
  for (const node of nodes) node.sync.dispose();
  for (const node of nodes) node.role.dispose();
  for (const node of nodes) node.crashes.dispose();
  store.close();
  const isMissed = others.some(({lastWrite}) => lastWrite < writtenMs.length);
  return {
    bytesPerS: Math.max(...others.map(({receivedBytes}) => receivedBytes)) / elapsedS,
    slowestRelayMs: isMissed
      ? Number.POSITIVE_INFINITY
      : Math.max(...others.map(node => node.slowestRelayMs)),
    heldAfterMs,
    areAllDated: others.every(({isDated}) => isDated),
  };
}

function createNode(
  index: number,
  address: PlannerRoleContext['address'],
  writtenMs: readonly number[],
  storeAddress: PlannerRoleContext['address'],
): Node {
  const clock = new SystemClock();
  const log = createLogger('test', `g${index}`, 'error');
  const registry = new MetricRegistry();
  const metrics = createGatewayMetrics({
    waiting: () => 0,
    configVersion: () => 0,
    storeRevision: () => 0,
    storeContactAgeMs: () => 0,
    queuedBytes: () => 0,
    callerBytes: () => 0,
  });
  const crashes: CrashDetector = new CrashDetector({
    clock,
    log,
    evidence: metrics.crashEvidence,
    self: `g${index}`,
    isLost: () => false,
    isListUpToDate: () => true,
    isRelay: () => role.isRelay,
    acquireTrial: async () => false,
    announce: message => sync.announce(message),
  });
  const store = new StoreClient(
    storeAddress,
    registry.counter<StoreCall>('calls', 'Calls', 'call'),
  );
  const sync: CrashNewsSync = new CrashNewsSync({
    store,
    clock,
    log,
    self: `g${index}`,
    announce: message => role.announceCrashes(message),
    isRelay: () => role.isRelay,
    isPlannerReachable: () => true,
    list: () => crashes.list(),
    applyNews: message => crashes.applyNews(message),
  });
  const role: PlannerRole = new PlannerRole({
    clock,
    log,
    store,
    minLeaseMs: 1500,
    self: {id: `g${index}`, incarnation: 1, role: 'gateway', zone: 'a'},
    address,
    authenticator: new HandshakeAuthenticator('key'),
    faults: registry.counter<LinkCloseReason>('faults', 'Faults', 'reason'),
    loadWindowS: 5,
    loadOvershoot: 1.1,
    engines: () => [],
    replicasOf: () => [],
    isLinked: () => true,
    sendPlacement: () => false,
    onMove: () => undefined,
    gateways: () => node.role.linkedGatewayCount,
    collectDemand: () => ({type: 'model_demand', models: []}),
    crashNews: () => crashes.list(),
    onCrashNews: message => {
      node.receivedBytes += encodeFrame(message).length;
      sync.onNews(message);
    },
    limitNews: () => ({type: 'limit_news', limits: []}),
    onLimitNews: () => undefined,
    onPermits: () => undefined,
    knownGateways: () => node.role.linkedGatewayCount,
    configVersion: () => 0,
    bucketOf: () => undefined,
    onStoreChanges: (message, asOfMs) => {
      node.isDated = Number.isFinite(asOfMs) && asOfMs <= performance.now();
      node.receivedBytes += encodeFrame(message).length;
      for (const {key, value} of message.changes) {
        if (key !== REPLICA_KEY) continue;
        node.lastWrite = Number(value);
        const delayMs = performance.now() - writtenMs[node.lastWrite - 1];
        node.slowestRelayMs = Math.max(node.slowestRelayMs, delayMs);
      }
    },
  });
  const node: Node = {
    role,
    crashes,
    sync,
    store,
    receivedBytes: 0,
    slowestRelayMs: 0,
    lastWrite: 0,
    isDated: false,
  };
  return node;
}

/** Failures that a gateway reports about a crash: many gateways name the same prompt parts. */
function reportsOf(gateway: number, crash: number): CrashNewsMessage {
  const ownKeys = Array.from({length: REQUESTS_PER_CRASH}, (_, n) => `r-${gateway}-${crash}-${n}`);
  const keys = [...soundParts(), ...ownKeys, ...(gateway === crash ? [CRASHING_PART] : [])];
  return {
    type: 'crash_news',
    requests: keys.map(fingerprint => ({
      fingerprint,
      endings: [{replica: `replica-${crash}/1771376892754`, sentAgoMs: REQUEST_RUN_MS, agoMs: 0}],
      withdrawn: [],
      served: false,
    })),
  };
}

function soundParts(): readonly string[] {
  return Array.from({length: SOUND_PARTS}, (_, n) => partKey(`sound-${n}`));
}

function watchStore({role, sync, store}: Node, gateways: number): FleetWatcher {
  const log = createLogger('test', 'watcher', 'error');
  const watcher = new FleetWatcher(store, log, HEARTBEAT_MS, {
    onConfig: () => undefined,
    onReplicaSnapshot: () => undefined,
    onReplicaChange: () => true,
    onOtherChange: change => {
      sync.applyChange(change);
      return !sync.isReport(change);
    },
    isRelay: () => role.isRelay,
    relay: message => role.relay(message),
    gateways: () => gateways,
    linkedGatewayCount: () => gateways,
  });
  watcher.start();
  return watcher;
}

/** Port that was free a moment ago. */
async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}
