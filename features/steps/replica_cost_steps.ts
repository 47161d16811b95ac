/** Steps about the expected cost of replicas that report their pace, and about silent streams. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {parseReplicaResponseHead} from '@jasminepost/platform';
import {chooseEngine, decideStall} from '@jasminepost/policy';
import {Attempt} from '../../apps/gateway/src/lib/attempt.ts';
import {PrefillEstimator} from '../../apps/gateway/src/lib/prefill_estimator.ts';
import {
  replayCosts,
  requestOf,
  simulatedReplica,
  type CostOutcome,
  type PaceOf,
} from '../support/cost_replay.ts';
import {usersScenario} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

const FAST_PACE = 0.7;
/** Time for the close of a connection to be noticed, beside a request on another one. */
const MAX_OVERLAP_MS = 100;
const outcomes = new WeakMap<FleetWorld, {with: CostOutcome; without: CostOutcome}>();

/** A pace that changes ten times a second; differs between replicas. */
function changing(replica: number, nowMs: number): number {
  const phase = Math.imul(Math.floor(nowMs / 100) * 34 + replica, 0x9e3779b1) >>> 0;
  return phase < 2 ** 30 ? 2.5 * FAST_PACE : FAST_PACE;
}

const PACES: Readonly<Record<string, PaceOf>> = {
  'a third 2.5 to 6 times slower': replica => {
    const slower = replica % 3 === 0 ? 2.5 + (3.5 * replica) / 33 : 1;
    return {actual: FAST_PACE * slower, reported: FAST_PACE * slower};
  },
  'paces that change ten times a second': (replica, nowMs) => {
    const pace = changing(replica, nowMs);
    return {actual: pace, reported: pace};
  },
  'one that reports 1 and works at 400': (replica, nowMs) => {
    const pace = changing(replica, nowMs);
    return replica === 0 ? {actual: 4, reported: 0.01} : {actual: pace, reported: pace};
  },
};

When(
  '{int} requests per second go from 27 gateways to 34 replicas, {string}, with seed {int}',
  function (this: FleetWorld, perS: number, paces: string, seed: number) {
    const paceOf = PACES[paces];
    outcomes.set(this, {
      with: replayCosts(paceOf, perS, seed),
      without: replayCosts((...at) => ({...paceOf(...at), reported: undefined}), perS, seed),
    });
  },
);

Then(
  'the 95th percentile of the first event is at most {int}% of that without paces',
  function (this: FleetWorld, percent: number) {
    const {with: reported, without} = outcomes.get(this)!;
    const [p95, before] = [reported, without].map(({firstEventMs}) => percentile95(firstEventMs));
    assert.ok(p95 <= (percent / 100) * before, `${p95} ms, ${before} ms without`);
  },
);

Then(
  'the slower third gets at most its share by speed, and every replica some',
  function (this: FleetWorld) {
    const {sent} = outcomes.get(this)!.with;
    const speeds = sent.map((_, i) => 1 / PACES['a third 2.5 to 6 times slower'](i, 0).actual);
    const slow = (values: readonly number[]) => sum(values.filter((_, i) => i % 3 === 0));
    assert.ok(slow(sent) / sum(sent) <= slow(speeds) / sum(speeds), sent.join(' '));
    assert.ok(
      sent.every(count => count > 0),
      sent.join(' '),
    );
  },
);

Then(
  'the busiest replica gets at most {float} times the mean, with at most {int} requests queued',
  function (this: FleetWorld, ratio: number, queued: number) {
    const {sent, maxQueued} = outcomes.get(this)!.with;
    assert.ok(Math.max(...sent) <= (ratio * sum(sent)) / sent.length, sent.join(' '));
    assert.ok(maxQueued <= queued, String(maxQueued));
  },
);

Then('the first replica gets at most half of an equal share', function (this: FleetWorld) {
  const {sent} = outcomes.get(this)!.with;
  assert.ok(sent[0] <= sum(sent) / sent.length / 2, sent.join(' '));
});

