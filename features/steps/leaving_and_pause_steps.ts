/** Steps about replicas that report leaving or ask for a pause. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {sleep} from '@jasminepost/core';
import type {UsersReplica} from '../../stand_ins/users_platform/replica.ts';
import {until} from '../support/fleet_process.ts';
import {usersScenario, replicas} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

const SETTLE_MS = 1200;
/** Longest duration of a refusal that counts as immediate. */
const IMMEDIATE_MS = 150;
/** By then a request that was in flight when the pause was sent has arrived. */
const IN_FLIGHT_MS = 100;
/** Enough orders at once for both replicas. */
const ORDERS = 6;

function setPause(replica: UsersReplica, pause: string): void {
  replica.fault = 'sheds';
  replica.retryAfter = pause;
}

When('the first replica reports in its responses that it is leaving', function (this: FleetWorld) {
  replicas(this)[0].reportsLeaving = true;
});

When(
  'the engine that served a draft reports in its responses that it is leaving',
  async function (this: FleetWorld) {
    const {fleet} = usersScenario(this);
    await fleet.call({path: '/draft/7'});
    const engine = fleet.engines.find(({runs}) => runs.length > 0)!;
    engine.reportsLeaving = true;
    engine.arrivalsMs.length = 0;
  },
);

Then('none of them reached that engine', function (this: FleetWorld) {
  const leaving = usersScenario(this).fleet.engines.filter(
    ({reportsLeaving: saysLeaving}) => saysLeaving,
  );
  assert.deepEqual(
    leaving.map(({arrivalsMs}) => arrivalsMs.length),
    [0],
  );
});

When('the first replica restarts with the same id', async function (this: FleetWorld) {
  const {fleet} = usersScenario(this);
  const [replica] = replicas(this);
  await sleep(20);
  replica.restart(replica.id);
  fleet.register(replica);
  await sleep(SETTLE_MS);
});

When('{int} ms pass', async function (this: FleetWorld, delayMs: number) {
  await sleep(delayMs);
});

Given(
  'the first replica refuses requests with a Retry-After of {string}',
  function (this: FleetWorld, pause: string) {
    setPause(replicas(this)[0], pause);
  },
);

Given(
  'all replicas refuse requests with a Retry-After of {string}',
  function (this: FleetWorld, pause: string) {
    for (const replica of replicas(this)) setPause(replica, pause);
  },
);

When('a caller sends orders for {int} ms', async function (this: FleetWorld, durationMs: number) {
  const {fleet, answers} = usersScenario(this);
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs) {
    answers.push(await fleet.call({path: '/order/7'}));
    await sleep(20);
  }
});

When(
  'a caller sends a draft, and {int} more at once {int} ms later',
  async function (this: FleetWorld, count: number, delayMs: number) {
    const state = usersScenario(this);
    const first = state.fleet.call({path: '/draft/7'});
    await sleep(delayMs);
    const others = Array.from({length: count}, () => state.fleet.call({path: '/draft/7'}));
    state.pending = Promise.all([first, ...others]);
  },
);

When(
  'the replicas accept requests again after {int} ms',
  async function (this: FleetWorld, delayMs) {
    await sleep(Number(delayMs));
    for (const replica of replicas(this)) replica.fault = 'none';
    await usersScenario(this).pending;
  },
);

Given('the first replica names a rate limit of {float}', function (this: FleetWorld, perS: number) {
  replicas(this)[0].rateLimitHeader = String(perS);
});

When(
  "the first replica's entry lapses while it works on orders whose responses report leaving",
  async function (this: FleetWorld) {
    const {fleet} = usersScenario(this);
    const [replica] = fleet.services;
    replica.reportsLeaving = true;
    replica.workMs = SETTLE_MS;
    const orders = Array.from({length: ORDERS}, () => fleet.call({path: '/order/7'}));
    await until('an order at the first replica', SETTLE_MS, () =>
      Promise.resolve(replica.arrivalsMs.length > 0 || undefined),
    );
    fleet.store.remove(`servers/${replica.id}`);
    await Promise.all(orders);
  },
);

Then('at most {int} of them reached the first replica', function (this: FleetWorld, max: number) {
  const {length} = replicas(this)[0].arrivalsMs;
  assert.ok(length <= max, String(length));
});

Then(
  'neither a changed nor a new entry brings it requests again',
  async function (this: FleetWorld) {
    const {fleet} = usersScenario(this);
    const [replica] = fleet.services;
    const before = replica.arrivalsMs.length;
    for (const remove of [false, true]) {
      if (remove) fleet.store.remove(`servers/${replica.id}`);
      await sleep(SETTLE_MS);
      fleet.register(replica);
      await sleep(SETTLE_MS);
      await Promise.all(Array.from({length: ORDERS}, () => fleet.call({path: '/order/7'})));
      for (let i = 0; i < 10; i++) await fleet.call({path: '/order/7'});
    }
    assert.equal(replica.arrivalsMs.length, before);
  },
);

Then('the last {int} responses are complete', function (this: FleetWorld, count: number) {
  const last = usersScenario(this).answers.slice(-count);
  assert.deepEqual(
    last.map(({status, cut}) => [status, cut]),
    last.map(() => [200, false]),
  );
});

Then(
  'between {int} and {int} requests reached the first replica',
  function (this: FleetWorld, min: number, max: number) {
    const {length} = replicas(this)[0].arrivalsMs;
    assert.ok(length >= min && length <= max, String(length));
  },
);

Then('at most {int} requests reached the replicas', function (this: FleetWorld, max: number) {
  const count = replicas(this).reduce((sum, {arrivalsMs}) => sum + arrivalsMs.length, 0);
  assert.ok(count <= max, String(count));
});

Then(
  'the last response is an immediate refusal with a Retry-After of {int} s or more',
  function (this: FleetWorld, minS: number) {
    const {status, headers, tookMs} = usersScenario(this).answers.at(-1)!;
    assert.equal(status, 503);
    assert.ok(tookMs < IMMEDIATE_MS, String(tookMs));
    assert.ok(Number(headers['retry-after']) >= minS, String(headers['retry-after']));
  },
);

Then(
  'at most {int} requests reached each replica before the pause was over',
  function (this: FleetWorld, max: number) {
    for (const {arrivalsMs, noticeSentMs: toldMs, retryAfter: pause} of replicas(this)) {
      if (toldMs === undefined) continue;
      const pauseEndMs = toldMs + Number(pause) * 1000;
      const early = arrivalsMs.filter(atMs => atMs > toldMs + IN_FLIGHT_MS && atMs < pauseEndMs);
      assert.ok(early.length <= max, String(early.length));
    }
  },
);
