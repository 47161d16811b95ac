/** Steps about crashing requests, retries, outages and engine memory. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {CounterFamily, sleep} from '@jasminepost/core';
import {HandshakeAuthenticator, MeshClient, type LinkCloseReason} from '@jasminepost/mesh';
import {callService, complete, type CompletionResponse} from '../support/caller.ts';
import {until} from '../support/fleet_process.ts';
import {PAID_KEY} from '../support/test_fleet.ts';
import type {FleetWorld} from '../support/world.ts';

const CRASH_EXIT_CODE = 70;
const WARM_UP_MS = 300;
const FAULTY_ORDERS_PER_ENGINE = 2;
const ORDER_DELAY_MS = 1200;

Given(
  'a fleet of {int} engines, {int} services and {int} entries that crash on {string}',
  async function (
    this: FleetWorld,
    engines: number,
    services: number,
    entries: number,
    text: string,
  ) {
    const engineArgs = ['--crash-text', text];
    await this.startFleet({engines, services, entries, floorCopies: engines, engineArgs});
  },
);

When(
  'callers keep asking for {int} tokens while a caller sends {string} {int} times, to the entries in turn',
  async function (this: FleetWorld, tokens: number, prompt: string, times: number) {
    const {entries} = this.fleet;
    const url = (caller: number) => entries[caller % entries.length].url;
    const load = this.startLoad(8, tokens);
    await sleep(WARM_UP_MS);
    for (let i = 0; i < times; i++) {
      this.completion = await complete({url: url(i), key: PAID_KEY, tokens, prompt});
      this.completions.push(this.completion);
    }
    await load.stop();
  },
);

Then('at most {int} engines have crashed', function (this: FleetWorld, maxCrashed: number) {
  const crashed = this.fleet.engines.filter(e => e.process.exitCode === CRASH_EXIT_CODE);
  assert.ok(crashed.length >= 1, 'the request crashed no engine');
  assert.ok(crashed.length <= maxCrashed, `${crashed.length} engines crashed`);
});

Then(
  'the last response to {string} has status {int}, code {string} and verdict {string}',
  function (this: FleetWorld, _prompt: string, status: number, code: string, verdict: string) {
    const response: CompletionResponse = this.completion!;
    assert.equal(response.status, status);
    assert.equal(response.error?.code, code);
    assert.equal(response.error.verdict, verdict);
  },
);

When(
  /^(\d+) calls are made by (\d+) callers while (service 0 refuses|all services refuse) all calls$/,
  async function (this: FleetWorld, calls: string, callers: string, selection: string) {
    const {fleet} = this;
    const refusing = selection.startsWith('all') ? fleet.services : fleet.services.slice(0, 1);
    for (const service of refusing) await fleet.setFaults(service.url, {refuse: 1_000_000});
    let nextCall = 0;
    let slowestMs = 0;
    const sendCalls = async () => {
      while (nextCall < Number(calls)) {
        const {url} = fleet.entries[nextCall++ % fleet.entries.length];
        const startedMs = performance.now();
        this.calls.push(await callService(url, PAID_KEY, '/index', 'x'));
        slowestMs = Math.max(slowestMs, performance.now() - startedMs);
      }
    };
    await Promise.all(Array.from({length: Number(callers)}, sendCalls));
    this.savedValues.set('slowestMs', slowestMs);
  },
);

Then(
  'attempts are at most {float} times the calls',
  async function (this: FleetWorld, ratio: number) {
    const retries = await this.fleet.sumCounter(this.fleet.entries, 'retries');
    const total = Object.values(retries).reduce((sum, count) => sum + count, 0);
    const attemptsPerCall = 1 + total / this.calls.length;
    this.log(`attempts per call: ${attemptsPerCall.toFixed(3)}`);
    assert.ok(attemptsPerCall <= ratio, `${attemptsPerCall} attempts per call`);
  },
);

Then('at least {int} calls succeed', function (this: FleetWorld, minCalls: number) {
  const answered = this.calls.filter(call => call.status === 200).length;
  assert.ok(answered >= minCalls, `${answered} calls succeeded`);
});

Then(
  'every call is refused as not run within {int} ms',
  function (this: FleetWorld, limitMs: number) {
    assert.ok(
      this.savedValues.get('slowestMs')! <= limitMs,
      `slowest refusal after ${this.savedValues.get('slowestMs')} ms`,
    );
    assert.ok(this.calls.every(call => call.error?.verdict === 'not_run'));
  },
);

Given(
  'a fleet of {int} engines, {int} services and {int} entries with watches and claim windows of a few seconds',
  async function (this: FleetWorld, engines: number, services: number, entries: number) {
    const shortWindowArgs = ['--watch-ms', '1000', '--claim-window-ms', '4000'];
    await this.startFleet({
      engines,
      services,
      entries,
      entryArgs: shortWindowArgs,
      sidecarArgs: shortWindowArgs,
    });
  },
);

When(
  'the key-value service hangs for {int} s while callers ask for {int} tokens',
  async function (this: FleetWorld, seconds: number, tokens: number) {
    const {fleet} = this;
    const url = (caller: number) => fleet.entries[caller % fleet.entries.length].url;
    const load = this.startLoad(6, tokens);
    await fleet.setFaults(fleet.keyValueUrl, {outage: 'hang'});
    await sleep(seconds * 500);
    this.call = await callService(url(0), PAID_KEY, '/publish', 'x', {'idempotency-key': 'o1'});
    const declaration = fleet.declaration({objective: {attainment: 1, moves: 0}});
    const accept = await fleet.tryAccept(declaration, fleet.generation);
    this.savedValues.set('acceptCode', accept.code);
    await sleep(seconds * 500);
    await fleet.setFaults(fleet.keyValueUrl, {outage: 'none'});
    await load.stop();
  },
);

Then('a publish request during the outage was refused as not run', function (this: FleetWorld) {
  assert.equal(this.call?.status, 503);
  assert.equal(this.call.error?.code, 'claim_store_unavailable');
  assert.equal(this.call.error.verdict, 'not_run');
});

Then('an accept command during the outage failed', function (this: FleetWorld) {
  assert.equal(this.savedValues.get('acceptCode'), 1);
});

Then(
  'afterwards a publish request and an accept command succeed',
  async function (this: FleetWorld) {
    const {fleet} = this;
    const {url} = fleet.entries[0];
    await until('publish request succeeds', 5000, async () => {
      const call = await callService(url, PAID_KEY, '/publish', 'x', {'idempotency-key': 'o2'});
      return call.status === 200 ? true : undefined;
    });
    await fleet.accept(fleet.declaration({objective: {attainment: 1, moves: 0}}));
  },
);

When('entry {int} is restarted', async function (this: FleetWorld, index: number) {
  await this.fleet.restart(this.fleet.entries[index]);
});

When(
  'a paid caller asks for {int} tokens once entry {int} is ready',
  async function (this: FleetWorld, tokens: number, index: number) {
    const entry = this.fleet.entries[index];
    await entry.process.ready(`${entry.adminUrl}/readyz`);
    await until('sidecars connected', 5000, async () => {
      const status = await this.fleet.status(entry);
      return Number(status['replicas']) === this.fleet.sidecars.length ? true : undefined;
    });
    await sleep(WARM_UP_MS);
    this.completion = await complete({url: entry.url, key: PAID_KEY, tokens});
  },
);

Given(
  'a fleet of {int} engines of {int} MiB with fencing {string} and {int} models of {int} MiB',
  async function (
    this: FleetWorld,
    engines: number,
    totalMiB: number,
    fencing: string,
    models: number,
    modelMiB: number,
  ) {
    await this.startFleet({
      engines,
      services: 0,
      entries: 1,
      models: Array.from({length: models}, (_, i) => `model-${i}`),
      floorCopies: 1,
      modelMiB,
      engineArgs: ['--total-mib', String(totalMiB), '--fencing', fencing],
      sidecarArgs: ['--fencing', fencing],
    });
  },
);

When(
  /^engine orders are (lost|late|doubled) while models are swapped (\d+) times and sidecar 0 is restarted$/,
  async function (this: FleetWorld, fault: string, swaps: string) {
    const {fleet} = this;
    const field = {lost: 'lose', late: 'late', doubled: 'double'}[fault]!;
    for (let i = 0; i < Number(swaps); i++) {
      for (const engine of fleet.engines) {
        await fleet.setFaults(engine.url, {
          [field]: FAULTY_ORDERS_PER_ENGINE,
          lateMs: ORDER_DELAY_MS,
        });
      }
      await fleet.accept(declareRenamedModel(this, i));
      await sleep(1000);
      if (i === 1) await fleet.restart(fleet.sidecars[0]);
    }
  },
);

/** Returns a declaration with one model renamed, so that each replica with it must swap it. */
function declareRenamedModel(world: FleetWorld, round: number): Readonly<Record<string, unknown>> {
  const base = world.fleet.declaration();
  const rename = (name: string) => (name === 'model-0' ? `model-0-${round}` : name);
  const organisations = base['organisations'] as ReadonlyArray<{readonly models: string[]}>;
  const models = base['models'] as ReadonlyArray<{readonly name: string}>;
  return {
    ...base,
    organisations: organisations.map(o => ({...o, models: o.models.map(rename)})),
    models: models.map(model => ({...model, name: rename(model.name)})),
  };
}

