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

/** By then a gateway holds the planner role; gateways exchange crash evidence through it. */
const PLANNER_ELECTION_MS = 2400;
/** By then gateways have sent a failure to each other and to the store. */
const PROPAGATION_MS = 1500;
const RESTART_MS = 4000;
/** Time until a crashed engine has restarted. */
const ENGINE_DOWNTIME_MS = 300;

function crashOnBody(
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
  async function (
    this: FleetWorld,
    body: string,
    afterMs: string | null,
    keepsEntry: string | null,
  ) {
    const {fleet} = usersScenario(this);
    crashOnBody(this, body, Number(afterMs ?? 0), replica => {
      if (keepsEntry === null) fleet.store.remove(`servers/${replica.id}`);
    });
    await sleep(PLANNER_ELECTION_MS);
  },
);

Given(
  'a draft with the body {string} crashes its engine, which restarts',
  async function (this: FleetWorld, body: string) {
    const {fleet} = usersScenario(this);
    crashOnBody(this, body, ENGINE_DOWNTIME_MS, replica => {
      const loadedModels = [...replica.models.keys()];
      const oldId = replica.id;
      void replica.restartAfter(ENGINE_DOWNTIME_MS, `${oldId}-again`).then(() => {
        for (const model of loadedModels) replica.models.set(model, new Set());
        fleet.register(replica);
        fleet.store.remove(`servers/${oldId}`);
      });
    });
    await sleep(PLANNER_ELECTION_MS);
  },
);

/** Sends a call to each gateway in turn, except for a suspended one. */
async function sendRoundRobin(
  world: FleetWorld,
  call: UsersCall,
  times: number,
  intervalMs: number,
) {
  const state = usersScenario(world);
  const running = state.fleet.gateways.map((_, i) => i).filter(i => i !== state.pausedGateway);
  for (let i = 0; i < times; i++) {
    const response = state.fleet.call({...call, gateway: running[i % running.length]});
    await sleep(intervalMs);
    state.answers.push(await response);
  }
}

When(
  'a caller sends the order {string} {int} times, to each gateway in turn, every {int} ms',
  {timeout: 30_000},
  async function (this: FleetWorld, body: string, times: number, intervalMs: number) {
    await sendRoundRobin(this, {path: '/order/7', body}, times, intervalMs);
  },
);

When(
  'a caller sends the order {string} {int} times and disconnects each time after {int} ms',
  {timeout: 30_000},
  async function (this: FleetWorld, body: string, times: number, leaveAfterMs: number) {
    await sendRoundRobin(
      this,
      {path: '/order/7', body, abortAfterMs: leaveAfterMs},
      times,
      PROPAGATION_MS,
    );
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
    await sleep(PROPAGATION_MS);
  },
);

When('both gateways are killed and restarted', async function (this: FleetWorld) {
  const {fleet} = usersScenario(this);
  await sleep(PROPAGATION_MS);
  await Promise.all(fleet.gateways.map(gateway => gateway.process.kill()));
  for (const index of fleet.gateways.keys()) fleet.restartGateway(index);
  await sleep(RESTART_MS);
});

When(
  'callers send the draft {string} {int} times at once, each of {int} tokens',
  async function (this: FleetWorld, body: string, count: number, tokens: number) {
    const state = usersScenario(this);
    const headers = {'token-usage': `${tokens},20`, 'prompt-prefix': `aa:50,bb:${tokens - 50}`};
    const calls = Array.from({length: count}, () =>
      state.fleet.call({path: '/draft/7', body, headers}),
    );
    state.answers.push(...(await Promise.all(calls)));
  },
);

Then('the request has crashed at most {int} replicas', function (this: FleetWorld, max: number) {
  const {crashes = 0} = usersScenario(this);
  assert.ok(crashes > 0, 'no replica has crashed');
  assert.ok(crashes <= max, String(crashes));
});

Then(
  'in {int} random series at most {int} attempts reach a replica later than {int} ms after the third crash',
  function (numRuns: number, max: number, afterMs: number) {
    fc.assert(
      fc.property(suspectRequests, series => countSendsAfterThirdCrash(series, afterMs) <= max),
      {numRuns, seed: 19},
    );
  },
);
