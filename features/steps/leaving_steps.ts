/** Steps about leaving and graceful shutdown. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {sleep} from '@jasminepost/core';
import {Balancer} from '../support/balancer.ts';
import {until} from '../support/fleet_process.ts';
import type {FleetMember} from '../support/fleet_types.ts';
import {LoadRun} from '../support/load_run.ts';
import {PAID_KEY} from '../support/test_fleet.ts';
import type {FleetWorld} from '../support/world.ts';

const WARM_UP_MS = 500;
const READY_TIMEOUT_MS = 20_000;

function findProcess(world: FleetWorld, role: string, index: string): FleetMember {
  return (role === 'entry' ? world.fleet.entries : world.fleet.sidecars)[Number(index)];
}

Given(
  'a fleet of {int} engines, {int} services and {int} entries with {int} copies and a list lag of {int} ms',
  async function (
    this: FleetWorld,
    engines: number,
    services: number,
    entries: number,
    floorCopies: number,
    listLagMs: number,
  ) {
    await this.startFleet({engines, services, entries, floorCopies, listLagMs});
  },
);

Given(
  'a fleet of {int} engines, {int} services and {int} entries whose sidecars move their streams on shutdown',
  async function (this: FleetWorld, engines: number, services: number, entries: number) {
    await this.startFleet({engines, services, entries, sidecarArgs: ['--drain-mode', 'move']});
  },
);

async function countStartedRequests(world: FleetWorld): Promise<number> {
  return (await world.fleet.readCounters(world.fleet.engines[0].url))['started'];
}

const LEAVE_ACTIONS: Readonly<Record<string, (world: FleetWorld) => Promise<void>>> = {
  'sidecar 0 gets SIGTERM': async world => world.fleet.sidecars[0].process.signal('SIGTERM'),
  'sidecar 0 gets SIGTERM twice': async world => {
    world.fleet.sidecars[0].process.signal('SIGTERM');
    await sleep(50);
    world.fleet.sidecars[0].process.signal('SIGTERM');
  },
  'the operator drains sidecar 0': async world => {
    const {id} = world.fleet.sidecars[0];
    const result = await world.fleet.cli(['drain', id, ...world.fleet.fleetFlags()]);
    assert.equal(result.code, 0, result.output);
  },
  "the platform's list shows it as leaving": async world => {
    world.fleet.sidecars[0].state = 'leaving';
    await world.fleet.publishList();
  },
};

When(
  /^callers keep asking for (\d+) tokens and (.+)$/,
  async function (this: FleetWorld, tokens: string, signal: string) {
    this.startLoad(8, Number(tokens));
    await sleep(WARM_UP_MS);
    assert.ok((await countStartedRequests(this)) > 0, 'engine 0 had got no request before it');
    await LEAVE_ACTIONS[signal](this);
  },
);

Then(
  'engine {int} starts no request later than {int} ms after that',
  async function (this: FleetWorld, _engine: number, limitMs: number) {
    await sleep(limitMs);
    const before = await countStartedRequests(this);
    await sleep(1500);
    assert.equal(await countStartedRequests(this), before);
    for (const load of this.loads) await load.stop();
  },
);

When(
  /^(\d+) callers ask for (\d+) tokens (\d+) times while (entry|sidecar) (\d+) is stopped$/,
  async function (
    this: FleetWorld,
    callers: string,
    tokens: string,
    requests: string,
    role: string,
    index: string,
  ) {
    const load = this.startLoad(Number(callers), Number(tokens), Number(requests));
    await sleep(WARM_UP_MS);
    const member = findProcess(this, role, index);
    const stoppedMs = performance.now();
    member.process.signal('SIGTERM');
    void member.process.exited.then(() => {
      this.savedValues.set('stopMs', performance.now() - stoppedMs);
    });
    await load.waitUntilDone();
  },
);

Then(
  /^(entry|sidecar) (\d+) ended with 0$/,
  async function (this: FleetWorld, role: string, index: string) {
    assert.equal(await findProcess(this, role, index).process.exited, 0);
  },
);

Then(
  'sidecar {int} ended within {int} ms',
  async function (this: FleetWorld, index: number, limitMs: number) {
    await this.fleet.sidecars[index].process.exited;
    await sleep(0);
    const stopMs = this.savedValues.get('stopMs')!;
    assert.ok(stopMs <= limitMs, `shutdown took ${stopMs} ms`);
  },
);

When(
  'callers keep asking for {int} tokens through the load balancer and every process is replaced',
  async function (this: FleetWorld, tokens: number) {
    const {fleet} = this;
    const balancer = new Balancer(fleet.entries);
    this.cleanups.push(() => balancer.close());
    const url = () => balancer.url();
    const load = new LoadRun({callers: 10, tokens, key: PAID_KEY, url});
    this.loads.push(load);
    await sleep(WARM_UP_MS);
    for (const member of [...fleet.sidecars, ...fleet.entries]) {
      member.process.signal('SIGTERM');
      assert.equal(await member.process.exited, 0, member.process.log.slice(-3).join(''));
      await fleet.restart(member);
      await until(`${member.id} ready`, READY_TIMEOUT_MS, async () => {
        const res = await fetch(`${member.adminUrl}/readyz`);
        return res.status === 200 ? true : undefined;
      });
      await fleet.waitUntilServing();
    }
    await sleep(WARM_UP_MS);
    await load.stop();
  },
);

Then('at least {int} responses were received', function (this: FleetWorld, minResponses: number) {
  const responseCount = this.loads.reduce((sum, load) => sum + load.answers.length, 0);
  assert.ok(responseCount >= minResponses, `${responseCount} responses`);
});
