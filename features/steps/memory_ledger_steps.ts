/** Steps that run the memory ledger through random histories. */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {runLedgerHistories, type LedgerOutcome, type Mechanism} from '../support/ledger_history.ts';
import type {FleetWorld} from '../support/world.ts';

const outcomes = new WeakMap<FleetWorld, LedgerOutcome>();

When(
  '{int} random histories of {int} steps run with seed {int} and fencing {string}',
  function (this: FleetWorld, runs: number, steps: number, seed: number, fencing: string) {
    const fencingMode = fencing === 'honoured' ? 'honoured' : 'ignored';
    outcomes.set(this, runLedgerHistories(runs, steps, seed, fencingMode, 'none'));
  },
);

When(
  '{int} random histories of {int} steps run with seed {int}, fencing {string} and without {string}',
  function (
    this: FleetWorld,
    runs: number,
    steps: number,
    seed: number,
    fencing: string,
    mechanism: string,
  ) {
    const fencingMode = fencing === 'honoured' ? 'honoured' : 'ignored';
    outcomes.set(this, runLedgerHistories(runs, steps, seed, fencingMode, mechanism as Mechanism));
  },
);

Then('no engine was ever asked to exceed its memory', function (this: FleetWorld) {
  assert.equal(outcomes.get(this)!.overcommits, 0);
});

Then('an engine was asked to exceed its memory', function (this: FleetWorld) {
  assert.ok(outcomes.get(this)!.overcommits > 0);
});

Then('at least {int} loads took effect', function (this: FleetWorld, loads: number) {
  const found = outcomes.get(this)!.loads;
  assert.ok(found >= loads, `${found} loads`);
});