Then('no engine was asked to exceed its memory', async function (this: FleetWorld) {
  for (const engine of this.fleet.engines) {
    const {overcommits, loads} = await this.fleet.readCounters(engine.url);
    assert.equal(overcommits, 0);
    assert.ok(loads > 0);
  }
});

Then('every model is served at the end', async function (this: FleetWorld) {
  await until('every model is served', 30_000, async () => {
    const statuses = await Promise.all(this.fleet.sidecars.map(s => this.fleet.status(s)));
    const served = new Set(statuses.flatMap(status => status['models'] as string[]));
    return ['model-0-3', 'model-1', 'model-2'].every(m => served.has(m)) ? true : undefined;
  });
});

When(
  'a peer with a wrong key connects to sidecar {int}',
  async function (this: FleetWorld, index: number) {
    const faults = new CounterFamily<LinkCloseReason>('faults', '', 'reason');
    const client = new MeshClient(
      {host: '127.0.0.1', port: this.fleet.sidecars[index].meshPort},
      {id: 'stranger', incarnation: 1, role: 'entry', zone: 'z'},
      new HandshakeAuthenticator('wrong key'),
      {
        onUp: () => this.savedValues.set('up', 1),
        onMessage: () => undefined,
        onDown: () => undefined,
        isAwaitingReply: () => false,
      },
      faults,
    );
    this.cleanups.push(() => client.dispose());
    await until('refused', 3000, async () => (faults.get('closed_by_peer') > 0 ? true : undefined));
  },
);

