/** Steps about configurations that take long to transfer over a gateway's link to the store. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {sleep} from '@jasminepost/core';
import {until} from '../support/fleet_process.ts';
import {relayConfiguration, type RelayResult} from '../support/relay_simulation.ts';
import {UsersFleet} from '../support/users_fleet.ts';
import {usersScenarios, usersScenario} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

const BYTES_PER_KB = 1000;
/** By then a gateway holds the planner role. */
const SETTLE_MS = 2000;
const CALL_INTERVAL_MS = 10;
/** Time for which orders are sent after a replica has left. */
const CALL_DURATION_MS = 5000;
/** A gateway that has not applied a change by then counts as failed. */
const APPLY_TIMEOUT_MS = 12_000;

/** Times from each change until it was in force at each gateway. */
const applyTimesMs = new WeakMap<UsersFleet, Promise<number[]>[]>();
const changedAtMs = new WeakMap<UsersFleet, number>();
const removedAtMs = new WeakMap<UsersFleet, number>();
const relayedConfigs = new WeakMap<FleetWorld, RelayResult>();

function createFleet(world: FleetWorld): UsersFleet {
  const fleet = new UsersFleet();
  usersScenarios.set(world, {fleet, answers: [], pending: Promise.resolve([]), wasUnready: false});
  return fleet;
}

/** Times until each gateway serves the route; infinite for one that does not. */
function measureApplyTimes(fleet: UsersFleet, route: string, sinceMs: number): Promise<number[]> {
  const times = fleet.gateways.map(async (_gateway, gateway) => {
    try {
      await until(`route ${route} at gateway ${gateway}`, APPLY_TIMEOUT_MS, async () => {
        const {status} = await fleet.call({path: `/${route}/1`, method: 'GET', gateway});
        return status === 200 ? true : undefined;
      });
    } catch {
      return Number.POSITIVE_INFINITY;
    }
    return performance.now() - sinceMs;
  });
  return Promise.all(times);
}

Given(
  "a users' fleet of {int} service replicas and {int} gateways, whose links to the store pass {int} bytes a ms",
  async function (this: FleetWorld, services: number, gateways: number, bytesPerMs: number) {
    const fleet = createFleet(this);
    fleet.storeBytesPerMs = bytesPerMs;
    await fleet.start(services, 0, gateways);
    await sleep(SETTLE_MS);
  },
);

Given(
  "a users' fleet of {int} service replicas, {int} engines and {int} gateway, with links to the store that can fail",
  async function (this: FleetWorld, services: number, engines: number, gateways: number) {
    await createFleet(this).start(services, engines, gateways, true);
    await sleep(SETTLE_MS);
  },
);

When(
  'a configuration of {int} kB adds the route {string}',
  function (this: FleetWorld, kb: number, extraRoute: string) {
    const {fleet} = usersScenario(this);
    changedAtMs.set(fleet, performance.now());
    fleet.configure({extraRoute, bytes: kb * BYTES_PER_KB});
  },
);

When(
  '{int} configurations of {int} kB add a route each, every {int} ms',
  async function (this: FleetWorld, count: number, kb: number, intervalMs: number) {
    const {fleet} = usersScenario(this);
    const times: Promise<number[]>[] = [];
    const extraRoutes: string[] = [];
    for (let i = 0; i < count; i++) {
      const route = `added-${i}`;
      extraRoutes.push(route);
      fleet.configure({extraRoutes, bytes: kb * BYTES_PER_KB});
      times.push(measureApplyTimes(fleet, route, performance.now()));
      await sleep(intervalMs);
    }
    applyTimesMs.set(fleet, times);
  },
);

When('all gateways are killed and restarted', async function (this: FleetWorld) {
  const {fleet} = usersScenario(this);
  await Promise.all(fleet.gateways.map(gateway => gateway.process.kill()));
  changedAtMs.set(fleet, performance.now());
  for (const index of fleet.gateways.keys()) fleet.restartGateway(index);
});

When(
  'a gateway that relays the store to 30 others receives a configuration of {int} kB',
  async function (this: FleetWorld, kb: number) {
    relayedConfigs.set(this, await relayConfiguration(kb * BYTES_PER_KB));
  },
);

Then('it has sent each of them less than {int} kB', function (this: FleetWorld, kb: number) {
  const {relayedBytes: bytesTold, isApplied: taken} = relayedConfigs.get(this)!;
  assert.ok(taken);
  assert.ok(bytesTold < kb * BYTES_PER_KB, `${bytesTold} bytes`);
});

When(
  'the connections to the store stop responding, and new ones work',
  function (this: FleetWorld) {
    usersScenario(this).fleet.stallStoreLinks();
  },
);

When(
  'the store connections of a gateway that does not plan stop responding, and new ones work',
  function (this: FleetWorld) {
    const {fleet} = usersScenario(this);
    const planner = fleet.plannerIndex();
    assert.ok(planner >= 0);
    fleet.stallStoreLinks([...fleet.gateways.keys()].find(index => index !== planner));
  },
);

When('the connections to the store are reset', function (this: FleetWorld) {
  usersScenario(this).fleet.storeProxy!.reset();
});

When('the first replica drains {int} ms later', async function (this: FleetWorld, delayMs: number) {
  const {fleet} = usersScenario(this);
  await sleep(delayMs);
  fleet.register(fleet.services[0], 'draining');
  removedAtMs.set(fleet, performance.now());
});

When(
  'the entry of the first replica is removed {int} ms later',
  async function (this: FleetWorld, delayMs: number) {
    const {fleet} = usersScenario(this);
    await sleep(delayMs);
    fleet.store.remove(`servers/${fleet.services[0].id}`);
    removedAtMs.set(fleet, performance.now());
  },
);

Then(
  'the route {string} is in force at every gateway within {int} ms',
  async function (this: FleetWorld, route: string, withinMs: number) {
    const {fleet} = usersScenario(this);
    const times = await measureApplyTimes(fleet, route, changedAtMs.get(fleet)!);
    assert.ok(Math.max(...times) <= withinMs, `in force after ${times.join(', ')} ms`);
  },
);

Then(
  'each of them was in force at every gateway within {int} ms',
  async function (this: FleetWorld, withinMs: number) {
    const times = await Promise.all(applyTimesMs.get(usersScenario(this).fleet)!);
    const summary = times.map(perGateway => perGateway.map(Math.round).join(', ')).join('; ');
    assert.ok(Math.max(...times.flat()) <= withinMs, `in force after ${summary} ms`);
  },
);

Then(
  'no order reaches the first replica later than {int} ms after that',
  async function (this: FleetWorld, graceMs: number) {
    const {fleet} = usersScenario(this);
    const sinceMs = removedAtMs.get(fleet)!;
    while (performance.now() - sinceMs < CALL_DURATION_MS) {
      for (const gateway of fleet.gateways.keys()) void fleet.call({path: '/order/7', gateway});
      await sleep(CALL_INTERVAL_MS);
    }
    const [first, second] = fleet.services;
    const lastArrivalMs = Math.max(...first.arrivalsMs) - sinceMs;
    assert.ok(second.runs.length > 0);
    assert.ok(lastArrivalMs <= graceMs, `an order arrived after ${Math.round(lastArrivalMs)} ms`);
  },
);