Then(
  /^a load of "(.*)" is read as (nothing|\d+ running and (?:no pace|a pace of [\d.]+))$/,
  function (text: string, expected: string) {
    const {load} = parseReplicaResponseHead(200, ['Server-Load', text]);
    const pace = load?.pace === undefined ? 'no pace' : `a pace of ${load.pace}`;
    assert.equal(load === undefined ? 'nothing' : `${load.running} running and ${pace}`, expected);
  },
);

Then(
  'a replica that reported {string}, 100 ms apart, is expected at {float} after {int} ms',
  function (reports: string, expected: number, afterMs: number) {
    const replica = simulatedReplica(0);
    const paces = reports.split(', ').map(Number);
    for (const [index, pace] of paces.entries()) {
      replica.onResponseLoad({running: 0, waiting: 0, slots: 8, pace}, index * 100);
    }
    const nowMs = (paces.length - 1) * 100 + afterMs;
    assert.equal(replica.paceAt(nowMs)?.toFixed(2), expected.toFixed(2));
  },
);

Then(
  'of two replicas with {int} requests of {int} tokens and {int} of {int}, the second gets the next',
  function (count: number, tokens: number, otherCount: number, otherTokens: number) {
    const estimator = new PrefillEstimator();
    const replicas = [0, 1].map(simulatedReplica);
    for (const replica of replicas) {
      replica.onResponseLoad({running: 0, waiting: 0, slots: 8, pace: 1}, 0);
    }
    const send = (to: number, size: number) =>
      new Attempt(replicas[to], 0, size, estimator.estimateMs('draft', size));
    for (let i = 0; i < count; i++) send(0, tokens);
    for (let i = 0; i < otherCount; i++) send(1, otherTokens);
    const candidates = replicas.map(replica => replica.asEngineCandidate('', 'draft', 8, 0));
    const choice = chooseEngine(candidates, requestOf(estimator, 1000));
    assert.equal(choice.kind === 'chosen' && choice.index, 1, JSON.stringify(candidates));
  },
);

Then(
  'a stream, {word} its first event and silent for {int} ms, {string}, is to {word}',
  function (phase: string, silentMs: number, state: string, expected: string) {
    const usual = {
      ...{canMove: true, pace: 1, hadEvent: phase === 'after', silentMs},
      ...{expectedFirstEventMs: 80, targetGapMs: 400, targetLeftMs: 700 - silentMs},
      ...{remainingMs: 3000, attemptsLeft: 1},
    };
    const otherMs = state === 'others are busy' ? undefined : 80;
    const changes: Readonly<Record<string, Partial<typeof usual> | {pace: undefined}>> = {
      'as usual': {},
      'others are busy': {},
      'not resumable': {canMove: false},
      'no pace reported': {pace: undefined},
      'no attempts left': {attemptsLeft: 0},
      'little time left': {remainingMs: 100},
      'slow replica': {expectedFirstEventMs: 300},
    };
    assert.ok(state in changes, state);
    assert.equal(decideStall({...usual, ...changes[state]}, () => otherMs).kind, expected);
  },
);

Given(
  'engines that report the load {string} and stop for {int} ms after the first event of a stream',
  function (this: FleetWorld, load: string, silentMs: number) {
    for (const engine of usersScenario(this).fleet.engines) {
      engine.extraHeaders = {'server-load': load};
      engine.pauseAfterFirstMs = silentMs;
    }
  },
);

Then(
  '{int} streams were closed at one engine, then resumed at the other',
  function (this: FleetWorld, count: number) {
    const runs = usersScenario(this).fleet.engines.flatMap(engine => engine.runs);
    const resumed = runs.filter(({headers}) => headers['last-event-id'] === '1');
    assert.equal(resumed.length, count);
    assert.equal(runs.filter(({abandoned}) => abandoned).length, count);
    for (const {id, arrivedMs} of resumed) {
      const first = runs.find(run => run.id === id && run.abandoned)!;
      assert.ok(first.closedMs! <= arrivedMs + MAX_OVERLAP_MS, `${first.closedMs} ${arrivedMs}`);
    }
  },
);

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function percentile95(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length * 0.95)];
}
