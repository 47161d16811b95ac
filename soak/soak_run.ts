/** Runs one seed of the soak: a fleet of real processes, callers, and injected faults. */
import {sleep} from '@jasminepost/core';
import {SeededRandom} from '../bench/random.ts';
import {UsersFleet} from '../features/support/users_fleet.ts';
import {takeUnexpectedErrors} from '../features/support/fleet_process.ts';
import {findViolations, findOverloadedEngines} from './soak_checks.ts';
import {drawFaults, faultKindsForSeed, injectFault, type FaultKind} from './soak_faults.ts';
import {SoakLoad, type CallKind} from './soak_load.ts';

export interface SoakReport {
  readonly seed: number;
  readonly faults: readonly {readonly kind: string}[];
  readonly calls: number;
  readonly succeeded: number;
  readonly violations: readonly string[];
  /** Logs of all processes; kept if there are violations. */
  readonly logs: string;
  /** What else is of interest in a run without violations. */
  readonly remark?: string;
}

/** Faults after which a gateway has no state of replicas, or an outdated one. */
const GATEWAY_FAULTS: readonly FaultKind[] = ['pause gateway', 'kill gateway', 'stop gateway'];
const SETTLE_MS = 2500;
const LOAD_MS = 6000;
/** Time after the load and its faults until requests must succeed again. */
const RECOVERY_MS = 5000;
const CHECK_INTERVAL_MS = 20;
const RECOVERY_CALLS: readonly CallKind[] = ['order', 'read', 'draft', 'long', 'adapter'];
const RECOVERY_ROUNDS = 4;
/** Share of the calls after the recovery time that must succeed. */
const MIN_RECOVERED_SHARE = 0.9;

/** Runs one seed; the same seed draws the same faults and calls. */
export async function runSoak(seed: number): Promise<SoakReport> {
  const random = new SeededRandom(seed).uniform;
  const fleet = new UsersFleet();
  const overloads = new Set<string>();
  const overloadTimer = setInterval(() => {
    for (const violation of findOverloadedEngines(fleet)) overloads.add(violation);
  }, CHECK_INTERVAL_MS);
  try {
    await fleet.start(2, 3, 2, true);
    await sleep(SETTLE_MS);
    const faults = drawFaults(random, LOAD_MS, faultKindsForSeed(seed));
    const load = new SoakLoad(fleet, random, `s${seed}`);
    const injected = faults.map(async fault => {
      await sleep(fault.atMs);
      await injectFault(fleet, fault);
    });
    await Promise.all([load.run(LOAD_MS), ...injected]);
    await sleep(RECOVERY_MS);
    const recovery = [];
    for (let i = 0; i < RECOVERY_ROUNDS; i++) {
      for (const kind of RECOVERY_CALLS) {
        recovery.push(load.send(kind, false));
        await sleep(CHECK_INTERVAL_MS);
      }
    }
    await load.waitForResponses();
    const gatewayStarts = faults.filter(({kind}) => GATEWAY_FAULTS.includes(kind)).length;
    const linkFaults = faults.filter(({kind}) => kind === 'degrade replica link').length;
    const violations = [
      ...overloads,
      ...findViolations(fleet, load.calls, gatewayStarts, linkFaults),
      ...takeUnexpectedErrors(),
    ];
    const recovered = recovery.filter(call => call.response?.status === 200 && !call.response.cut);
    if (recovered.length < MIN_RECOVERED_SHARE * recovery.length) {
      const unrecovered = recovery.filter(call => !recovered.includes(call));
      const outcomes = unrecovered.map(call => `${call.kind} ${call.response?.status}`).join(', ');
      violations.push(
        `after ${RECOVERY_MS} ms ${recovered.length} of ${recovery.length} served: ${outcomes}`,
      );
    }
    const processes = [...fleet.gateways.map(gateway => gateway.process), ...fleet.stewards];
    for (const {program, running, exitCode} of processes) {
      if (!running) violations.push(`${program} exited unexpectedly with ${exitCode}`);
    }
    const succeeded = load.calls.filter(call => call.response?.status === 200).length;
    const logs = processes.flatMap(process => process.log).join('');
    return {
      seed,
      faults,
      calls: load.calls.length,
      succeeded,
      violations,
      logs,
    };
  } finally {
    clearInterval(overloadTimer);
    await fleet.stop();
  }
}
