/** Draws series of faults that overlap, and brings each of them about from outside. */
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
  | 'harm store link'
  | 'harm replica link'
  | 'reset replica link'
  | 'store unavailable'
  | 'store forgets history'
  | 'store comes back from a copy'
  | 'replica misbehaves'
  | 'engine restarts'
  | 'replica drains'
  | 'replica says it leaves'
  | 'replica asks for a pause'
  | 'replica names a limit'
  | 'large configuration over a small link'
  | 'configuration changes';

export interface Fault {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly forMs: number;
  /** Chooses the process, replica or variant, in [0, 1). */
  readonly pick: number;
}

const KINDS: readonly FaultKind[] = [
  'pause gateway',
  'pause steward',
  'kill gateway',
  'kill steward',
  'stop gateway',
  'reload gateway',
  'harm store link',
  'harm replica link',
  'reset replica link',
  'store unavailable',
  'store forgets history',
  'replica misbehaves',
  'engine restarts',
  'replica drains',
  'configuration changes',
];
/** Kinds that came later; seeds below this draw what they drew before. */
const LATER_KINDS: readonly FaultKind[] = [
  'store comes back from a copy',
  'replica says it leaves',
  'replica asks for a pause',
];
const LATER_FROM_SEED = 10_000;
const NEWEST_KINDS: readonly FaultKind[] = ['replica names a limit'];
const NEWEST_FROM_SEED = 20_000;
const LARGE_KINDS: readonly FaultKind[] = ['large configuration over a small link'];
const LARGE_FROM_SEED = 30_000;
/** Length of a large configuration, and rate of the link to the store meanwhile. */
const LARGE_CONFIG_BYTES = 600_000;
const SMALL_LINK_BYTES_PER_MS = 900;
const MISBEHAVIOURS: readonly ReplicaFault[] = [
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
const HARMS: readonly LinkState[] = ['slow', 'held', 'one_way'];
const LEAST_FAULTS = 5;
const MORE_FAULTS = 6;
const MIN_MS = 200;
const MEAN_MS = 900;
const MAX_MS = 2500;
/** Time away before the store comes back, and until others have written again. */
const STORE_AWAY_MS = 150;
const WRITTEN_AGAIN_MS = 400;
/** A replica is in need for this long, and takes so many requests a second at most. */
const LIMITED_FOR_MS = 5000;
const MIN_LIMIT_PER_S = 0.05;
const MAX_LIMIT_PER_S = 4;
/** A replica that leaves ends after this. */
const LEAVES_FOR_MS = 3000;
/** Time after which the platform starts an ended process again. */
const RESTART_MS = 300;

/** Kinds that a seed draws from. */
export function kindsOf(seed: number): readonly FaultKind[] {
  if (seed < LATER_FROM_SEED) return KINDS;
  const later = [...KINDS, ...LATER_KINDS];
  if (seed < NEWEST_FROM_SEED) return later;
  const newest = [...later, ...NEWEST_KINDS];
  return seed < LARGE_FROM_SEED ? newest : [...newest, ...LARGE_KINDS];
}

/** Faults that begin within `durationMs`, in the order of their beginnings. */
export function drawFaults(
  random: () => number,
  durationMs: number,
  kinds: readonly FaultKind[],
): Fault[] {
  const count = LEAST_FAULTS + Math.floor(random() * MORE_FAULTS);
  const faults = Array.from({length: count}, () => ({
    kind: kinds[Math.floor(random() * kinds.length)],
    atMs: random() * durationMs,
    forMs: Math.min(MAX_MS, MIN_MS - Math.log(1 - random()) * MEAN_MS),
    pick: random(),
  }));
  return faults.sort((a, b) => a.atMs - b.atMs);
}

/** Brings a fault about and ends it; resolves once it is over. */
export async function play(fleet: UsersFleet, fault: Fault): Promise<void> {
  const {forMs, pick} = fault;
  const gateway = Math.floor(pick * fleet.gateways.length);
  const steward = Math.floor(pick * fleet.stewards.length);
  switch (fault.kind) {
    case 'pause gateway':
      return pause(fleet.gateways[gateway].process, forMs);
    case 'pause steward':
      return pause(fleet.stewards[steward], forMs);
    case 'kill gateway':
      return endAndRestart(fleet.gateways[gateway].process, 'SIGKILL', () =>
        fleet.restartGateway(gateway),
      );
    case 'kill steward':
      return endAndRestart(fleet.stewards[steward], 'SIGKILL', () => fleet.restartSteward(steward));
    case 'stop gateway':
      return endAndRestart(fleet.gateways[gateway].process, 'SIGTERM', () =>
        fleet.restartGateway(gateway),
      );
    case 'reload gateway':
      fleet.gateways[gateway].process.signal('SIGHUP');
      return;
    case 'harm store link':
      return harm(fleet.storeProxy!, choose(HARMS, pick), forMs);
    case 'harm replica link':
      return harm(choose([...fleet.replicaProxies.values()], pick), choose(HARMS, pick * 7), forMs);
    case 'reset replica link':
      choose([...fleet.replicaProxies.values()], pick).reset();
      return;
    case 'store unavailable':
      fleet.store.mode = pick < 0.5 ? 'unavailable' : 'silent';
      await sleep(forMs);
      fleet.store.mode = 'up';
      return;
    case 'store forgets history':
      fleet.store.compact();
      return;
    case 'store comes back from a copy':
      return comeBackFromCopy(fleet, forMs);
    case 'replica misbehaves':
      return misbehave(choose([...fleet.services, ...fleet.engines], pick), pick, forMs);
    case 'engine restarts':
      return restartReplica(fleet, choose(fleet.engines, pick));
    case 'replica drains':
      return drain(fleet, choose([...fleet.services, ...fleet.engines], pick), forMs);
    case 'replica says it leaves':
      return leave(fleet, choose([...fleet.services, ...fleet.engines], pick));
    case 'replica asks for a pause':
      return pauseReplica(choose([...fleet.services, ...fleet.engines], pick), forMs);
    case 'replica names a limit':
      return limitReplica(choose([...fleet.services, ...fleet.engines], pick), pick);
    case 'large configuration over a small link':
      return growConfiguration(fleet, forMs);
    case 'configuration changes':
      fleet.configure({timeoutMs: 2500 + Math.floor(pick * 1000)});
  }
}

function choose<T>(items: readonly T[], pick: number): T {
  return items[Math.floor((pick % 1) * items.length)];
}

async function pause(process: FleetProcess, forMs: number): Promise<void> {
  process.signal('SIGSTOP');
  await sleep(forMs);
  process.signal('SIGCONT');
}

async function endAndRestart(
  process: FleetProcess,
  signal: 'SIGKILL' | 'SIGTERM',
  restart: () => void,
): Promise<void> {
  // Two faults may have chosen one process; it is started again once.
  if (!process.running || ending.has(process)) return;
  ending.add(process);
  process.signal(signal);
  await process.exited;
  await sleep(RESTART_MS);
  restart();
}

const ending = new WeakSet<FleetProcess>();

async function harm(link: LoopbackProxy, state: LinkState, forMs: number): Promise<void> {
  link.setState(state);
  await sleep(forMs);
  link.setState('sound');
}

async function misbehave(replica: UsersReplica, pick: number, forMs: number): Promise<void> {
  replica.fault = choose(MISBEHAVIOURS, pick * 13);
  await sleep(forMs);
  replica.fault = 'none';
}

async function restartReplica(fleet: UsersFleet, engine: UsersReplica): Promise<void> {
  const before = engine.id;
  engine.restart(`${before}x`);
  await sleep(RESTART_MS);
  fleet.register(engine);
  fleet.store.remove(`servers/${before}`);
}

async function drain(fleet: UsersFleet, replica: UsersReplica, forMs: number): Promise<void> {
  fleet.register(replica, 'draining');
  await sleep(forMs);
  fleet.register(replica);
}

/** The copy is as old as the fault is long; others than the system write again soon after it. */
async function comeBackFromCopy(fleet: UsersFleet, forMs: number): Promise<void> {
  const copy = fleet.store.copy();
  await sleep(forMs);
  const {mode} = fleet.store;
  fleet.store.mode = 'unavailable';
  await sleep(STORE_AWAY_MS);
  const config = fleet.store.read('op/config')!;
  const listed = [...fleet.services, ...fleet.engines].filter(
    ({id}) => fleet.store.read(`servers/${id}`) !== undefined,
  );
  fleet.store.comeBackFrom(copy);
  fleet.store.mode = mode;
  await sleep(WRITTEN_AGAIN_MS);
  fleet.store.put('op/config', config);
  for (const replica of listed) fleet.register(replica);
}

async function leave(fleet: UsersFleet, replica: UsersReplica): Promise<void> {
  replica.toldMs = undefined;
  replica.saysLeaving = true;
  await sleep(LEAVES_FOR_MS);
  replica.endLeaving();
  await restartReplica(fleet, replica);
}

async function pauseReplica(replica: UsersReplica, forMs: number): Promise<void> {
  replica.toldMs = undefined;
  replica.pause = (forMs / 1000).toFixed(3);
  replica.fault = 'sheds';
  await sleep(forMs);
  replica.endPause();
}

async function limitReplica(replica: UsersReplica, pick: number): Promise<void> {
  const perS = MAX_LIMIT_PER_S * ((pick * 7) % 1);
  const namedMs = performance.now();
  replica.limit = perS.toFixed(2);
  await sleep(LIMITED_FOR_MS);
  replica.limit = undefined;
  replica.noteOverLimit(Math.max(perS, MIN_LIMIT_PER_S), namedMs);
}

async function growConfiguration(fleet: UsersFleet, forMs: number): Promise<void> {
  const link = fleet.storeProxy!;
  link.bytesPerMs = SMALL_LINK_BYTES_PER_MS;
  fleet.configure({bytes: LARGE_CONFIG_BYTES});
  await sleep(forMs);
  link.bytesPerMs = Number.POSITIVE_INFINITY;
}
