/** Steps that simulate requests that leave their availability zone. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {ZoneOverflow, type ZoneDecision, type ZoneOffer} from '@jasminepost/policy';
import {until} from '../support/fleet_process.ts';
import {UsersFleet} from '../support/users_fleet.ts';
import {replicas, usersScenario, usersScenarios} from '../support/users_scenario.ts';
import {chooseByZone, countTraffic, type ReplicaKind} from '../support/zone_choices.ts';
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
const lastReasons = new WeakMap<FleetWorld, string>();
const traffic = new WeakMap<FleetWorld, ReturnType<typeof countTraffic>>();
const METRICS_PORT = 9464;
const LOG_TIMEOUT_MS = 3000;

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

When(
  /^the gateway's overflow is "(on|off)" and (\d+) requests are sent in (\d+) s, where (models|service replicas) in its zone take (\d+) ms longer than in others and report (a|no) pace$/,
  function (
    this: FleetWorld,
    option: string,
    count: string,
    seconds: string,
    kind: ReplicaKind,
    slowerMs: string,
    pace: string,
  ) {
    const stepMs = (Number(seconds) * 1000) / Number(count);
    const load = {count: Number(count), stepMs, slowerMs: Number(slowerMs)};
    const reasons = chooseByZone(kind, load, option === 'on', pace === 'a');
    lastReasons.set(this, reasons.at(-1) ?? '');
  },
);

Then(
  'the last request leaves its zone with the reason {string}',
  function (this: FleetWorld, reason: string) {
    assert.equal(lastReasons.get(this), reason);
  },
);

When(
  'attempts with a body of {int} bytes get {int} and {int} bytes from another zone, and {int} bytes from the own zone',
  function (this: FleetWorld, body: number, first: number, second: number, own: number) {
    const counted = countTraffic(body);
    counted.attempt('zone-b', first);
    counted.attempt('zone-b', second);
    counted.attempt('zone-a', own);
    traffic.set(this, counted);
  },
);

Then(
  '{int} requests and {int} bytes of a service have left the zone',
  function (this: FleetWorld, requests: number, bytes: number) {
    const {metrics} = traffic.get(this)!;
    assert.equal(metrics.zoneRequests.get('service'), requests);
    assert.equal(metrics.zoneBytes.get('service'), bytes);
  },
);

Then(
  '{int} further attempts with {int} bytes set the expected bytes of an exchange to about {int}',
  function (this: FleetWorld, count: number, bytes: number, expected: number) {
    const counted = traffic.get(this)!;
    for (let i = 0; i < count; i++) counted.attempt('zone-a', bytes);
    assert.ok(Math.abs(counted.expectedBytes() - expected) < 1, String(counted.expectedBytes()));
  },
);

Given(
  "a users' fleet of {int} service replicas, {int} engines and {int} gateway with zone overflow",
  async function (this: FleetWorld, services: number, engines: number, gateways: number) {
    const fleet = new UsersFleet();
    fleet.gatewayFlags = ['--zone-overflow', 'on'];
    usersScenarios.set(this, {fleet, answers: [], pending: Promise.resolve([]), wasUnready: false});
    await fleet.start(services, engines, gateways);
  },
);

Given(
  'the replicas are in another zone and report a pace of {int}',
  async function (this: FleetWorld, pace: number) {
    const {fleet} = usersScenario(this);
    // The services' entries are written last: a read that is sent to zone-b shows that all are known.
    for (const replica of replicas(this).reverse()) {
      replica.extraHeaders = {'server-load': `1,0,8,${pace}`};
      replica.zone = 'zone-b';
      fleet.register(replica);
    }
    await until('a read sent to zone-b', LOG_TIMEOUT_MS, async () => {
      await fleet.call({path: '/read/x'});
      const text = fleet.gateways[0].process.log.join('');
      return /"request sent".*"zone":"zone-b"/.test(text) ? true : undefined;
    });
  },
);

When(
  '{int} drafts and {int} reads are sent one after the other',
  async function (this: FleetWorld, drafts: number, reads: number) {
    const {fleet} = usersScenario(this);
    for (let i = 0; i < drafts; i++) {
      // A model may not be loaded yet; a refused request has not left the zone.
      await until('a draft served', 10_000, async () => {
        const {status} = await fleet.call({path: '/draft/x', id: `zone-draft-${i}`});
        return status === 200 ? true : undefined;
      });
    }
    for (let i = 0; i < reads; i++) {
      assert.equal((await fleet.call({path: '/read/x', id: `zone-read-${i}`})).status, 200);
    }
  },
);

Then(
  'the last draft and the last read were logged as sent to another zone with the reason {string}',
  async function (this: FleetWorld, reason: string) {
    const {log} = usersScenario(this).fleet.gateways[0].process;
    for (const id of ['zone-draft-2', 'zone-read-2']) {
      const line = await until(`the log line of ${id}`, LOG_TIMEOUT_MS, async () =>
        log
          .join('')
          .split('\n')
          .find(text => text.includes('"request sent"') && text.includes(`"${id}"`)),
      );
      const fields = JSON.parse(line) as Record<string, unknown>;
      assert.equal(fields['zone'], 'zone-b');
      assert.equal(fields['leftZone'], true);
      assert.equal(fields['leaveReason'], reason);
      assert.equal(typeof fields['zoneShare'], 'number');
      assert.equal(typeof fields['loadAgeMs'], 'number');
    }
  },
);

Then(
  'the metrics count at least {int} requests to models and {int} to services that left the zone, and bytes of both',
  async function (this: FleetWorld, models: number, services: number) {
    const {ip} = usersScenario(this).fleet.gateways[0];
    const text = await (await fetch(`http://${ip}:${METRICS_PORT}/metrics`)).text();
    for (const [kind, count] of Object.entries({model: models, service: services})) {
      const found = new RegExp(`zone_requests\\{kind="${kind}"\\} (\\d+)`).exec(text);
      assert.ok(Number(found?.[1]) >= count, `${kind}: ${found?.[1]}`);
      assert.match(text, new RegExp(`zone_bytes\\{kind="${kind}"\\} [1-9]`));
    }
  },
);

function offerOf(text: string): ZoneOffer {
  if (text === 'full' || text === 'no_replica') return {kind: text};
  return {kind: 'available', costMs: Number(text)};
}
