/**
 * Soak of streams: releases between two software versions, signals to gateways and, in one kind,
 * restores of the store from older copies.
 */
import {sleep} from '@jasminepost/core';
import {SeededRandom} from '../bench/random.ts';
import {takeUnexpectedErrors} from '../features/support/fleet_process.ts';
import {MODEL, UsersFleet} from '../features/support/users_fleet.ts';
import type {UsersReplica} from '../stand_ins/users_platform/replica.ts';
import {pause, stopAndRestart} from './soak_faults.ts';
import type {SoakReport} from './soak_run.ts';
import {StreamCallers} from './stream_callers.ts';

type GatewaySignal = 'SIGTERM' | 'SIGKILL' | 'SIGSTOP';

type VersionFault =
  | {
      readonly kind: 'signal to gateways';
      readonly atMs: number;
      readonly signal: GatewaySignal;
      /** Indexes of one gateway or of all. */
      readonly gateways: readonly number[];
      /** Time for which they stand still after a SIGSTOP. */
      readonly forMs: number;
    }
  | {
      readonly kind: 'restart as the other version';
      readonly atMs: number;
      readonly count: number;
      /** Time until their entries and stewards tell of the restart. */
      readonly untoldMs: number;
    }
  | {readonly kind: 'replacement'; readonly atMs: number; readonly count: number}
  | {
      readonly kind: 'restore of the store';
      readonly atMs: number;
      /** Age of the copy when the store goes away. */
      readonly copyAgeMs: number;
      readonly awayMs: number;
      /** Twice from the same copy, or once. */
      readonly times: 1 | 2;
      /** Indexes of the gateways that are killed meanwhile. */
      readonly gateways: readonly number[];
    };

const SIGNALS: readonly GatewaySignal[] = ['SIGTERM', 'SIGKILL', 'SIGSTOP'];
const ENGINES = 6;
const GATEWAYS = 3;
/** Share of releases that change all engines at once, and of faults that signal all gateways. */
const ALL_ENGINES_SHARE = 0.25;
const ALL_GATEWAYS_SHARE = 0.2;
const VERSIONS = ['v1', 'v2'];
const SETTLE_MS = 2500;
const LOAD_MS = 12_000;
const MIN_FAULTS = 4;
const EXTRA_FAULTS = 5;
const MAX_STANDSTILL_MS = 3000;
const MAX_UNTOLD_MS = 2500;
const MAX_COPY_AGE_MS = 4000;
const MAX_STORE_AWAY_MS = 1000;
const RESTORE_INTERVAL_MS = 800;
/** Interval between two events of a stream, so that most streams are cut before their end. */
const EVENT_MS = 400;
const ENGINE_DOWNTIME_MS = 50;
/** Time for which an engine and its successor are listed together. */
const HANDOVER_MS = 800;
/** Time after the last fault until new streams must begin again. */
const RECOVERY_MS = 5000;
const RECOVERY_STREAMS = 20;
const MIN_RECOVERED_SHARE = 0.9;
/** Resumed streams from which on their share is compared. */
const MIN_RESUMED = 12;
const MIN_SHARE_OF_NEW = 0.5;

/** Faults of a seed, ordered by start time; they overlap. */
function drawVersionFaults(random: () => number): VersionFault[] {
  const count = MIN_FAULTS + Math.floor(random() * EXTRA_FAULTS);
  const all = Array.from({length: GATEWAYS}, (_, index) => index);
  const faults = Array.from({length: count}, (): VersionFault => {
    const atMs = random() * LOAD_MS;
    const engines = random() < ALL_ENGINES_SHARE ? ENGINES : 1;
    const kind = random();
    if (kind < 0.25)
      return {
        kind: 'restart as the other version',
        atMs,
        count: engines,
        untoldMs: random() * MAX_UNTOLD_MS,
      };
    if (kind < 0.4) return {kind: 'replacement', atMs, count: engines};
    return {
      kind: 'signal to gateways',
      atMs,
      signal: SIGNALS[Math.floor(random() * SIGNALS.length)],
      gateways: random() < ALL_GATEWAYS_SHARE ? all : [Math.floor(random() * GATEWAYS)],
      forMs: random() * MAX_STANDSTILL_MS,
    };
  });
  return faults.sort((a, b) => a.atMs - b.atMs);
}

