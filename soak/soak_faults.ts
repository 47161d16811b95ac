/** Draws random series of overlapping faults, and injects them from outside the programs. */
import {sleep} from '@jasminepost/core';
import type {FleetProcess} from '../features/support/fleet_process.ts';
import type {UsersFleet} from '../features/support/users_fleet.ts';
import type {UsersReplica} from '../stand_ins/users_platform/replica.ts';
import type {ReplicaFault} from '../stand_ins/users_platform/replica_fault.ts';
import type {LinkState, LoopbackProxy} from '../features/support/loopback_proxy.ts';

export type FaultKind =
  | 'pause gateway'
  | 'pause steward'
  | 'kill gateway'
  | 'kill steward'
  | 'stop gateway'
  | 'reload gateway'
  | 'degrade store link'
  | 'degrade replica link'
  | 'reset replica link'
  | 'store unavailable'
  | 'store compacts history'
  | 'store restored from snapshot'
  | 'replica fails'
  | 'engine restarts'
  | 'replica drains'
  | 'replica reports leaving'
  | 'replica requests pause'
  | 'replica sets rate limit'
  | 'large configuration over slow link'
  | 'configuration changes';

export interface Fault {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly forMs: number;
  /** Selects the process, replica or variant, in [0, 1). */
  readonly pick: number;
}

const BASE_KINDS: readonly FaultKind[] = [
  'pause gateway',
  'pause steward',
  'kill gateway',
  'kill steward',
  'stop gateway',
  'reload gateway',
  'degrade store link',
  'degrade replica link',
  'reset replica link',
  'store unavailable',
  'store compacts history',
  'replica fails',
  'engine restarts',
  'replica drains',
  'configuration changes',
];
/** Kinds added later have a first seed, so that smaller seeds draw the same faults as before. */
const RESTORE_AND_AVAILABILITY_KINDS: readonly FaultKind[] = [
  'store restored from snapshot',
  'replica reports leaving',
  'replica requests pause',
];
const RESTORE_AND_AVAILABILITY_FROM_SEED = 10_000;
const RATE_LIMIT_KINDS: readonly FaultKind[] = ['replica sets rate limit'];
const RATE_LIMIT_FROM_SEED = 20_000;
const LARGE_CONFIG_KINDS: readonly FaultKind[] = ['large configuration over slow link'];
const LARGE_CONFIG_FROM_SEED = 30_000;
/** Size of a large configuration, and rate of the store link during that fault. */
const LARGE_CONFIG_BYTES = 600_000;
const SLOW_LINK_BYTES_PER_MS = 900;
const REPLICA_FAULTS: readonly ReplicaFault[] = [
  'sheds',
  'sheds without saying so',
  'fails',
  'unsigned',
  'foreign answer',
  'cut in the answer',
  'unframed and cut',
  'reset before the answer',
  'cut in an event',
];
const LINK_FAULTS: readonly LinkState[] = ['slow', 'held', 'one_way'];
const MIN_FAULTS = 5;
const EXTRA_FAULTS = 6;
const MIN_DURATION_MS = 200;
const MEAN_EXTRA_DURATION_MS = 900;
const MAX_DURATION_MS = 2500;
/** Downtime of the store before its restore, and time after it until others write again. */
const STORE_DOWNTIME_MS = 150;
const REWRITE_DELAY_MS = 400;
/** Time for which a replica has a rate limit, and range of the limit. */
const RATE_LIMIT_MS = 5000;
const MIN_RATE_LIMIT_PER_S = 0.05;
const MAX_RATE_LIMIT_PER_S = 4;
/** Time for which a replica reports leaving before it exits. */
const LEAVING_MS = 3000;
/** Time after which the platform restarts a process that has exited. */
const RESTART_DELAY_MS = 300;

