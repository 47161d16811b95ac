/** Steps about the state that gateways, stewards and the planner share with each other. */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import type {LoadAudience} from '../../apps/steward/src/lib/load_subscriptions.ts';
import {runIndexHistories, type IndexHistory} from '../support/model_index_history.ts';
import {runLoadHistories, type LoadOutcome} from '../support/load_history.ts';
import {simulateLoadReports, type LoadReportRates} from '../support/load_report_simulation.ts';
import {countReplicasWithWeights} from '../support/cached_weights_planning.ts';
import {runStateChanges, type StateChangeHistory} from '../support/state_change_history.ts';
import type {FleetWorld} from '../support/world.ts';

const loadOutcomes = new WeakMap<FleetWorld, LoadOutcome>();
const loadDeliveries = new WeakMap<FleetWorld, LoadReportRates>();
const checkedAudience = new WeakMap<FleetWorld, LoadAudience>();
const stateReplays = new WeakMap<FleetWorld, StateChangeHistory>();
const indexHistories = new WeakMap<FleetWorld, IndexHistory>();
const cachedReplicaCounts = new WeakMap<FleetWorld, readonly number[]>();

When(
  '{int} random histories of loads from the weight store are simulated with seed {int}',
  function (this: FleetWorld, runs: number, seed: number) {
    loadOutcomes.set(this, runLoadHistories(runs, seed));
  },
);

Then('no window held more loads than the limit', function (this: FleetWorld) {
  assert.equal(loadOutcomes.get(this)!.overLimit, 0);
});

Then(
  'at least {int} loads began in each history on average',
  function (this: FleetWorld, min: number) {
    const {loads: started, histories: played} = loadOutcomes.get(this)!;
    assert.ok(started >= min * played, `${started} in ${played}`);
  },
);

When(
  "a steward reports its replica's load for {int} s",
  async function (this: FleetWorld, seconds: number) {
    loadDeliveries.set(this, await simulateLoadReports(seconds));
  },
);

Then(
  'a gateway that is {word} gets the load at most {float} times a second',
  function (this: FleetWorld, audience: LoadAudience, max: number) {
    checkedAudience.set(this, audience);
    const perSecond = loadDeliveries.get(this)!.perSecond[audience];
    assert.ok(perSecond <= max, String(perSecond));
  },
);

Then('it gets the load at least every {int} ms', function (this: FleetWorld, gapMs: number) {
  const longestMs = loadDeliveries.get(this)!.longestGapMs[checkedAudience.get(this)!];
  assert.ok(longestMs <= gapMs, String(longestMs));
});

When(
  '{int} random series of states are sent as changes, with seed {int}',
  function (this: FleetWorld, runs: number, seed: number) {
    stateReplays.set(this, runStateChanges(runs, seed));
  },
);

Then('the receiver always had the latest state', function (this: FleetWorld) {
  const {series, mismatches: wrong} = stateReplays.get(this)!;
  assert.ok(series > 0);
  assert.equal(wrong, 0);
});

Then(
  'the change of an adapter takes less than half the bytes of the full state',
  function (this: FleetWorld) {
    const {adapterChangeBytes: adapterBytes, fullStateBytes: wholeBytes} = stateReplays.get(this)!;
    assert.ok(adapterBytes < wholeBytes / 2, `${adapterBytes} of ${wholeBytes}`);
  },
);

When(
  '{int} random histories of replicas are simulated with seed {int}',
  function (this: FleetWorld, runs: number, seed: number) {
    indexHistories.set(this, runIndexHistories(runs, seed));
  },
);

Then(
  'the index of replicas by model always matched a scan of every replica',
  function (this: FleetWorld) {
    const {mismatches: wrong, nonEmpty: found, histories: played} = indexHistories.get(this)!;
    assert.equal(wrong, 0);
    assert.ok(found > played, `${found} in ${played}`);
  },
);

When(
  'a fleet of {int} replicas without demand is planned until no move is left, with loads of {float} s from the store and {float} s from disk',
  function (this: FleetWorld, replicas: number, storeS: number, diskS: number) {
    cachedReplicaCounts.set(this, countReplicasWithWeights(replicas, storeS, diskS));
  },
);

Then(
  "each model's weights are loaded or cached at {int} to {int} replicas",
  function (this: FleetWorld, min: number, max: number) {
    const counts = cachedReplicaCounts.get(this)!;
    assert.ok(
      counts.every(count => count >= min && count <= max),
      counts.join(' '),
    );
  },
);
