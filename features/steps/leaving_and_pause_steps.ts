/** Steps about replicas that say that they leave or ask for a pause. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {sleep} from '@jasminepost/core';
import type {UsersReplica} from '../../stand_ins/users_platform/replica.ts';
import {usersScenario, replicas} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

const SETTLE_MS = 1200;
/** A refusal at once. */
const AT_ONCE_MS = 150;
/** After this a request that crossed the answer has arrived. */
const CROSSING_MS = 100;

function setPause(replica: UsersReplica, pause: string): void {
  replica.fault = 'sheds';
  replica.pause = pause;
}

When('the first replica says in its answers that it leaves', function (this: FleetWorld) {
  replicas(this)[0].saysLeaving = true;
});

When(
  'the engine that a draft went to says in its answers that it leaves',
  async function (this: FleetWorld) {
    const {fleet} = usersScenario(this);
    await fleet.call({path: '/draft/7'});
    const engine = fleet.engines.find(({runs}) => runs.length > 0)!;
    engine.saysLeaving = true;
    engine.arrivalsMs.length = 0;
  },
);

Then('none of them reached that engine', function (this: FleetWorld) {
  const leaving = usersScenario(this).fleet.engines.filter(({saysLeaving}) => saysLeaving);
  assert.deepEqual(
    leaving.map(({arrivalsMs}) => arrivalsMs.length),
    [0],
  );
});

When('the first replica starts again under its id', async function (this: FleetWorld) {
  const {fleet} = usersScenario(this);
  const [replica] = replicas(this);
  await sleep(20);
  replica.restart(replica.id);
  fleet.register(replica);
  await sleep(SETTLE_MS);
});

When('{int} ms pass', async function (this: FleetWorld, ms: number) {
  await sleep(ms);
});

Given(
  'the first replica turns requests away with a pause of {string}',
  function (this: FleetWorld, pause: string) {
    setPause(replicas(this)[0], pause);
  },
);

Given(
  'all replicas turn requests away with a pause of {string}',
  function (this: FleetWorld, pause: string) {
    for (const replica of replicas(this)) setPause(replica, pause);
  },
);

When('a caller sends orders for {int} ms', async function (this: FleetWorld, forMs: number) {
  const {fleet, answers} = usersScenario(this);
  const untilMs = performance.now() + forMs;
  while (performance.now() < untilMs) {
    answers.push(await fleet.call({path: '/order/7'}));
    await sleep(20);
  }
});

When(
  'a caller sends a draft, and {int} more at once {int} ms later',
  async function (this: FleetWorld, count: number, laterMs: number) {
    const found = usersScenario(this);
    const first = found.fleet.call({path: '/draft/7'});
    await sleep(laterMs);
    const more = Array.from({length: count}, () => found.fleet.call({path: '/draft/7'}));
    found.pending = Promise.all([first, ...more]);
  },
);

When('the replicas take requests again after {int} ms', async function (this: FleetWorld, ms) {
  await sleep(Number(ms));
  for (const replica of replicas(this)) replica.fault = 'none';
  await usersScenario(this).pending;
});

Then('at most {int} of them reached the first replica', function (this: FleetWorld, most: number) {
  const {length} = replicas(this)[0].arrivalsMs;
  assert.ok(length <= most, String(length));
});

Then('its entry does not bring it back, new or changed', async function (this: FleetWorld) {
  const {fleet} = usersScenario(this);
  const [replica] = fleet.services;
  const before = replica.arrivalsMs.length;
  for (const remove of [false, true]) {
    if (remove) fleet.store.remove(`servers/${replica.id}`);
    await sleep(SETTLE_MS);
    fleet.register(replica);
    await sleep(SETTLE_MS);
    for (let i = 0; i < 10; i++) await fleet.call({path: '/order/7'});
  }
  assert.equal(replica.arrivalsMs.length, before);
});

Then('the last {int} answers are whole', function (this: FleetWorld, count: number) {
  const last = usersScenario(this).answers.slice(-count);
  assert.deepEqual(
    last.map(({status, cut}) => [status, cut]),
    last.map(() => [200, false]),
  );
});

Then(
  'between {int} and {int} requests reached the first replica',
  function (this: FleetWorld, least: number, most: number) {
    const {length} = replicas(this)[0].arrivalsMs;
    assert.ok(length >= least && length <= most, String(length));
  },
);

Then('at most {int} requests reached the replicas', function (this: FleetWorld, most: number) {
  const count = replicas(this).reduce((sum, {arrivalsMs}) => sum + arrivalsMs.length, 0);
  assert.ok(count <= most, String(count));
});

Then(
  'the last answer is a refusal, at once, with a time to return of {int} s or more',
  function (this: FleetWorld, leastS: number) {
    const {status, headers, tookMs} = usersScenario(this).answers.at(-1)!;
    assert.equal(status, 503);
    assert.ok(tookMs < AT_ONCE_MS, String(tookMs));
    assert.ok(Number(headers['retry-after']) >= leastS, String(headers['retry-after']));
  },
);

Then(
  'at most {int} requests reached each replica before the pause was over',
  function (this: FleetWorld, most: number) {
    for (const {arrivalsMs, toldMs, pause} of replicas(this)) {
      if (toldMs === undefined) continue;
      const overMs = toldMs + Number(pause) * 1000;
      const early = arrivalsMs.filter(atMs => atMs > toldMs + CROSSING_MS && atMs < overMs);
      assert.ok(early.length <= most, String(early.length));
    }
  },
);
