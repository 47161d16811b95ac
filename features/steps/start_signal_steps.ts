/** Steps about signals that arrive while a program starts. */
import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {connect} from 'node:net';
import {Then, When} from '@cucumber/cucumber';
import {until, type FleetProcess} from '../support/fleet_process.ts';
import {usersScenario} from '../support/users_scenario.ts';
import type {UsersFleet} from '../support/users_fleet.ts';
import type {FleetWorld} from '../support/world.ts';

type Program = 'gateway' | 'steward';

interface RestartRecord {
  readonly process: FleetProcess;
  readonly wasListening: boolean;
}

const START_TIMEOUT_MS = 15_000;
const SIGNAL_LOG_TEXTS: Readonly<Record<Program, string>> = {
  gateway: 'settings read again',
  steward: 'settings file changed',
};
const restarts = new WeakMap<FleetWorld, RestartRecord & {readonly program: Program}>();

When(
  'a {word} starts again and gets a reload signal as soon as it takes one',
  async function (this: FleetWorld, program: Program) {
    const {fleet} = usersScenario(this);
    const process = await restartProgram(fleet, program);
    await until(
      'SIGHUP handler installed',
      START_TIMEOUT_MS,
      async () => handlesSighup(process.pid) || undefined,
    );
    const wasListening = await isListening(...meshAddress(fleet, program));
    process.signal('SIGHUP');
    restarts.set(this, {process, wasListening, program});
  },
);

Then('it was not listening yet', function (this: FleetWorld) {
  assert.equal(restarts.get(this)!.wasListening, false);
});

Then('it handles the signal once it has started', async function (this: FleetWorld) {
  const {process, program} = restarts.get(this)!;
  await until('log line of the reload signal', START_TIMEOUT_MS, async () => {
    if (!process.running) assert.fail(`exited with ${process.exitCode}`);
    return process.log.join('').includes(SIGNAL_LOG_TEXTS[program]) || undefined;
  });
});

async function restartProgram(fleet: UsersFleet, program: Program): Promise<FleetProcess> {
  if (program === 'gateway') {
    await fleet.gateways[0].process.kill();
    fleet.restartGateway(0);
    return fleet.gateways[0].process;
  }
  await fleet.stewards[0].kill();
  fleet.restartSteward(0);
  return fleet.stewards[0];
}

function meshAddress(fleet: UsersFleet, program: Program): [string, number] {
  const ip = program === 'gateway' ? fleet.gateways[0].ip : fleet.hostOf(fleet.engines[0]);
  return [ip, fleet.meshPort];
}

/** Reads the kernel's mask of handled signals (SigCgt), in which SIGHUP is the lowest bit. */
function handlesSighup(pid: number): boolean {
  const mask = /^SigCgt:\s*([0-9a-f]+)$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
  return mask !== null && (BigInt(`0x${mask[1]}`) & 1n) === 1n;
}

function isListening(host: string, port: number): Promise<boolean> {
  return new Promise(resolve => {
    const socket = connect({host, port});
    const finish = (found: boolean) => {
      socket.destroy();
      resolve(found);
    };
    socket.once('connect', () => finish(true));
    socket.once('error', () => finish(false));
  });
}