/** Fault kinds that a seed draws from. */
export function faultKindsForSeed(seed: number): readonly FaultKind[] {
  if (seed < RESTORE_AND_AVAILABILITY_FROM_SEED) return BASE_KINDS;
  const withRestoreAndAvailability = [...BASE_KINDS, ...RESTORE_AND_AVAILABILITY_KINDS];
  if (seed < RATE_LIMIT_FROM_SEED) return withRestoreAndAvailability;
  const withRateLimit = [...withRestoreAndAvailability, ...RATE_LIMIT_KINDS];
  return seed < LARGE_CONFIG_FROM_SEED ? withRateLimit : [...withRateLimit, ...LARGE_CONFIG_KINDS];
}

/** Faults that start within `durationMs`, ordered by start time. */
export function drawFaults(
  random: () => number,
  durationMs: number,
  kinds: readonly FaultKind[],
): Fault[] {
  const count = MIN_FAULTS + Math.floor(random() * EXTRA_FAULTS);
  const faults = Array.from({length: count}, () => ({
    kind: kinds[Math.floor(random() * kinds.length)],
    atMs: random() * durationMs,
    forMs: Math.min(
      MAX_DURATION_MS,
      MIN_DURATION_MS - Math.log(1 - random()) * MEAN_EXTRA_DURATION_MS,
    ),
    pick: random(),
  }));
  return faults.sort((a, b) => a.atMs - b.atMs);
}

/** Injects a fault and ends it; resolves once it has ended. */
export async function injectFault(fleet: UsersFleet, fault: Fault): Promise<void> {
  const {forMs, pick} = fault;
  const gateway = Math.floor(pick * fleet.gateways.length);
  const steward = Math.floor(pick * fleet.stewards.length);
  switch (fault.kind) {
    case 'pause gateway':
      return pause(fleet.gateways[gateway].process, forMs);
    case 'pause steward':
      return pause(fleet.stewards[steward], forMs);
    case 'kill gateway':
      return stopAndRestart(fleet.gateways[gateway].process, 'SIGKILL', () =>
        fleet.restartGateway(gateway),
      );
    case 'kill steward':
      return stopAndRestart(fleet.stewards[steward], 'SIGKILL', () =>
        fleet.restartSteward(steward),
      );
    case 'stop gateway':
      return stopAndRestart(fleet.gateways[gateway].process, 'SIGTERM', () =>
        fleet.restartGateway(gateway),
      );
    case 'reload gateway':
      fleet.gateways[gateway].process.signal('SIGHUP');
      return;
    case 'degrade store link':
      return degradeLink(fleet.storeProxy!, choose(LINK_FAULTS, pick), forMs);
    case 'degrade replica link':
      return degradeLink(
        choose([...fleet.replicaProxies.values()], pick),
        choose(LINK_FAULTS, pick * 7),
        forMs,
      );
    case 'reset replica link':
      choose([...fleet.replicaProxies.values()], pick).reset();
      return;
    case 'store unavailable':
      fleet.store.mode = pick < 0.5 ? 'unavailable' : 'silent';
      await sleep(forMs);
      fleet.store.mode = 'up';
      return;
    case 'store compacts history':
      fleet.store.compact();
      return;
    case 'store restored from snapshot':
      return restoreStore(fleet, forMs);
    case 'replica fails':
      return failReplica(choose([...fleet.services, ...fleet.engines], pick), pick, forMs);
    case 'engine restarts':
      return restartReplica(fleet, choose(fleet.engines, pick));
    case 'replica drains':
      return drainReplica(fleet, choose([...fleet.services, ...fleet.engines], pick), forMs);
    case 'replica reports leaving':
      return replaceReplica(fleet, choose([...fleet.services, ...fleet.engines], pick));
    case 'replica requests pause':
      return pauseReplica(choose([...fleet.services, ...fleet.engines], pick), forMs);
    case 'replica sets rate limit':
      return limitReplica(choose([...fleet.services, ...fleet.engines], pick), pick);
    case 'large configuration over slow link':
      return sendLargeConfiguration(fleet, forMs);
    case 'configuration changes':
      fleet.configure({timeoutMs: 2500 + Math.floor(pick * 1000)});
  }
}

