/** Soak of leaving replicas: many gateways, crashing and flapping engines, gateways that stand still. */
import {sleep} from '@jasminepost/core';
import {SeededRandom} from '../bench/random.ts';
import {MODEL, UsersFleet} from '../features/support/users_fleet.ts';
import type {UsersReplica} from '../stand_ins/users_platform/replica.ts';
import {pause} from './soak_faults.ts';
import type {SoakReport} from './soak_run.ts';

const KINDS = [
  'replicas drain',
  'entries are removed',
  'replicas are replaced',
  'engines crash',
  'engines flap',
  'responses are lost',
  'a gateway stands still',
  "the planner's gateway stands still",
] as const;

type LeavingFaultKind = (typeof KINDS)[number];

interface LeavingFault {
  readonly kind: LeavingFaultKind;
  readonly atMs: number;
  readonly forMs: number;
}

/** A replica that has announced that it leaves. */
interface Departure {
  readonly replica: UsersReplica;
  readonly id: string;
  readonly atMs: number;
  /** When it stopped serving. */
  endMs: number;
}

const SERVICES = 3;
const ENGINES = 24;
const GATEWAYS = 20;
const CALLERS = 40;
/** 10 Mbit/s. */
const STORE_LINK_BYTES_PER_MS = 1250;
const SETTLE_MS = 4000;
const LOAD_MS = 18_000;
const FAULTS = 14;
const MIN_FAULT_MS = 1500;
const EXTRA_FAULT_MS = 3500;
const HEARTBEAT_MS = 1200;
/** An entry is removed after three intervals without a heartbeat. */
const ENTRY_TTL_MS = 3 * HEARTBEAT_MS;
/** `drainMs` of the settings: later than this, no request may reach a replica that leaves. */
const DRAIN_MS = 2000;
/** Time for which a replica serves beyond that. */
const MAX_LINGER_MS = 4000;
const HANDOVER_MS = 700;
const FLAP_DOWN_MS = 700;
const FLAP_PERIOD_MS = 1400;
/** Share of the engines that a fault affects. */
const AFFECTED_SHARE = 0.12;
const LOST_RESPONSE_SHARE = 0.4;
const LOST_RESPONSE_STEP_MS = 30;
const MAX_RETRY_DELAY_MS = 250;
const CALL_TIMEOUT_MS = 5000;
const PATHS = ['/draft/1', '/draft/2', '/long/1', '/order/1', '/read/1'];

class LeavingSoak {
  readonly departures: Departure[] = [];
  calls = 0;
  succeeded = 0;
  private readonly fleet = new UsersFleet();
  /** State that each replica writes with its heartbeats; none while it is down or unlisted. */
  private readonly listed = new Map<UsersReplica, 'ready' | 'draining'>();
  private readonly pending = new Set<Promise<void>>();
  private endMs = Number.POSITIVE_INFINITY;

  constructor(private readonly random: () => number) {}

  async run(faults: readonly LeavingFault[]): Promise<void> {
    const {fleet} = this;
    fleet.storeBytesPerMs = STORE_LINK_BYTES_PER_MS;
    await fleet.start(SERVICES, ENGINES, GATEWAYS);
    for (const replica of [...fleet.services, ...fleet.engines]) this.list(replica);
    const heartbeats = setInterval(() => this.writeHeartbeats(), HEARTBEAT_MS);
    await sleep(SETTLE_MS);
    const startMs = performance.now();
    this.endMs = startMs + LOAD_MS;
    const callers = Array.from({length: CALLERS}, () => this.callUntilEnd());
    for (const fault of faults) {
      await sleep(Math.max(0, startMs + fault.atMs - performance.now()));
      this.inBackground(this.inject(fault));
    }
    await sleep(Math.max(0, this.endMs - performance.now()));
    await Promise.race([Promise.all(callers), sleep(CALL_TIMEOUT_MS)]);
    await Promise.all(this.pending);
    clearInterval(heartbeats);
  }

  get logs(): string {
    return this.fleet.gateways.map(({process}) => process.log.join('')).join('\n');
  }

  /** Replicas that requests reached too late, with the latest time after the announcement. */
  violations(): string[] {
    return this.departures.flatMap(({replica, id, atMs, endMs}) => {
      const lateMs = replica.arrivalsMs
        .filter(arrivedMs => arrivedMs > atMs + DRAIN_MS && arrivedMs < endMs)
        .map(arrivedMs => Math.round(arrivedMs - atMs));
      if (lateMs.length === 0) return [];
      return [`${id}: ${lateMs.length} requests up to ${Math.max(...lateMs)} ms after it left`];
    });
  }

  async dispose(): Promise<void> {
    await this.fleet.stop();
  }

