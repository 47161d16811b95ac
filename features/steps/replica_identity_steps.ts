/** Steps about connections that begin with the report of a replica. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {sleep} from '@jasminepost/core';
import {replaceInPlace} from '../support/replace_in_place.ts';
import {usersScenario} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

/** Time in which connections that are opened again and again would show. */
const WATCH_MS = 1000;
const EVENT_MS = 400;
/** Time in which every stream has its first event, and the events of one. */
const START_MS = 250;
const STREAM_EVENTS = 4;
const STREAM_TIMEOUT_MS = 15_000;
const SETTLE_MS = 800;

Given('the stewards stand still', function (this: FleetWorld) {
  for (const steward of usersScenario(this).fleet.stewards) steward.signal('SIGSTOP');
});

Given(
  'each report of the engines is followed by {string}',
  function (this: FleetWorld, bytes: string) {
    for (const engine of usersScenario(this).fleet.engines) {
      engine.bytesAfterReport = bytes.replaceAll('\\r', '\r').replaceAll('\\n', '\n');
      engine.connections = 0;
    }
  },
);

When('a caller sends 1 draft', async function (this: FleetWorld) {
  const {fleet, answers} = usersScenario(this);
  answers.push(await fleet.call({path: '/draft/1'}));
});

Then(
  'the answer is {int} within {int} ms, after at most {int} connections',
  async function (this: FleetWorld, status: number, maxMs: number, maxConnections: number) {
    const {fleet, answers} = usersScenario(this);
    assert.equal(answers[0].status, status, answers[0].body);
    assert.ok(answers[0].tookMs < maxMs, `took ${answers[0].tookMs} ms`);
    await sleep(WATCH_MS);
    const {connections} = fleet.engines[0];
    assert.ok(connections > 0 && connections <= maxConnections, `${connections} connections`);
  },
);

When(
  /^(\d+) streams run and (\d+) engines restart with version (v\d)$/,
  {timeout: 2 * STREAM_TIMEOUT_MS},
  async function (this: FleetWorld, count: number, replaced: number, version: string) {
    const {fleet, answers} = usersScenario(this);
    fleet.configure({timeoutMs: STREAM_TIMEOUT_MS});
    for (const engine of fleet.engines) engine.eventMs = EVENT_MS;
    await sleep(SETTLE_MS);
    const streams = Array.from({length: Number(count)}, async (_, i) =>
      fleet.call({
        path: `/long/${i}`,
        body: `prompt ${i}`,
        headers: {'prompt-prefix': `${i}:100`, 'deadline-ms': String(STREAM_TIMEOUT_MS)},
      }),
    );
    await sleep(START_MS);
    await replaceInPlace(fleet.engines.slice(0, replaced), version, 0);
    answers.push(...(await Promise.all(streams)));
  },
);

Then('all streams are answered whole at one version', function (this: FleetWorld) {
  const {answers} = usersScenario(this);
  const whole = answers.filter(({status, cut, body}) => {
    const events = [...body.matchAll(/^data: piece/gm)].length;
    return status === 200 && !cut && events === STREAM_EVENTS;
  });
  assert.equal(whole.length, answers.length, JSON.stringify(answers));
});
