/** Steps about refusals that a replica writes again. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  RepeatedRefusal,
  type RepeatedRefusalKind,
} from '../../stand_ins/users_platform/repeated_refusal.ts';
import {replicas, usersScenario} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

/** Statuses that tell a caller that its request has not run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];

Given(
  /^the replica refuses the first request of a connection, and again before the second response, (.+)$/,
  function (this: FleetWorld, kind: RepeatedRefusalKind) {
    for (const replica of replicas(this)) replica.repeatedRefusal = new RepeatedRefusal(kind);
  },
);

When('callers send 2 orders, one after the other', async function (this: FleetWorld) {
  const {fleet, answers} = usersScenario(this);
  for (const id of ['first', 'second']) answers.push(await fleet.call({path: '/order/7', id}));
});

Then(
  'the second order has run once, and its caller is not told otherwise',
  function (this: FleetWorld) {
    const [first, second] = usersScenario(this).answers;
    assert.equal(first.status, 503);
    const runs = replicas(this).flatMap(replica => replica.runs);
    assert.deepEqual(
      runs.map(({id}) => id),
      ['second'],
    );
    assert.ok(!NOT_RUN_STATUSES.includes(second.status), String(second.status));
  },
);

Then('the replica gets the next order at once', async function (this: FleetWorld) {
  const {fleet} = usersScenario(this);
  for (const replica of replicas(this)) replica.repeatedRefusal = undefined;
  const {status, body} = await fleet.call({path: '/order/7'});
  assert.equal(status, 200, body);
});
