/** Steps about the behaviour of the stand-ins. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {sleep} from '@jasminepost/core';
import {FleetProcess, freePort, until} from '../support/fleet_process.ts';
import type {FleetWorld} from '../support/world.ts';

const LAG_MS = 300;

interface CacheEvents {
  readonly events: ReadonlyArray<{readonly seq: number; readonly prefix: string}>;
}

const standInUrls = new WeakMap<FleetWorld, string>();

async function startStandIn(
  world: FleetWorld,
  program: string,
  readyPath: string,
  args: readonly string[],
): Promise<void> {
  const address = `127.0.0.1:${await freePort()}`;
  const process = new FleetProcess(program, ['--listen', address, ...args]);
  world.ownedProcesses.push(process);
  await process.ready(`http://${address}${readyPath}`);
  standInUrls.set(world, `http://${address}`);
}

async function post(world: FleetWorld, path: string, body: object): Promise<Response> {
  return fetch(standInUrls.get(world)! + path, {method: 'POST', body: JSON.stringify(body)});
}

async function complete(world: FleetWorld, prompt: string): Promise<void> {
  const messages = [{role: 'user', content: prompt}];
  const res = await post(world, '/v1/chat/completions', {model: 'm', messages, max_tokens: 1});
  await res.text();
}

async function readCacheEvents(world: FleetWorld): Promise<CacheEvents['events']> {
  const res = await fetch(`${standInUrls.get(world)!}/v1/cache/events?after=0`);
  return ((await res.json()) as CacheEvents).events;
}

Given(
  'an engine stand-in with a report lag of {int} ms',
  async function (this: FleetWorld, lagMs: number) {
    const args = ['--report-lag-ms', String(lagMs), '--load-ms', '0', '--prefill-ms', '0'];
    await startStandIn(this, 'stand_in_engine', '/health', args);
    await post(this, '/v1/orders', {fence: 1, operation: 'load', item: 'm', sizeMiB: 1});
    await sleep(100);
  },
);

When(
  '{int} different prompts and then the first one again are completed',
  async function (this: FleetWorld, count: number) {
    for (let i = 0; i < count; i++) await complete(this, `prompt ${i}`);
    await complete(this, 'prompt 0');
    await complete(this, 'the last one');
  },
);

Then(
  'the cache events are in order and have gaps, and none is younger than {int} ms',
  async function (this: FleetWorld, lagMs: number) {
    const eventsBeforeLag = await readCacheEvents(this);
    assert.ok(!eventsBeforeLag.some(event => event.prefix.includes('the last one')));
    await sleep(lagMs + 50);
    const seqs = (await readCacheEvents(this)).map(event => event.seq);
    assert.deepEqual(
      seqs,
      [...seqs].sort((a, b) => a - b),
    );
    assert.ok(
      seqs[seqs.length - 1] > seqs.length,
      'the sequence numbers of the cache events have no gap',
    );
  },
);

Then('the engine counted {int} prefix hit', async function (this: FleetWorld, hits: number) {
  const res = await fetch(`${standInUrls.get(this)!}/admin/counters`);
  assert.equal(((await res.json()) as Readonly<Record<string, number>>)['prefixHits'], hits);
});

When(
  'a cached prefix is exported and imported under another name',
  async function (this: FleetWorld) {
    await post(this, '/v1/cache/import', {prefix: 'one'});
    const exported = await post(this, '/v1/cache/export', {prefix: 'one'});
    assert.deepEqual(await exported.json(), {prefix: 'one'});
    await post(this, '/v1/cache/import', {prefix: 'two'});
  },
);

Then('both prefixes can be exported and an unknown one cannot', async function (this: FleetWorld) {
  const statuses: number[] = [];
  for (const prefix of ['one', 'two', 'three']) {
    statuses.push((await post(this, '/v1/cache/export', {prefix})).status);
  }
  assert.deepEqual(statuses, [200, 200, 404]);
});

Given(
  'a weight store that starts {int} loads a second and runs {int} at full speed, {int} ms each',
  async function (this: FleetWorld, loadsPerS: number, fullSpeedLoads: number, loadMs: number) {
    const args = ['--loads-per-s', loadsPerS, '--full-speed', fullSpeedLoads, '--load-ms', loadMs];
    await startStandIn(this, 'stand_in_weight_store', '/admin/counters', args.map(String));
  },
);

async function measureLoadMs(world: FleetWorld): Promise<number> {
  const startMs = performance.now();
  await (await fetch(`${standInUrls.get(world)!}/v1/weights/m`)).text();
  return performance.now() - startMs;
}

When('{int} loads are requested at once', async function (this: FleetWorld, loads: number) {
  this.savedValues.set('aloneMs', await measureLoadMs(this));
  const durationsMs = await Promise.all(Array.from({length: loads}, () => measureLoadMs(this)));
  this.savedValues.set('slowestMs', Math.max(...durationsMs));
});

Then(
  'the slowest took at least {int} times as long as a single load',
  function (this: FleetWorld, factor: number) {
    const slowestMs = this.savedValues.get('slowestMs')!;
    assert.ok(
      slowestMs >= factor * this.savedValues.get('aloneMs')!,
      `slowest load took ${slowestMs} ms`,
    );
  },
);

Then(
  'a change to the list of instances is visible after its lag, not before',
  async function (this: FleetWorld) {
    const {fleet} = this;
    const readState = async () => {
      const res = await fetch(`${fleet.listUrl}/v1/instances`);
      const {instances} = (await res.json()) as {
        readonly instances: ReadonlyArray<{readonly id: string; readonly state: string}>;
      };
      return instances.find(instance => instance.id === fleet.entries[1].id)?.state;
    };
    fleet.entries[1].state = 'leaving';
    await fleet.publishList();
    const stateBeforeLag = await readState();
    await until('change of the instance list', 10 * LAG_MS, async () =>
      (await readState()) === 'leaving' ? true : undefined,
    );
    fleet.entries[1].state = 'live';
    await fleet.publishList();
    assert.equal(stateBeforeLag, 'live');
  },
);
