/** One seed of the soak: a fleet of real processes, callers, and faults from outside. */
import {sleep} from '@jasminepost/core';
import {SeededRandom} from '../bench/random.ts';
import {UsersFleet} from '../features/support/users_fleet.ts';
import {findBroken, overloadedEngines} from './soak_checks.ts';
import {drawFaults, kindsOf, play, type Fault, type FaultKind} from './soak_faults.ts';
import {SoakLoad, type CallKind} from './soak_load.ts';

export interface SoakReport {
  readonly seed: number;
  readonly faults: readonly Fault[];
  readonly calls: number;
  readonly answered: number;
  readonly broken: readonly string[];
  /** Logs of all processes; kept when a promise was broken. */
  readonly logs: string;
}

/** After these a gateway knows nothing, or old things, of replicas. */
const GATEWAY_FAULTS: readonly FaultKind[] = ['pause gateway', 'kill gateway', 'stop gateway'];
const SETTLE_MS = 2500;
const LOAD_MS = 6000;
/** Time after the last fault in which everything is served again. */
const RECOVERY_MS = 5000;
const WATCH_MS = 20;
const RECOVERY_CALLS: readonly CallKind[] = ['order', 'read', 'draft', 'long', 'adapter'];
const RECOVERY_ROUNDS = 4;
/** Share of the calls after the recovery time that are answered. */
const RECOVERED_SHARE = 0.9;

/** Plays one seed; the same seed draws the same faults and calls. */
export async function soak(seed: number): Promise<SoakReport> {
  const random = new SeededRandom(seed).uniform;
  const fleet = new UsersFleet();
  const overloaded = new Set<string>();
  const watch = setInterval(() => {
    for (const found of overloadedEngines(fleet)) overloaded.add(found);
  }, WATCH_MS);
  try {
    await fleet.start(2, 3, 2, true);
    await sleep(SETTLE_MS);
    const faults = drawFaults(random, LOAD_MS, kindsOf(seed));
    const load = new SoakLoad(fleet, random, `s${seed}`);
    const played = faults.map(async fault => {
      await sleep(fault.atMs);
      await play(fleet, fault);
    });
    await Promise.all([load.run(LOAD_MS), ...played]);
    await sleep(RECOVERY_MS);
    const recovery = [];
    for (let i = 0; i < RECOVERY_ROUNDS; i++) {
      for (const kind of RECOVERY_CALLS) {
        recovery.push(load.send(kind, false));
        await sleep(WATCH_MS);
      }
    }
    await load.settle();
    const starts = faults.filter(({kind}) => GATEWAY_FAULTS.includes(kind)).length;
    const harms = faults.filter(({kind}) => kind === 'harm replica link').length;
    const broken = [...overloaded, ...findBroken(fleet, load.calls, starts, harms)];
    const back = recovery.filter(call => call.answer?.status === 200 && !call.answer.cut);
    if (back.length < RECOVERED_SHARE * recovery.length) {
      const rest = recovery.filter(call => !back.includes(call));
      const told = rest.map(call => `${call.kind} ${call.answer?.status}`).join(', ');
      broken.push(`after ${RECOVERY_MS} ms ${back.length} of ${recovery.length} served: ${told}`);
    }
    const processes = [...fleet.gateways.map(gateway => gateway.process), ...fleet.stewards];
    for (const {program, running, exitCode} of processes) {
      if (!running) broken.push(`${program} has ended by itself, with ${exitCode}`);
    }
    const answered = load.calls.filter(call => call.answer?.status === 200).length;
    const logs = processes.flatMap(process => process.log).join('');
    return {seed, faults, calls: load.calls.length, answered, broken, logs};
  } finally {
    clearInterval(watch);
    await fleet.stop();
  }
}
