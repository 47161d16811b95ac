/** Steps that run the placement planner through random histories. */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {runPlacementHistories, type PlacementOutcome} from '../support/placement_history.ts';
import type {FleetWorld} from '../support/world.ts';

const outcomes = new WeakMap<FleetWorld, PlacementOutcome>();

When(
  '{int} random histories of {int} steps run with seed {int} on {int} replicas of {int} copies in 3 zones with {int} models',
  function (
    this: FleetWorld,
    runs: number,
    steps: number,
    seed: number,
    replicas: number,
    copiesPerReplica: number,
    models: number,
  ) {
    outcomes.set(
      this,
      runPlacementHistories(runs, steps, seed, {replicas, capacity: copiesPerReplica, models}),
    );
  },
);

Then('no replica was ever assigned more than its memory', function (this: FleetWorld) {
  assert.equal(outcomes.get(this)!.memoryOvercommits, 0);
});

Then("no removal ever unloaded a model's last ready copy", function (this: FleetWorld) {
  assert.equal(outcomes.get(this)!.lastCopyRemoved, 0);
});

Then(
  'whenever the plan was stable with all replicas up, every model had its floor of copies in 2 zones',
  function (this: FleetWorld) {
    const {floorsMissed, settledChecks: rests} = outcomes.get(this)!;
    assert.equal(floorsMissed, 0);
    assert.ok(rests > 0);
  },
);

Then(
  'whenever one zone was lost while the plan was stable, every model was still ready in another zone',
  function (this: FleetWorld) {
    assert.equal(outcomes.get(this)!.unreachableAfterZoneLoss, 0);
  },
);
