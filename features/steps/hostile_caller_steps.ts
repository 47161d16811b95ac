/** Steps about callers that send far more than they should. */
import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import {Given, Then, When} from '@cucumber/cucumber';
import {BufferBudget, sleep, type BudgetedBuffer} from '@jasminepost/core';
import {until} from '../support/fleet_process.ts';
import {BODY_BYTES, HostileCrowd, MIB} from '../support/hostile_crowd.ts';
import {UsersFleet} from '../support/users_fleet.ts';
import {usersScenario, usersScenarios} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

/** The heap of a gateway of 210 MB; the rest is for buffers and the program. */
const HEAP_MB = 96;
const SAMPLE_MS = 50;
const SERVED_TIMEOUT_MS = 20_000;

const maxDescriptors = new WeakMap<FleetWorld, number>();

Given(
  "a users' fleet of {int} service replicas and a gateway of {int} MB with bodies of {int} MiB",
  async function (this: FleetWorld, services: number, memoryMb: number, bodyMib: number) {
    const fleet = new UsersFleet();
    fleet.memoryMb = memoryMb;
    fleet.bodyBytes = bodyMib * MIB;
    fleet.nodeArgs = [`--max-old-space-size=${HEAP_MB}`];
    usersScenarios.set(this, {fleet, answers: [], pending: Promise.resolve([]), wasUnready: false});
    await fleet.start(services, 0, 1);
  },
);

When(
  '{int} callers send {string} for {int} ms',
  async function (this: FleetWorld, callers: number, what: string, forMs: number) {
    const [{ip, callerPort, process}] = usersScenario(this).fleet.gateways;
    const crowd = new HostileCrowd(ip, callerPort, what);
    crowd.start(callers);
    const endMs = performance.now() + forMs;
    let max = 0;
    while (performance.now() < endMs && process.running) {
      await sleep(SAMPLE_MS);
      if (process.running) max = Math.max(max, readdirSync(`/proc/${process.pid}/fd`).length);
    }
    maxDescriptors.set(this, max);
    crowd.end();
  },
);

Then(
  'the gateway runs, has used at most {int} MB, and has had at most {int} descriptors open',
  function (this: FleetWorld, maxMb: number, maxFiles: number) {
    const {process} = usersScenario(this).fleet.gateways[0];
    const lastLine = process.log.join('').slice(-300);
    assert.ok(process.running, `exit code ${process.exitCode}: ${lastLine}`);
    const status = readFileSync(`/proc/${process.pid}/status`, 'utf8');
    const peakMb = Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)![1]) / 1024;
    const files = maxDescriptors.get(this)!;
    assert.ok(peakMb <= maxMb, `${peakMb.toFixed(0)} MB, ${files} descriptors`);
    assert.ok(files <= maxFiles, `${files} descriptors`);
  },
);

Then(
  'an ordinary request with a body of {int} MiB is served afterwards',
  async function (this: FleetWorld, bodyMib: number) {
    const {fleet} = usersScenario(this);
    const body = 'x'.repeat(Math.min(bodyMib * MIB, BODY_BYTES));
    await until('a served request', SERVED_TIMEOUT_MS, async () => {
      const {status, cut} = await fleet.call({path: '/order/7', body});
      return status === 200 && !cut ? true : undefined;
    });
  },
);

function budgetOf(maxBytes: number, buffers: number, bytes: number, isStalled: boolean) {
  const budget = new BufferBudget(maxBytes);
  const evicted: BudgetedBuffer[] = [];
  const add = (bufferedBytes: number, stalled: boolean) => {
    const buffer = {bufferedBytes, isStalled: stalled, evict: () => void evicted.push(buffer)};
    budget.update(buffer);
    return buffer;
  };
  for (let i = 0; i < buffers; i++) add(bytes, isStalled);
  return {budget, evicted, add};
}

Then(
  'a budget that is full of large bodies admits a smaller one and refuses one as large',
  function () {
    const {budget, evicted, add} = budgetOf(40, 10, 4, false);
    assert.equal(budget.admits(4), false);
    assert.equal(budget.admits(3), true);
    add(3, false);
    assert.deepEqual(
      evicted.map(each => each.bufferedBytes),
      [4],
    );
  },
);

Then(
  'a budget that is full of stalled bodies admits one as large, and evicts a stalled one',
  function () {
    const {budget, evicted, add} = budgetOf(40, 10, 4, true);
    assert.equal(budget.admits(4), true);
    const moving = add(4, false);
    assert.equal(evicted.length, 1);
    assert.ok(!evicted.includes(moving));
  },
);

Then('held memory is never evicted', function () {
  const {budget, evicted, add} = budgetOf(40, 0, 0, false);
  budget.hold(40);
  assert.equal(budget.admits(1), false);
  add(1, false);
  assert.equal(evicted.length, 1);
  assert.equal(budget.usedBytes, 40);
});
