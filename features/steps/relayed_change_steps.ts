/** Steps about messages between the planner's gateway and the others. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {checkByteRate, checkEvidence} from '../support/report_queue_history.ts';
import {floodReports, type ReportFlood} from '../support/report_flood.ts';
import type {FleetWorld} from '../support/world.ts';

const HOLD_TIMEOUT_MS = 3000;

const gatewayCounts = new WeakMap<FleetWorld, number>();
const floods = new WeakMap<FleetWorld, ReportFlood>();

Given(
  "{int} gateways that are linked to the planner's gateway",
  function (this: FleetWorld, gateways: number) {
    gatewayCounts.set(this, gateways);
  },
);

When(
  '{int} replicas crash while each gateway sends requests with the same prompt parts',
  async function (this: FleetWorld, crashes: number) {
    floods.set(this, await floodReports(gatewayCounts.get(this)!, crashes, HOLD_TIMEOUT_MS));
  },
);

Then(
  'no gateway receives more than {int} bytes a second',
  function (this: FleetWorld, maxBytesPerS: number) {
    const {bytesPerS} = floods.get(this)!;
    assert.ok(bytesPerS <= maxBytesPerS, `${Math.round(bytesPerS)} bytes a second`);
  },
);

Then(
  "every replica's change in the store is relayed within {int} ms",
  function (this: FleetWorld, maxMs: number) {
    const {slowestRelayMs} = floods.get(this)!;
    assert.ok(slowestRelayMs <= maxMs, `one took ${slowestRelayMs} ms`);
  },
);

Then(
  'every gateway holds the crashing prompt part {int} ms after the last crash',
  function (this: FleetWorld, maxMs: number) {
    const {heldAfterMs} = floods.get(this)!;
    assert.ok(heldAfterMs <= maxMs, `after ${heldAfterMs} ms`);
  },
);

Then(
  'in {int} random series a receiver of queued reports decides as one that gets each at once',
  (runs: number) => checkEvidence(runs),
);

Then(
  "in {int} random series no second's reports exceed the byte rate and one report",
  (runs: number) => checkByteRate(runs),
);
