/** Steps that run the soak test briefly, with a fixed seed. */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {runSoak, type SoakReport} from '../../soak/soak_run.ts';
import {runRestoreSoak, runVersionSoak} from '../../soak/version_soak.ts';
import type {FleetWorld} from '../support/world.ts';

const reports = new WeakMap<FleetWorld, SoakReport>();

When(
  'the soak test runs with seed {int}',
  {timeout: 120_000},
  async function (this: FleetWorld, seed: number) {
    reports.set(this, await runSoak(seed));
  },
);

When(
  'the version soak runs with seed {int}',
  {timeout: 120_000},
  async function (this: FleetWorld, seed: number) {
    reports.set(this, await runVersionSoak(seed));
  },
);

When(
  'the restore soak runs with seed {int}',
  {timeout: 120_000},
  async function (this: FleetWorld, seed: number) {
    reports.set(this, await runRestoreSoak(seed));
  },
);

Then('no guarantee was broken', function (this: FleetWorld) {
  const {violations: broken, succeeded: answered, calls, logs} = reports.get(this)!;
  assert.deepEqual(broken, [], `${broken.join('\n')}\n${logs.slice(-5000)}`);
  assert.ok(answered > calls / 4, `${answered} of ${calls}`);
});
