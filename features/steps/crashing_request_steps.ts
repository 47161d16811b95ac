/** Steps about requests that crash their replicas. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {sleep} from '@jasminepost/core';
import type {UsersReplica} from '../../stand_ins/users_platform/replica.ts';
import {suspectRequests, countSendsAfterThirdCrash} from '../support/crash_history.ts';
import type {UsersCall} from '../support/users_fleet.ts';
import {usersScenario, replicas} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

/** The planner's role is taken by then: gateways tell each other by way of its holder. */
const ROLE_MS = 2400;
/** Gateways have told each other and the store by then. */
const TOLD_MS = 1500;
const RESTARTED_MS = 4000;
/** A crashed engine is back after this. */
const ENGINE_DOWN_MS = 300;

function setCrash(
  world: FleetWorld,
  body: string,
  afterMs: number,
  onCrash: (replica: UsersReplica) => void,
): void {
  for (const replica of replicas(world)) {
    replica.crashingBody = body;
    replica.crashAfterMs = afterMs;
    replica.onCrash = () => {
      usersScenario(world).crashes = (usersScenario(world).crashes ?? 0) + 1;
      onCrash(replica);
    };
  }
}

Given(
  /^an order with the body "(\w+)" crashes its replica(?: after (\d+) ms)?(, whose entry stays)?$/,
  async function (this: FleetWorld, body: string, afterMs: string | null, stays: string | null) {
    const {fleet} = usersScenario(this);
    setCrash(this, body, Number(afterMs ?? 0), replica => {
      if (stays === null) fleet.store.remove(`servers/${replica.id}`);
    });
    await sleep(ROLE_MS);
  },
);

Given(
  'a draft with the body {string} crashes its engine, which comes back',
  async function (this: FleetWorld, body: string) {
    const {fleet} = usersScenario(this);
    setCrash(this, body, ENGINE_DOWN_MS, replica => {
      const held = [...replica.models.keys()];
      const before = replica.id;
      void replica.downFor(ENGINE_DOWN_MS, `${before}-again`).then(() => {
        for (const model of held) replica.models.set(model, new Set());
        fleet.register(replica);
        fleet.store.remove(`servers/${before}`);
      });
    });
    await sleep(ROLE_MS);
  },
);

/** Sends a call to each gateway in turn, but for one that stands still. */
async function sendInTurn(world: FleetWorld, call: UsersCall, times: number, everyMs: number) {
  const found = usersScenario(world);
  const serving = found.fleet.gateways.map((_, i) => i).filter(i => i !== found.pausedGateway);
  for (let i = 0; i < times; i++) {
    const answer = found.fleet.call({...call, gateway: serving[i % serving.length]});
    await sleep(everyMs);
    found.answers.push(await answer);
  }
}

When(
  'a caller sends the order {string} {int} times, to each gateway in turn, every {int} ms',
  {timeout: 30_000},
  async function (this: FleetWorld, body: string, times: number, everyMs: number) {
    await sendInTurn(this, {path: '/order/7', body}, times, everyMs);
  },
);

When(
  'a caller sends the order {string} {int} times and leaves each time after {int} ms',
  {timeout: 30_000},
  async function (this: FleetWorld, body: string, times: number, leaveAfterMs: number) {
    await sendInTurn(this, {path: '/order/7', body, abortAfterMs: leaveAfterMs}, times, TOLD_MS);
  },
);

When(
  '{int} callers send the order {string} at once, one to each gateway',
  async function (this: FleetWorld, count: number, body: string) {
    const {fleet} = usersScenario(this);
    const calls = Array.from({length: count}, (_, gateway) =>
      fleet.call({path: '/order/7', body, gateway: gateway % fleet.gateways.length}),
    );
    await Promise.all(calls);
    await sleep(TOLD_MS);
  },
);

When('both gateways are killed and start again', async function (this: FleetWorld) {
  const {fleet} = usersScenario(this);
  await sleep(TOLD_MS);
  await Promise.all(fleet.gateways.map(gateway => gateway.process.kill()));
  for (const index of fleet.gateways.keys()) fleet.restartGateway(index);
  await sleep(RESTARTED_MS);
});

When(
  'callers send the draft {string} {int} times at once, each of {int} tokens',
  async function (this: FleetWorld, body: string, count: number, tokens: number) {
    const found = usersScenario(this);
    const headers = {'token-usage': `${tokens},20`, 'prompt-prefix': `aa:50,bb:${tokens - 50}`};
    const calls = Array.from({length: count}, () =>
      found.fleet.call({path: '/draft/7', body, headers}),
    );
    found.answers.push(...(await Promise.all(calls)));
  },
);

Then('the request has ended at most {int} replicas', function (this: FleetWorld, most: number) {
  const {crashes = 0} = usersScenario(this);
  assert.ok(crashes > 0, 'no replica has ended');
  assert.ok(crashes <= most, String(crashes));
});

Then(
  'in {int} drawn series at most {int} sends reach replicas later than {int} ms after the third crash',
  function (series: number, most: number, contactMs: number) {
    fc.assert(
      fc.property(suspectRequests, drawn => countSendsAfterThirdCrash(drawn, contactMs) <= most),
      {numRuns: series, seed: 19},
    );
  },
);