function choose<T>(items: readonly T[], pick: number): T {
  return items[Math.floor((pick % 1) * items.length)];
}

/** Stops a process for `forMs`. */
export async function pause(process: FleetProcess, forMs: number): Promise<void> {
  process.signal('SIGSTOP');
  await sleep(forMs);
  process.signal('SIGCONT');
}

/** Ends a process, and restarts it once it has exited. */
export async function stopAndRestart(
  process: FleetProcess,
  signal: 'SIGKILL' | 'SIGTERM',
  restart: () => void,
): Promise<void> {
  // Two faults may select the same process; it is restarted once.
  if (!process.running || restarting.has(process)) return;
  restarting.add(process);
  process.signal(signal);
  await process.exited;
  await sleep(RESTART_DELAY_MS);
  restart();
}

const restarting = new WeakSet<FleetProcess>();

async function degradeLink(link: LoopbackProxy, state: LinkState, forMs: number): Promise<void> {
  link.setState(state);
  await sleep(forMs);
  link.setState('sound');
}

async function failReplica(replica: UsersReplica, pick: number, forMs: number): Promise<void> {
  replica.fault = choose(REPLICA_FAULTS, pick * 13);
  await sleep(forMs);
  replica.fault = 'none';
}

async function restartReplica(fleet: UsersFleet, engine: UsersReplica): Promise<void> {
  const oldId = engine.id;
  engine.restart(`${oldId}x`);
  await sleep(RESTART_DELAY_MS);
  fleet.register(engine);
  fleet.store.remove(`servers/${oldId}`);
}

async function drainReplica(
  fleet: UsersFleet,
  replica: UsersReplica,
  forMs: number,
): Promise<void> {
  fleet.register(replica, 'draining');
  await sleep(forMs);
  fleet.register(replica);
}

/** The snapshot is `forMs` old at the restore; the operator and replicas write again soon after. */
async function restoreStore(fleet: UsersFleet, forMs: number): Promise<void> {
  const snapshot = fleet.store.takeSnapshot();
  await sleep(forMs);
  const {mode} = fleet.store;
  fleet.store.mode = 'unavailable';
  await sleep(STORE_DOWNTIME_MS);
  const config = fleet.store.read('op/config')!;
  const registered = [...fleet.services, ...fleet.engines].filter(
    ({id}) => fleet.store.read(`servers/${id}`) !== undefined,
  );
  fleet.store.restoreFrom(snapshot);
  fleet.store.mode = mode;
  await sleep(REWRITE_DELAY_MS);
  fleet.store.put('op/config', config);
  for (const replica of registered) fleet.register(replica);
}

async function replaceReplica(fleet: UsersFleet, replica: UsersReplica): Promise<void> {
  replica.noticeSentMs = undefined;
  replica.reportsLeaving = true;
  await sleep(LEAVING_MS);
  replica.endLeaving();
  await restartReplica(fleet, replica);
}

async function pauseReplica(replica: UsersReplica, forMs: number): Promise<void> {
  replica.noticeSentMs = undefined;
  replica.retryAfter = (forMs / 1000).toFixed(3);
  replica.fault = 'sheds';
  await sleep(forMs);
  replica.endPause();
}

async function limitReplica(replica: UsersReplica, pick: number): Promise<void> {
  const perS = MAX_RATE_LIMIT_PER_S * ((pick * 7) % 1);
  const limitSentMs = performance.now();
  replica.rateLimitHeader = perS.toFixed(2);
  await sleep(RATE_LIMIT_MS);
  replica.rateLimitHeader = undefined;
  replica.recordOverLimit(Math.max(perS, MIN_RATE_LIMIT_PER_S), limitSentMs);
}

async function sendLargeConfiguration(fleet: UsersFleet, forMs: number): Promise<void> {
  const link = fleet.storeProxy!;
  link.bytesPerMs = SLOW_LINK_BYTES_PER_MS;
  fleet.configure({bytes: LARGE_CONFIG_BYTES});
  await sleep(forMs);
  link.bytesPerMs = Number.POSITIVE_INFINITY;
}