  private async inject({kind, forMs}: LeavingFault): Promise<void> {
    const {fleet} = this;
    const affected = this.choose();
    switch (kind) {
      case 'replicas drain':
        await Promise.all(affected.map(replica => this.leave(replica, true)));
        return;
      case 'entries are removed':
        await Promise.all(affected.map(replica => this.leave(replica, false)));
        return;
      case 'replicas are replaced':
        for (const replica of affected) await this.replace(replica);
        return;
      case 'engines crash':
        await Promise.all(affected.map((replica, i) => this.crash(replica, forMs, `n${i}`)));
        return;
      case 'engines flap':
        for (const endMs = performance.now() + forMs; performance.now() < endMs;) {
          await Promise.all(affected.map(replica => this.crash(replica, FLAP_DOWN_MS, '')));
          await sleep(FLAP_PERIOD_MS - FLAP_DOWN_MS);
        }
        return;
      case 'responses are lost':
        return this.loseResponses(forMs);
      case 'a gateway stands still':
        return pause(fleet.gateways[Math.floor(this.random() * GATEWAYS)].process, forMs);
      case "the planner's gateway stands still": {
        const planner = fleet.plannerIndex();
        if (planner >= 0) await pause(fleet.gateways[planner].process, forMs);
      }
    }
  }

  /** Engines that are up and stay. */
  private choose(): UsersReplica[] {
    const up = this.fleet.engines.filter(engine => this.listed.get(engine) === 'ready');
    const start = Math.floor(this.random() * up.length);
    return [...up.slice(start), ...up.slice(0, start)].slice(
      0,
      Math.ceil(AFFECTED_SHARE * ENGINES),
    );
  }

  private list(replica: UsersReplica): void {
    this.listed.set(replica, 'ready');
    this.fleet.register(replica);
  }

  private writeHeartbeats(): void {
    for (const [replica, state] of this.listed) this.fleet.register(replica, state);
  }

  private async leave(replica: UsersReplica, isAnnounced: boolean): Promise<void> {
    const {fleet} = this;
    if (this.listed.get(replica) !== 'ready') return;
    const {id} = replica;
    const departure = {replica, id, atMs: performance.now(), endMs: Number.POSITIVE_INFINITY};
    if (isAnnounced) {
      this.listed.set(replica, 'draining');
      fleet.register(replica, 'draining');
    } else {
      this.listed.delete(replica);
      fleet.store.remove(`servers/${id}`);
    }
    this.departures.push(departure);
    await sleep(DRAIN_MS + this.random() * MAX_LINGER_MS);
    departure.endMs = performance.now();
    this.listed.delete(replica);
    fleet.store.remove(`servers/${id}`);
    replica.close();
  }

  private async replace(replica: UsersReplica): Promise<void> {
    const successor = await this.fleet.addReplica('models', true);
    this.fleet.startSteward(successor);
    this.list(successor);
    await sleep(HANDOVER_MS);
    this.inBackground(this.leave(replica, true));
  }

  /** @param suffix - Added to its id; empty when it returns under the same one. */
  private async crash(replica: UsersReplica, downMs: number, suffix: string): Promise<void> {
    if (this.listed.get(replica) !== 'ready') return;
    this.listed.delete(replica);
    const {id} = replica;
    if (downMs > ENTRY_TTL_MS)
      setTimeout(() => this.fleet.store.remove(`servers/${id}`), ENTRY_TTL_MS);
    await replica.restartAfter(downMs, `${id}${suffix}`);
    if (suffix !== '') this.fleet.store.remove(`servers/${id}`);
    replica.models.set(MODEL, new Set());
    this.list(replica);
  }

  private async loseResponses(forMs: number): Promise<void> {
    const {engines} = this.fleet;
    for (const endMs = performance.now() + forMs; performance.now() < endMs;) {
      for (const engine of engines)
        engine.fault = this.random() < LOST_RESPONSE_SHARE ? 'reset before the answer' : 'none';
      await sleep(LOST_RESPONSE_STEP_MS);
    }
    for (const engine of engines) engine.fault = 'none';
  }

  private async callUntilEnd(): Promise<void> {
    while (performance.now() < this.endMs) {
      this.calls += 1;
      const {status, cut} = await this.fleet.call({
        path: PATHS[Math.floor(this.random() * PATHS.length)],
        gateway: Math.floor(this.random() * GATEWAYS),
      });
      if (status === 200 && !cut) this.succeeded += 1;
      else await sleep(this.random() * MAX_RETRY_DELAY_MS);
    }
  }

  private inBackground(work: Promise<void>): void {
    this.pending.add(work);
    void work.finally(() => this.pending.delete(work));
  }
}

/** Faults of a seed, ordered by start time; they overlap. */
function drawLeavingFaults(random: () => number): LeavingFault[] {
  const faults = Array.from({length: FAULTS}, () => ({
    kind: KINDS[Math.floor(random() * KINDS.length)],
    atMs: random() * (LOAD_MS - MIN_FAULT_MS - EXTRA_FAULT_MS),
    forMs: MIN_FAULT_MS + random() * EXTRA_FAULT_MS,
  }));
  return faults.sort((a, b) => a.atMs - b.atMs);
}

/** Runs one seed, and checks that no request reaches a replica long after it has left. */
export async function runLeavingSoak(seed: number): Promise<SoakReport> {
  const random = new SeededRandom(seed).uniform;
  const faults = drawLeavingFaults(random);
  const soak = new LeavingSoak(random);
  try {
    await soak.run(faults);
    const violations = soak.violations();
    const {calls, succeeded, departures, logs} = soak;
    const remark = `${departures.length} replicas left`;
    return {seed, faults, calls, succeeded, violations, remark, logs};
  } finally {
    await soak.dispose();
  }
}
