/** Steps about prompt parts that crash the engines that answer them. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {sleep} from '@jasminepost/core';
import {sharedParts} from '../../stand_ins/users_platform/recorded_request.ts';
import {partRequests, playPartRequests} from '../support/crash_part_history.ts';
import type {UsersFleet, UsersResponse} from '../support/users_fleet.ts';
import {usersScenario} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

/** Sound requests before the first crash, with the parts that all requests share. */
const WARM_UP_MS = 2000;
const INTERVAL_MS = 50;
const ENGINE_DOWNTIME_MS = 3000;
/** Time from a crash until the held part may have no effect on other requests. */
const SETTLED_AFTER_CRASH_MS = 6000;
const CRASHES_TO_HOLD = 5;
const CONTACT_MS = 3000;
/** Time of the other trouble, from the first request with a crashing part. */
const TROUBLE_AFTER_MS = 3000;

interface SentDraft {
  readonly sentMs: number;
  readonly isSound: boolean;
  readonly response: Promise<UsersResponse>;
}

interface PartSeries {
  readonly crashingParts: ReadonlySet<string>;
  readonly crashedMs: number[];
  readonly drafts: SentDraft[];
  startedMs: number;
}

const allSeries = new WeakMap<FleetWorld, PartSeries>();

function seriesOf(world: FleetWorld): PartSeries {
  const series = allSeries.get(world);
  assert.ok(series, 'the scenario has no crashing part');
  return series;
}

function crashOnParts(world: FleetWorld, parts: readonly string[]): void {
  const {fleet} = usersScenario(world);
  const crashingParts = new Set(parts);
  const crashedMs: number[] = [];
  allSeries.set(world, {crashingParts, crashedMs, drafts: [], startedMs: 0});
  for (const engine of fleet.engines) {
    engine.crashingParts = crashingParts;
    engine.onCrash = () => {
      crashedMs.push(performance.now());
      void restart(fleet, engine);
    };
  }
}

const restarting = new WeakSet<object>();

/** Brings an engine back under a new id, with the models that it had. */
async function restart(fleet: UsersFleet, engine: UsersFleet['engines'][number]): Promise<void> {
  if (restarting.has(engine)) return;
  restarting.add(engine);
  const loadedModels = [...engine.models.keys()];
  const oldId = engine.id;
  await engine.restartAfter(ENGINE_DOWNTIME_MS, `${oldId}-again`);
  for (const model of loadedModels) engine.models.set(model, new Set());
  fleet.register(engine);
  fleet.store.remove(`servers/${oldId}`);
  restarting.delete(engine);
}

Given(
  /^drafts with the prompt parts? "(\w+)"(?: and "(\w+)")? crash their engines, which restart$/,
  function (this: FleetWorld, first: string, second: string | null) {
    crashOnParts(this, second === null ? [first] : [first, second]);
  },
);

/** Sends drafts to each gateway in turn, no two alike; `part` is in the middle of the prompt. */
function sendDraft(world: FleetWorld, index: number, part: string, isSound: boolean): void {
  const {fleet} = usersScenario(world);
  const running = fleet.gateways.map((_, i) => i).filter(i => fleet.gateways[i].process.running);
  if (running.length === 0) return;
  const response = fleet.call({
    path: `/${index % 2 === 0 ? 'draft' : 'long'}/${index}`,
    body: `draft ${index}`,
    headers: {'prompt-prefix': `aa:50,${part}:30,own${index}:20`},
    gateway: running[index % running.length],
  });
  seriesOf(world).drafts.push({sentMs: performance.now(), isSound, response});
}

async function sendSeries(
  world: FleetWorld,
  forS: number,
  parts: readonly string[],
  trouble: () => Promise<void>,
): Promise<void> {
  const series = seriesOf(world);
  let index = 0;
  const soundPart = () => `sound${index % 5}`;
  for (const endMs = performance.now() + WARM_UP_MS; performance.now() < endMs; index++) {
    sendDraft(world, index, soundPart(), true);
    await sleep(INTERVAL_MS);
  }
  series.startedMs = performance.now();
  const troubleDone = sleep(TROUBLE_AFTER_MS).then(trouble);
  const endMs = series.startedMs + forS * 1000;
  for (; performance.now() < endMs; index++) {
    const isSound = index % 8 !== 0;
    const part = isSound ? soundPart() : parts[(index / 8) % parts.length];
    sendDraft(world, index, part, isSound);
    await sleep(INTERVAL_MS);
  }
  await troubleDone;
  await Promise.all(series.drafts.map(({response}) => response));
}

