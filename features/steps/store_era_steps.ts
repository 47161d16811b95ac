/** Steps about a store that is restored from a snapshot some seconds old. */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {sleep} from '@jasminepost/core';
import {storeEraSteps, areFencingTokensIncreasing} from '../support/store_era_history.ts';
import {until} from '../support/fleet_process.ts';
import type {UsersFleet} from '../support/users_fleet.ts';
import {usersScenario, replicas} from '../support/users_scenario.ts';
import {restoreStore, takeStoreSnapshot} from '../support/store_snapshots.ts';
import type {FleetWorld} from '../support/world.ts';

const SETTLE_MS = 1200;
const RESTART_MS = 3000;
/** More revisions than were used between the snapshot and the restore. */
const EXTRA_REVISIONS = 30;
const CALL_INTERVAL_MS = 100;
const CALL_DURATION_MS = 4000;

const statuses = new WeakMap<UsersFleet, number[]>();

function plannerTerms(fleet: UsersFleet): number[] {
  const terms = fleet.gateways.flatMap(({process}) =>
    [...process.log.join('').matchAll(/"role acquired"[^}]*"term":(\d+)/g)].map(m => Number(m[1])),
  );
  return terms;
}

When('a snapshot of the store is taken', function (this: FleetWorld) {
  const {fleet} = usersScenario(this);
  takeStoreSnapshot(fleet);
});

When('a configuration adds the route {string}', async function (this: FleetWorld, name: string) {
  const {fleet} = usersScenario(this);
  fleet.configure({extraRoute: name});
  await sleep(SETTLE_MS);
});

When(
  "the store is restored from the snapshot, and the operator's writes follow {int} ms later",
  {timeout: 20_000},
  async function (this: FleetWorld, delayMs: number) {
    const {fleet} = usersScenario(this);
    const config = fleet.store.read('op/config')!;
    await restoreStore(fleet);
    for (const replica of fleet.services) fleet.register(replica);
    setTimeout(() => fleet.store.put('op/config', config), delayMs);
    const statusCodes: number[] = [];
    for (let elapsed = 0; elapsed < CALL_DURATION_MS; elapsed += CALL_INTERVAL_MS) {
      for (const gateway of [0, 1]) {
        statusCodes.push((await fleet.call({path: '/added/1', method: 'GET', gateway})).status);
      }
      await sleep(CALL_INTERVAL_MS);
    }
    statuses.set(fleet, statusCodes);
  },
);

Then('the route "added" was served throughout', function (this: FleetWorld) {
  const statusCodes = statuses.get(usersScenario(this).fleet)!;
  assert.deepEqual(
    statusCodes,
    statusCodes.map(() => 200),
  );
});

Then(
  'a configuration with the same version that adds the route {string} is in force within {int} ms',
  async function (this: FleetWorld, extraRoute: string, withinMs: number) {
    const {fleet} = usersScenario(this);
    fleet.reuseVersion();
    takeStoreSnapshot(fleet);
    await restoreStore(fleet);
    fleet.configure({extraRoute});
    for (const gateway of [0, 1]) {
      await until(`route ${extraRoute} at ${gateway}`, withinMs, async () => {
        const {status} = await fleet.call({path: `/${extraRoute}/1`, method: 'GET', gateway});
        return status === 200 ? true : undefined;
      });
    }
  },
);

When("the replicas' entries change {int} times", async function (this: FleetWorld, times: number) {
  const {fleet} = usersScenario(this);
  for (let i = 0; i < times; i++) {
    for (const replica of fleet.services) fleet.register(replica);
  }
  await sleep(SETTLE_MS);
});

When(
  'the store is restored from the snapshot, with the first replica draining and more revisions than before',
  async function (this: FleetWorld) {
    const {fleet} = usersScenario(this);
    const [first, second] = fleet.services;
    await restoreStore(fleet, () => {
      fleet.register(first, 'draining');
      for (let i = 0; i < EXTRA_REVISIONS; i++) fleet.register(second);
    });
    await sleep(SETTLE_MS * 2);
  },
);

When(
  "the store is restored from the snapshot, and the second replica's writes follow {int} ms later",
  async function (this: FleetWorld, delayMs: number) {
    const {fleet} = usersScenario(this);
    await restoreStore(fleet);
    await sleep(delayMs);
    for (const replica of fleet.services.slice(1)) fleet.register(replica);
  },
);

When(
  'a caller sends {int} orders to each gateway',
  async function (this: FleetWorld, count: number) {
    const {fleet, answers} = usersScenario(this);
    for (let i = 0; i < count; i++) {
      for (const gateway of fleet.gateways.keys()) {
        answers.push(await fleet.call({path: '/order/7', gateway}));
      }
      await sleep(CALL_INTERVAL_MS);
    }
  },
);

When("the planner's gateway is killed and restarted", async function (this: FleetWorld) {
  const {fleet} = usersScenario(this);
  const index = fleet.plannerIndex();
  await fleet.gateways[index].process.kill();
  fleet.restartGateway(index);
  await sleep(RESTART_MS);
});

When('the first steward is killed and restarted', async function (this: FleetWorld) {
  const {fleet} = usersScenario(this);
  await fleet.stewards[0].kill();
  fleet.restartSteward(0);
  await sleep(RESTART_MS);
});

When(
  'the store is restored from the snapshot {int} times within {int} ms, and all other writes follow',
  async function (this: FleetWorld, times: number, withinMs: number) {
    const {fleet} = usersScenario(this);
    const config = fleet.store.read('op/config')!;
    for (let i = 0; i < times; i++) {
      await restoreStore(fleet);
      await sleep(withinMs / times);
    }
    for (const replica of replicas(this)) {
      const isListed = fleet.store.read(`servers/${replica.id}`) !== undefined;
      if (isListed) fleet.register(replica);
    }
    fleet.store.put('op/config', config);
    await sleep(SETTLE_MS);
  },
);

Then(
  'one gateway is the planner, with a term larger than all earlier ones',
  function (this: FleetWorld) {
    const {fleet} = usersScenario(this);
    const {term} = JSON.parse(fleet.store.read('system/planner/holder') ?? '{}') as {term: number};
    const earlierTerms = plannerTerms(fleet).filter(earlier => earlier !== term);
    assert.ok(earlierTerms.length > 0);
    assert.ok(
      earlierTerms.every(earlier => earlier < term),
      `${term} after ${earlierTerms.join()}`,
    );
  },
);

Then(
  'in {int} random series each order has a larger fencing token than all earlier ones',
  async function (numRuns: number) {
    await fc.assert(fc.asyncProperty(storeEraSteps, areFencingTokensIncreasing), {
      numRuns: numRuns,
      seed: 20,
    });
  },
);
