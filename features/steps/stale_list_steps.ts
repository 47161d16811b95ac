/** Steps about gateways whose list of replicas is old. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {sleep} from '@jasminepost/core';
import type {UsersReplica} from '../../stand_ins/users_platform/replica.ts';
import {
  readSlowStore,
  relayRemovalAfterOwnOutage,
  watchAfterIdling,
  watchSlowly,
} from '../support/known_age.ts';
import {until} from '../support/fleet_process.ts';
import {requestAfterStall} from '../support/stalled_gateway.ts';
import {acceptsAfterStall, type StalledCall} from '../support/stalled_process.ts';
import {usersScenario} from '../support/users_scenario.ts';
import {
  waitInVain,
  type AwaitedEvent,
  type WaitingRequestResult,
} from '../support/waiting_requests.ts';
import type {FleetWorld} from '../support/world.ts';

/** Time in which the first connections are being opened. */
const CONNECT_MS = 20;
/** Time in which a gateway reaches the store again. */
const REGAIN_MS = 2000;

const leavingReplicas = new WeakMap<FleetWorld, UsersReplica>();
const waits = new WeakMap<FleetWorld, WaitingRequestResult>();

When(
  /^the first (service replica|engine) leaves while (the planner's|another) gateway stands still for (\d+) ms, and (\d+) (orders|drafts) follow$/,
  async function (
    this: FleetWorld,
    kind: string,
    which: string,
    stallMs: string,
    count: string,
    what: string,
  ) {
    const state = usersScenario(this);
    const {fleet} = state;
    const planner = fleet.plannerIndex();
    assert.ok(planner >= 0, 'no gateway holds the planner role');
    const gateway = which === 'another' ? (planner + 1) % fleet.gateways.length : planner;
    const leaving = kind === 'engine' ? fleet.engines[0] : fleet.services[0];
    const path = what === 'orders' ? '/order/7' : '/draft/7';
    state.answers = await requestAfterStall(
      fleet,
      gateway,
      leaving,
      path,
      Number(count),
      Number(stallMs),
    );
    leavingReplicas.set(this, leaving);
  },
);

/** Sends drafts at once, and keeps their answers; `leaving` is the replica that they must not reach. */
async function sendDraftsBeside(
  world: FleetWorld,
  leaving: UsersReplica,
  count: number,
): Promise<void> {
  const state = usersScenario(world);
  leavingReplicas.set(world, leaving);
  const calls = Array.from({length: count}, () => state.fleet.call({path: '/draft/7'}));
  state.answers = await Promise.all(calls);
}

Given('the engines take {int} ms for a report', function (this: FleetWorld, delayMs: number) {
  for (const engine of usersScenario(this).fleet.engines) engine.reportDelayMs = delayMs;
});

When(
  '{int} drafts are sent, and the first engine leaves {int} ms later',
  async function (this: FleetWorld, count: number, delayMs: number) {
    const {fleet} = usersScenario(this);
    const [leaving] = fleet.engines;
    const sent = sendDraftsBeside(this, leaving, count);
    await sleep(CONNECT_MS + delayMs);
    fleet.register(leaving, 'draining');
    await sent;
  },
);

When(
  'the first engine reports leaving, and {int} drafts are sent',
  async function (this: FleetWorld, count: number) {
    const [leaving] = usersScenario(this).fleet.engines;
    leaving.reportsLeaving = true;
    await sendDraftsBeside(this, leaving, count);
  },
);

When(
  /^a request waits for (.+), and its replica is no longer to be used$/,
  async function (this: FleetWorld, awaited: AwaitedEvent) {
    waits.set(this, await waitInVain(awaited));
  },
);

Then(
  'the request ends as not started, and only {string} reach the replica on one connection',
  function (this: FleetWorld, paths: string) {
    const result = waits.get(this)!;
    assert.deepEqual(result, {endedNotStarted: true, paths: paths.split(' '), connections: 1});
  },
);

Then('none of them reached a replica that had left', function (this: FleetWorld) {
  assert.equal(leavingReplicas.get(this)!.arrivalsMs.length, 0);
});

Then(
  /^(.+) that arrived while the process stood still beyond its timeout is accepted$/,
  async (what: StalledCall) => {
    assert.ok(await acceptsAfterStall(what), 'it was taken for lost');
  },
);

Then(
  'a watch is answered within {int} ms when its last connection stalled in an idle time of {int} ms',
  async (maxMs: number, idleMs: number) => {
    const tookMs = await watchAfterIdling(idleMs);
    assert.ok(tookMs <= maxMs, `after ${tookMs} ms`);
  },
);

Then(
  'the next watch follows within {int} ms after a response that took {int} ms',
  async (maxMs: number, responseMs: number) => {
    const {nextWatchMs} = await watchSlowly(responseMs);
    assert.ok(nextWatchMs <= maxMs, `after ${nextWatchMs} ms`);
  },
);

Then(
  'a gateway knows of a leaving replica within {int} ms from a store that takes {int} ms after {int} ms without it',
  async (maxMs: number, latencyMs: number, silentMs: number) => {
    const tookMs = await readSlowStore(silentMs, latencyMs, 2 * maxMs);
    assert.ok(tookMs <= maxMs, `after ${tookMs} ms`);
  },
);

Then(
  'a removal relayed after {int} ms without the store takes effect at once',
  async (silentMs: number) => {
    assert.equal(await relayRemovalAfterOwnOutage(silentMs), false);
  },
);

When(
  'the store is silent for {int} ms, and the entries of {int} replicas are gone after that',
  async function (this: FleetWorld, silentMs: number, count: number) {
    const {fleet} = usersScenario(this);
    fleet.store.mode = 'silent';
    await sleep(silentMs);
    for (const {id} of fleet.services.slice(0, count)) fleet.store.remove(`servers/${id}`);
    fleet.store.mode = 'up';
    const [gateway] = fleet.gateways;
    await until('the missing entries', REGAIN_MS, async () =>
      gateway.process.log.join('').includes('missing after a store outage') ? true : undefined,
    );
  },
);

Then('the replica without an entry got none of them', function (this: FleetWorld) {
  assert.equal(usersScenario(this).fleet.services[0].runs.length, 0);
});

Then('the replicas without an entry got all of them', function (this: FleetWorld) {
  const {fleet, answers} = usersScenario(this);
  const [first, second] = fleet.services;
  assert.equal(first.runs.length + second.runs.length, answers.length);
});
