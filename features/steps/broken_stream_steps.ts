/** Steps about streams that break off, and engines that should resume them. */
import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import type {StreamFault} from '../../stand_ins/users_platform/replica_stream.ts';
import type {UsersResponse} from '../support/users_fleet.ts';
import {usersScenario} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

const ALL_EVENTS = [1, 2, 3, 4].map(id => `id: ${id}\ndata: piece ${id}\n\n`).join('');

Given(
  "the engines' streams have the fault {string}",
  function (this: FleetWorld, fault: StreamFault) {
    for (const engine of usersScenario(this).fleet.engines) engine.streamFault = fault;
  },
);

Then('no stream is complete', function (this: FleetWorld) {
  const {answers} = usersScenario(this);
  assert.ok(answers.length > 0);
  for (const {status, cut, body} of answers) assert.ok(cut || status !== 200, body);
});

Then('every stream has only events of its own, in order', function (this: FleetWorld) {
  for (const {body} of startedStreams(this)) assert.ok(ALL_EVENTS.startsWith(body), body);
});

Then('a complete stream has all of its events', function (this: FleetWorld) {
  const streams = startedStreams(this);
  assert.ok(streams.length > 0, JSON.stringify(usersScenario(this).answers));
  for (const {cut, body} of streams) if (!cut) assert.equal(body, ALL_EVENTS);
});

/** Responses that are streams; one that is cut by a reset has lost its status. */
function startedStreams(world: FleetWorld): UsersResponse[] {
  return usersScenario(world).answers.filter(({status}) => status === 200 || status === 0);
}