type Trouble = (fleet: UsersFleet) => Promise<void>;

const TROUBLES = new Map<string, Trouble>([
  ['nothing else happens', () => Promise.resolve()],
  [
    "the planner's gateway is killed",
    async fleet => {
      const index = fleet.plannerIndex();
      await fleet.gateways[index].process.kill();
      fleet.restartGateway(index);
    },
  ],
  [
    'the store is away for 4 s',
    async fleet => {
      fleet.store.mode = 'unavailable';
      await sleep(4000);
      fleet.store.mode = 'up';
    },
  ],
  [
    'all gateways are killed, and restart',
    async fleet => {
      await Promise.all(fleet.gateways.map(({process}) => process.kill()));
      for (const index of fleet.gateways.keys()) fleet.restartGateway(index);
    },
  ],
  [
    'other engines crash',
    async fleet => {
      for (const engine of fleet.engines.slice(0, 2)) {
        void restart(fleet, engine);
        await sleep(1000);
      }
    },
  ],
]);

When(
  /^callers send drafts for (\d+) s, of which every eighth has the part "(\w+)", and (.+)$/,
  async function (this: FleetWorld, forS: string, part: string, trouble: string) {
    const start = TROUBLES.get(trouble);
    assert.ok(start, trouble);
    await sendSeries(this, Number(forS), [part], () => start(usersScenario(this).fleet));
  },
);

When(
  /^callers send drafts for (\d+) s, of which every eighth has the part "(\w+)" or "(\w+)"$/,
  async function (this: FleetWorld, forS: string, first: string, second: string) {
    await sendSeries(this, Number(forS), [first, second], () => Promise.resolve());
  },
);

Then(
  'at most {int} drafts with a crashing part reach engines later than {int} ms after the fifth crash',
  function (this: FleetWorld, max: number, afterMs: number) {
    const {fleet} = usersScenario(this);
    const {crashedMs, crashingParts} = seriesOf(this);
    assert.ok(crashedMs.length > 0, 'no engine has crashed');
    if (crashedMs.length < CRASHES_TO_HOLD) return;
    const fromMs = crashedMs[CRASHES_TO_HOLD - 1] + afterMs;
    const late = fleet.engines
      .flatMap(({runs}) => runs)
      .filter(run => run.arrivedMs > fromMs)
      .filter(run => sharedParts(run).some(part => crashingParts.has(part)));
    assert.ok(late.length <= max, `${late.length} of ${crashedMs.length} crashes`);
  },
);

Then(
  'sound drafts are served at least half as often after the crashes as before',
  async function (this: FleetWorld) {
    const {crashedMs, drafts, startedMs} = seriesOf(this);
    const deciding = crashedMs[Math.min(crashedMs.length, CRASHES_TO_HOLD) - 1];
    const before = await servedShare(drafts.filter(({sentMs}) => sentMs < startedMs));
    const after = await servedShare(
      drafts.filter(({sentMs}) => sentMs > deciding + SETTLED_AFTER_CRASH_MS),
    );
    assert.ok(after >= before / 2, `${after} after, ${before} before`);
  },
);

async function servedShare(drafts: readonly SentDraft[]): Promise<number> {
  const sound = drafts.filter(({isSound}) => isSound);
  assert.ok(sound.length >= 20, `only ${sound.length} sound drafts`);
  const responses = await Promise.all(sound.map(({response}) => response));
  return responses.filter(({status, cut}) => status === 200 && !cut).length / sound.length;
}

Then(
  'in {int} random series at most {int} requests with the part are sent later than {int} ms after the fifth crash',
  function (numRuns: number, max: number, afterMs: number) {
    fc.assert(
      fc.property(partRequests, series => playPartRequests(series, afterMs).lateSends <= max),
      {numRuns, seed: 32},
    );
  },
);

Then(
  'in {int} random series fewer than half of the sound requests are held afterwards',
  function (numRuns: number) {
    let sound = 0;
    let held = 0;
    const count = fc.property(partRequests, series => {
      const {soundAfter, soundHeld} = playPartRequests(series, CONTACT_MS);
      sound += soundAfter;
      held += soundHeld;
    });
    fc.assert(count, {numRuns, seed: 33});
    assert.ok(sound > 0 && held < sound / 2, `${held} of ${sound}`);
  },
);
