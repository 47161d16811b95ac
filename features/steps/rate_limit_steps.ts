/** Steps about replicas with a rate limit. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {sleep} from '@jasminepost/core';
import {maxOverLimit} from '../../stand_ins/users_platform/rate_limit_window.ts';
import type {UsersReplica} from '../../stand_ins/users_platform/replica.ts';
import {PLANNER_ELECTION_MS, runDisturbance} from '../support/disturbance.ts';
import {permitSeries, simulatePermits} from '../support/permit_history.ts';
import type {UsersFleet} from '../support/users_fleet.ts';
import {usersScenario, replicas} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

/** Longest time for outstanding responses. */
const RESPONSE_TIMEOUT_MS = 3500;

/** When each replica set its current limit. */
const limitSetMs = new WeakMap<UsersReplica, number>();

function setLimit(replica: UsersReplica, limit: string): void {
  const values = limit.split('; ');
  replica.rateLimitHeader = values.length === 1 ? limit : values;
  limitSetMs.set(replica, performance.now());
}

function assertWithinLimit(
  {rateLimitHeader: limit, arrivalsMs}: UsersReplica,
  sinceMs: number,
): void {
  const excess = maxOverLimit(arrivalsMs, Number(limit), sinceMs);
  assert.ok(excess <= 0, `${excess} more requests in a window than allowed`);
}

/** Sends calls at a steady rate, each path in turn, to each running gateway in turn. */
async function sendAtRate(
  world: FleetWorld,
  paths: readonly string[],
  perS: number,
  durationMs: number,
): Promise<void> {
  const state = usersScenario(world);
  const calls: Array<ReturnType<UsersFleet['call']>> = [];
  const startMs = performance.now();
  while (performance.now() < startMs + durationMs) {
    const running = state.fleet.gateways.map((_, i) => i).filter(i => i !== state.pausedGateway);
    const {length} = calls;
    const gateway = running[Math.floor(length / paths.length) % running.length];
    calls.push(state.fleet.call({path: paths[length % paths.length], gateway}));
    await sleep(startMs + ((length + 1) * 1000) / perS - performance.now());
  }
  state.answers.push(...(await Promise.all(calls)));
}

Given('a gateway holds the planner role', async () => {
  await sleep(PLANNER_ELECTION_MS);
});

When(
  'the replica that served a request sets a rate limit of {string} requests a second',
  async function (this: FleetWorld, limit: string) {
    const {fleet} = usersScenario(this);
    await fleet.call({path: fleet.engines.length > 0 ? '/draft/7' : '/order/7'});
    setLimit(
      replicas(this).find(({runs}) => runs.length > 0)!,
      limit,
    );
  },
);

When(
  'all replicas set a rate limit of {string} requests a second',
  function (this: FleetWorld, limit: string) {
    for (const replica of replicas(this)) setLimit(replica, limit);
  },
);

When('all replicas lift their rate limit', function (this: FleetWorld) {
  for (const replica of replicas(this)) replica.rateLimitHeader = undefined;
});

When(
  /^callers send (\d+) (order|draft)s a second for (\d+) ms, to each gateway in turn$/,
  {timeout: 30_000},
  async function (this: FleetWorld, perS: string, what: string, durationMs: string) {
    await sendAtRate(this, [`/${what}/7`], Number(perS), Number(durationMs));
  },
);

When(
  /^callers send (\d+) orders and drafts a second for (\d+) ms while (.+)$/,
  {timeout: 40_000},
  async function (this: FleetWorld, perS: string, durationMs: string, what: string) {
    await sleep(PLANNER_ELECTION_MS);
    const disturbanceDone = runDisturbance(this, what);
    await sendAtRate(this, ['/order/7', '/draft/7'], Number(perS), Number(durationMs));
    await disturbanceDone;
  },
);

When(
  '{int} callers send an order at once to the second gateway',
  {timeout: RESPONSE_TIMEOUT_MS * 3},
  async function (this: FleetWorld, count: number) {
    const state = usersScenario(this);
    const calls = Array.from({length: count}, () =>
      state.fleet.call({path: '/order/7', gateway: 1}),
    );
    state.answers.push(...(await Promise.all(calls)));
  },
);

Then(
  'no replica got more requests in any 4 s than its rate limit allows',
  function (this: FleetWorld) {
    const limited = replicas(this).filter(({rateLimitHeader: limit}) => limit !== undefined);
    assert.ok(limited.length > 0);
    for (const replica of limited) assertWithinLimit(replica, limitSetMs.get(replica)!);
  },
);

Then('each replica got at least {int} requests', function (this: FleetWorld, min: number) {
  for (const {arrivalsMs} of replicas(this)) {
    assert.ok(arrivalsMs.length >= min, String(arrivalsMs.length));
  }
});

Then('each replica got at most {int} requests', function (this: FleetWorld, max: number) {
  for (const {arrivalsMs} of replicas(this)) {
    assert.ok(arrivalsMs.length <= max, String(arrivalsMs.length));
  }
});

Then('each refusal has a Retry-After', function (this: FleetWorld) {
  for (const {status, headers, cut} of usersScenario(this).answers) {
    assert.deepEqual([status === 200 || status === 503, cut], [true, false], String(status));
    if (status === 503) assert.ok(Number(headers['retry-after']) > 0);
  }
});

Then(
  'in {int} random series no 4 s have more requests than a rate limit allows',
  {timeout: 60_000},
  (numRuns: number) => {
    fc.assert(
      fc.property(permitSeries, series => simulatePermits(series).maxShare <= 1),
      {numRuns, seed: 23},
    );
  },
);

Then(
  'in {int} random series at least half of the requests that a rate limit allows are sent',
  {timeout: 60_000},
  (numRuns: number) => {
    fc.assert(
      fc.property(permitSeries, drawn => {
        const series = {...drawn, changes: [], slowMs: drawn.usualDelayMs};
        const {sent} = simulatePermits(series);
        return sent >= Math.floor((0.5 * series.perS * series.durationMs) / 1000);
      }),
      {numRuns, seed: 23},
    );
  },
);