Then(
  'the connection is closed and sidecars counted {string}',
  async function (this: FleetWorld, reason: string) {
    assert.equal(this.savedValues.get('up'), undefined);
    const counts = await this.fleet.sumCounter(this.fleet.sidecars, 'link_faults');
    assert.ok((counts[reason] ?? 0) > 0, JSON.stringify(counts));
  },
);

/** Finds the sidecar that is the planner, and its term. */
async function findPlanner(
  world: FleetWorld,
  excludedId: string,
): Promise<{readonly index: number; readonly term: number} | undefined> {
  const {fleet} = world;
  for (const [index, sidecar] of fleet.sidecars.entries()) {
    if (sidecar.id === excludedId) continue;
    const term = Number((await fleet.status(sidecar))['planner']);
    if (term > 0) return {index, term};
  }
  return undefined;
}

/** Reads the planner term of each shard of the plan. */
async function readPlanTerms(world: FleetWorld): Promise<number[]> {
  const res = await fetch(`${world.fleet.keyValueUrl}/v1/kv?prefix=plan/`);
  const {entries} = (await res.json()) as {readonly entries: ReadonlyArray<{value: string}>};
  return entries.map(entry => (JSON.parse(entry.value) as {readonly term: number}).term);
}

When(
  'the planner is paused until another takes over, a model is added, and the first one is resumed',
  async function (this: FleetWorld) {
    const {fleet} = this;
    const first = await until('a planner', 10_000, () => findPlanner(this, ''));
    const paused = fleet.sidecars[first.index];
    paused.process.signal('SIGSTOP');
    const second = await until('another planner', 40_000, () => findPlanner(this, paused.id));
    assert.ok(second.term > first.term);
    await until('takeover of every shard', 10_000, async () =>
      (await readPlanTerms(this)).every(term => term === second.term) ? true : undefined,
    );
    this.savedValues.set('term', second.term);
    const base = fleet.declaration();
    const models = base['models'] as ReadonlyArray<Readonly<Record<string, unknown>>>;
    await fleet.accept({...base, models: [...models, {...models[0], name: 'second'}]});
    paused.process.signal('SIGCONT');
    await sleep(3000);
  },
);

Then('every shard of the plan keeps the newer term', async function (this: FleetWorld) {
  const terms = await readPlanTerms(this);
  assert.ok(
    terms.every(term => term >= this.savedValues.get('term')!),
    terms.join(','),
  );
});

Then(
  'the models {string} and {string} are served',
  async function (this: FleetWorld, firstModel: string, secondModel: string) {
    await until('both models are served', 20_000, async () => {
      const statuses = await Promise.all(this.fleet.sidecars.map(s => this.fleet.status(s)));
      const served = new Set(statuses.flatMap(status => status['models'] as string[]));
      return served.has(firstModel) && served.has(secondModel) ? true : undefined;
    });
  },
);
