/** Steps about headers of replicas that no code reads. */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import type {FleetProcess} from '../support/fleet_process.ts';
import {usersScenario, replicas} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

function countUnreadHeaderLines({log}: FleetProcess, name: string): number {
  const lines = log.join('').split('\n');
  return lines.filter(line => line.includes('header is not read') && line.includes(name)).length;
}

When('all replicas send {string} in each response', function (this: FleetWorld, header: string) {
  const [name, value] = header.split(': ');
  for (const replica of replicas(this)) replica.extraHeaders = {[name]: value};
});

When(
  'a caller sends {int} orders, and each response has a different header',
  async function (this: FleetWorld, count: number) {
    const {fleet} = usersScenario(this);
    for (let i = 0; i < count; i++) {
      replicas(this)[0].extraHeaders = {[`server-color-${i}`]: 'green'};
      await fleet.call({path: '/order/7'});
    }
  },
);

Then(
  'the gateway and the steward have logged {string} once',
  function (this: FleetWorld, name: string) {
    const {fleet} = usersScenario(this);
    const counts = [fleet.gateways[0].process, fleet.stewards[0]].map(each =>
      countUnreadHeaderLines(each, name),
    );
    assert.deepEqual(counts, [1, 1]);
  },
);

Then('the gateway has logged {int} headers', function (this: FleetWorld, count: number) {
  assert.equal(
    countUnreadHeaderLines(usersScenario(this).fleet.gateways[0].process, 'server-color'),
    count,
  );
});
