/** Steps that simulate requests that leave their availability zone. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {ZoneOverflow, type ZoneDecision, type ZoneOffer} from '@jasminepost/policy';
import {replayZones, type ZoneLoad, type ZoneOutcome} from '../support/zone_replay.ts';
import type {FleetWorld} from '../support/world.ts';

type FleetLoad = Omit<ZoneLoad, 'seed' | 'durationMs'>;

const CALM: FleetLoad = {
  replicas: [9, 9, 9],
  gatewaysPerZone: 9,
  rate: () => 50,
  roundTripMs: () => 2,
  reportMs: 200,
};
const SMALL_ZONE: FleetLoad = {...CALM, replicas: [3, 9, 9]};

const LOADS: Readonly<Record<string, FleetLoad>> = {
  'a third of the replicas in one zone': {...SMALL_ZONE, rate: () => 68},
  'all callers in one zone from 8 s to 20 s': {
    ...CALM,
    rate: (zone, atMs) => (atMs < 8000 || atMs > 20_000 ? 50 : zone === 0 ? 150 : 0),
  },
  'a slow link from a small zone': {...SMALL_ZONE, roundTripMs: () => 600},
  'small zones beside a large one': {
    ...CALM,
    replicas: [9, 3, 3],
    rate: zone => (zone === 0 ? 50 : 25),
  },
  'load reports every 1000 ms': {...SMALL_ZONE, reportMs: 1000},
  'load reports every 2000 ms': {...SMALL_ZONE, reportMs: 2000},
  'no replica in one zone': {...SMALL_ZONE, replicas: [0, 9, 9], rate: () => 40},
};

const loads = new WeakMap<FleetWorld, FleetLoad>();
const outcomes = new WeakMap<FleetWorld, {fixed: ZoneOutcome; overflow: ZoneOutcome}>();
const decisions = new WeakMap<FleetWorld, ZoneDecision>();

Given(/^27 gateways in three zones with (.+)$/, function (this: FleetWorld, name: string) {
  loads.set(this, LOADS[name]);
});

When(
  'the requests are simulated for {int} s with seed {int}, at a fixed cost and with overflow',
  function (this: FleetWorld, seconds: number, seed: number) {
    const load = {...loads.get(this)!, seed, durationMs: seconds * 1000};
    outcomes.set(this, {
      fixed: replayZones(load, 'fixed cost'),
      overflow: replayZones(load, 'overflow'),
    });
  },
);

When(
  'a gateway decides {int} requests in {int} s, where the own zone offers {string} and the others {string} at a price of {int} ms',
  function (
    this: FleetWorld,
    count: number,
    seconds: number,
    home: string,
    away: string,
    crossingMs: number,
  ) {
    const overflow = new ZoneOverflow();
    for (let index = 0; index < count; index++) {
      const decision = overflow.decide({
        nowMs: (index * seconds * 1000) / count,
        home: offerOf(home),
        away: offerOf(away),
        crossingMs,
        ageMs: 0,
        waitedMs: 0,
        draw: 0.1,
      });
      decisions.set(this, decision);
    }
  },
);

Then(
  'at least {int} in 100 as many requests are on time as at a fixed cost',
  function (this: FleetWorld, percent: number) {
    const {fixed, overflow} = outcomes.get(this)!;
    const message = `${overflow.onTime} against ${fixed.onTime} of ${fixed.asked}`;
    assert.ok(overflow.onTime * 100 >= fixed.onTime * percent, message);
  },
);

Then(
  'at most {int} in 100 as many bytes cross as at a fixed cost',
  function (this: FleetWorld, percent: number) {
    const {fixed, overflow} = outcomes.get(this)!;
    const message = `${overflow.crossedBytes} against ${fixed.crossedBytes}`;
    assert.ok(overflow.crossedBytes * 100 <= fixed.crossedBytes * percent, message);
  },
);

Then(
  'from {int} s on the mean share stays between {int} and {int} in 100, within a range of {int}',
  function (this: FleetWorld, fromS: number, least: number, most: number, range: number) {
    const seconds = outcomes.get(this)!.overflow.seconds.slice(fromS);
    const shares = seconds.map(({meanShare}) => meanShare * 100);
    const lowest = Math.min(...shares);
    const highest = Math.max(...shares);
    assert.ok(lowest >= least && highest <= most, `${lowest} to ${highest}`);
    assert.ok(highest - lowest <= range, `${lowest} to ${highest}`);
  },
);

Then(
  'from {int} s to {int} s at least {int} in 100 requests leave the first zone in each second',
  function (this: FleetWorld, fromS: number, toS: number, percent: number) {
    for (const {sent, left} of outcomes.get(this)!.overflow.seconds.slice(fromS, toS)) {
      assert.ok(left * 100 >= sent * percent, `${left} of ${sent}`);
    }
  },
);

Then(
  'from {int} s to {int} s at most {int} in 100 requests leave the first zone in each second',
  function (this: FleetWorld, fromS: number, toS: number, percent: number) {
    for (const {sent, left} of outcomes.get(this)!.overflow.seconds.slice(fromS, toS)) {
      assert.ok(left * 100 <= sent * percent, `${left} of ${sent}`);
    }
  },
);

Then('the last of them stays', function (this: FleetWorld) {
  assert.equal(decisions.get(this)!.kind, 'stay');
});

Then('the last of them leaves for {string}', function (this: FleetWorld, reason: string) {
  const decision = decisions.get(this)!;
  assert.equal(decision.kind === 'leave' ? decision.reason : 'stays', reason);
});

function offerOf(text: string): ZoneOffer {
  if (text === 'full' || text === 'no_replica') return {kind: text};
  return {kind: 'available', costMs: Number(text)};
}
