/** Steps about messages between the planner's gateway and the others. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {checkRelayedAge, relayLate, watchSlowly} from '../support/known_age.ts';
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

Then('every gateway knows how old the relayed changes are', function (this: FleetWorld) {
  assert.ok(floods.get(this)!.areAllDated, 'changes arrived without an echo');
});

Then(
  'a gateway to which changes of {int} ms before are relayed knows of a leaving replica within {int} ms',
  async (ageMs: number, maxMs: number) => {
    const tookMs = await relayLate(ageMs, maxMs);
    assert.ok(tookMs <= maxMs, `after ${tookMs} ms`);
  },
);

Then(
  'what a gateway knows is at least {int} ms old after a response that took {int} ms',
  async (minAgeMs: number, responseMs: number) => {
    const {ageMs} = await watchSlowly(responseMs);
    // A timer may fire up to a millisecond early.
    assert.ok(ageMs >= minAgeMs - 1, `${ageMs} ms`);
  },
);

Then('in {int} random cases relayed changes never look fresher than they are', (runs: number) =>
  checkRelayedAge(runs),
);

Then(
  'in {int} random series a receiver of queued reports decides as one that gets each at once',
  (runs: number) => checkEvidence(runs),
);

Then(
  "in {int} random series no second's reports exceed the byte rate and one report",
  (runs: number) => checkByteRate(runs),
);
