/** Steps about gateways whose list of replicas is old. */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {requestAfterStall, type StalledGatewayResult} from '../support/stalled_gateway.ts';
import {usersScenario} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

const stalls = new WeakMap<FleetWorld, StalledGatewayResult>();

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
    const result = await requestAfterStall(
      fleet,
      gateway,
      [leaving],
      path,
      Number(count),
      Number(stallMs),
    );
    stalls.set(this, result);
    state.answers = [...result.responses];
  },
);

Then('none of them reached a replica that had left', function (this: FleetWorld) {
  const {arrivalsAtLeft} = stalls.get(this)!;
  assert.equal(arrivalsAtLeft, 0);
});