/** A restore of the store in the middle of the run, while one, some or all gateways are killed. */
function drawRestore(random: () => number): VersionFault {
  const killed = 1 + Math.floor(random() * GATEWAYS);
  const first = Math.floor(random() * GATEWAYS);
  return {
    kind: 'restore of the store',
    atMs: LOAD_MS / 4 + (random() * LOAD_MS) / 4,
    copyAgeMs: random() * MAX_COPY_AGE_MS,
    awayMs: random() * MAX_STORE_AWAY_MS,
    times: random() < 0.5 ? 1 : 2,
    gateways: Array.from({length: killed}, (_, i) => (first + i) % GATEWAYS),
  };
}

/** Like `runVersionSoak`, with a restore of the store beside the other faults. */
export async function runRestoreSoak(seed: number): Promise<SoakReport> {
  return runVersionSoak(seed, true);
}

/** Runs one seed; the same seed draws the same faults and streams. */
export async function runVersionSoak(seed: number, hasRestore = false): Promise<SoakReport> {
  const random = new SeededRandom(seed).uniform;
  const fleet = new UsersFleet();
  try {
    await fleet.start(0, ENGINES, GATEWAYS);
    const run = new VersionRun(fleet, new StreamCallers(fleet, random, `s${seed}`));
    await run.assignVersions();
    const faults = drawVersionFaults(random);
    if (hasRestore) faults.push(drawRestore(random));
    const injected = faults.map(async fault => {
      await sleep(fault.atMs);
      await run.inject(fault);
    });
    await Promise.all([run.callers.run(LOAD_MS), ...injected]);
    await sleep(RECOVERY_MS);
    const recovered = await run.callers.beginAtOnce(RECOVERY_STREAMS);
    await run.callers.waitForEnd();
    const violations = [
      ...run.callers.findViolations(),
      ...shareViolations(run.callers),
      ...takeUnexpectedErrors(),
    ];
    if (recovered < MIN_RECOVERED_SHARE * RECOVERY_STREAMS)
      violations.push(
        `after ${RECOVERY_MS} ms ${recovered} of ${RECOVERY_STREAMS} new streams began`,
      );
    const processes = [...fleet.gateways.map(gateway => gateway.process), ...fleet.stewards];
    for (const {program, running, exitCode} of processes)
      if (!running) violations.push(`${program} exited unexpectedly with ${exitCode}`);
    const {streams, begunStreams} = run.callers;
    const logs = processes.flatMap(process => process.log).join('');
    const remark = describeShares(run.callers);
    return {seed, faults, calls: streams, succeeded: begunStreams, violations, logs, remark};
  } finally {
    await fleet.stop();
  }
}

function describeShares({begun, resumed}: StreamCallers): string {
  const [newOnes, taken] = [begun, resumed].map(({yes, no}) => `${yes} of ${yes + no}`);
  return `${taken} attempts to resume went on, ${newOnes} new streams began`;
}

function shareViolations(callers: StreamCallers): string[] {
  const {begun, resumed} = callers;
  const [newShare, resumedShare] = [begun, resumed].map(({yes, no}) => yes / Math.max(1, yes + no));
  if (resumed.yes + resumed.no < MIN_RESUMED || resumedShare >= MIN_SHARE_OF_NEW * newShare)
    return [];
  return [describeShares(callers)];
}

/** Injects the faults of one seed, and tells the callers which gateways and engines are sound. */
class VersionRun {
  /** Engines that serve, the one changed last at the end. */
  private readonly serving: UsersReplica[];
  private readonly ended = new Set<UsersReplica>();

  constructor(
    private readonly fleet: UsersFleet,
    readonly callers: StreamCallers,
  ) {
    this.serving = [...fleet.engines];
  }

  async assignVersions(): Promise<void> {
    for (const [index, engine] of this.serving.entries()) {
      engine.eventMs = EVENT_MS;
      engine.version = VERSIONS[index % VERSIONS.length];
      this.fleet.register(engine);
    }
    await sleep(SETTLE_MS);
    this.updateCallers();
  }

