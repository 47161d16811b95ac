/** Steps about connections that begin with the report of a replica. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {usersScenario} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

/** Time in which connections that are opened again and again would show. */
const WATCH_MS = 1000;

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
    await new Promise(resolve => setTimeout(resolve, WATCH_MS));
    const {connections} = fleet.engines[0];
    assert.ok(connections > 0 && connections <= maxConnections, `${connections} connections`);
  },
);