  async inject(fault: VersionFault): Promise<void> {
    switch (fault.kind) {
      case 'signal to gateways':
        await Promise.all(fault.gateways.map(index => this.signal(index, fault)));
        return;
      case 'restart as the other version':
        return this.restartAsOther(this.take(fault.count), fault.untoldMs);
      case 'replacement':
        return this.replace(this.take(fault.count));
      case 'restore of the store':
        return this.restore(fault);
    }
  }

  /** The engines that have had their version for longest; others wait for the end of the change. */
  private take(count: number): UsersReplica[] {
    const taken = this.serving.splice(0, count);
    this.updateCallers();
    return taken;
  }

  private giveBack(engines: readonly UsersReplica[]): void {
    this.serving.push(...engines);
    this.updateCallers();
  }

  private updateCallers(): void {
    this.callers.setServing(this.serving.map(({version}) => version));
  }

  private async signal(
    index: number,
    {signal, forMs}: Extract<VersionFault, {kind: 'signal to gateways'}>,
  ): Promise<void> {
    const {process} = this.fleet.gateways[index];
    this.callers.onGatewayFault(index, 1);
    if (signal === 'SIGSTOP') await pause(process, forMs);
    else await stopAndRestart(process, signal, () => this.fleet.restartGateway(index));
    this.callers.onGatewayFault(index, -1);
  }

  private async restartAsOther(engines: readonly UsersReplica[], untoldMs: number): Promise<void> {
    const stewards = engines.flatMap(
      engine => this.fleet.stewards.at(this.fleet.engines.indexOf(engine)) ?? [],
    );
    for (const steward of stewards) steward.signal('SIGSTOP');
    const restarts = engines.map(async engine => {
      engine.version = otherVersion(engine);
      await engine.restartAfter(ENGINE_DOWNTIME_MS, engine.id);
      engine.models.set(MODEL, new Set());
    });
    await Promise.all(restarts);
    await sleep(untoldMs);
    for (const engine of engines) this.fleet.register(engine);
    for (const steward of stewards) steward.signal('SIGCONT');
    this.giveBack(engines);
  }

  private async restore(
    fault: Extract<VersionFault, {kind: 'restore of the store'}>,
  ): Promise<void> {
    const {store, gateways} = this.fleet;
    const copy = store.takeSnapshot();
    await sleep(fault.copyAgeMs);
    for (const index of fault.gateways) this.callers.onGatewayFault(index, 1);
    const killed = fault.gateways.map(index =>
      stopAndRestart(gateways[index].process, 'SIGKILL', () => this.fleet.restartGateway(index)),
    );
    for (let i = 0; i < fault.times; i++) {
      store.mode = 'unavailable';
      await sleep(fault.awayMs);
      store.restoreFrom(copy);
      this.writeAgain();
      store.mode = 'up';
      if (i + 1 < fault.times) await sleep(RESTORE_INTERVAL_MS);
    }
    await Promise.all(killed);
    for (const index of fault.gateways) this.callers.onGatewayFault(index, -1);
  }

  /** The operator and the replicas write again what a restore has lost. */
  private writeAgain(): void {
    this.fleet.configure({});
    for (const engine of this.fleet.engines) {
      if (this.ended.has(engine)) this.fleet.store.remove(`servers/${engine.id}`);
      else this.fleet.register(engine);
    }
  }

  private async replace(engines: readonly UsersReplica[]): Promise<void> {
    const successors: UsersReplica[] = [];
    for (const engine of engines) {
      const successor = await this.fleet.addReplica(engine.service, true);
      Object.assign(successor, {version: otherVersion(engine), eventMs: EVENT_MS});
      this.fleet.register(successor);
      this.fleet.startSteward(successor);
      successors.push(successor);
    }
    await sleep(HANDOVER_MS);
    for (const engine of engines) {
      this.fleet.store.remove(`servers/${engine.id}`);
      engine.close();
      this.ended.add(engine);
    }
    this.giveBack(successors);
  }
}

function otherVersion({version}: UsersReplica): string {
  return VERSIONS.find(other => other !== version)!;
}
