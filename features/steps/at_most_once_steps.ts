/** Steps about non-idempotent requests, which may not run twice. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {CounterFamily, SystemClock} from '@jasminepost/core';
import {ClaimStore, KeyValueClient, type KeyValueCall} from '@jasminepost/key_value';
import {callService, type ServiceResponse} from '../support/caller.ts';
import {FleetProcess, freePort} from '../support/fleet_process.ts';
import {ORDER_FAULTS} from '../support/order_faults.ts';
import {PAID_KEY} from '../support/test_fleet.ts';
import type {FleetWorld} from '../support/world.ts';

/** Delay between sending requests and causing a fault; a slow service still runs them by then. */
const FAULT_DELAY_MS = 250;
const CLAIM_WINDOW_MS = 60_000;

interface KeyedResponse {
  readonly key: string;
  readonly response: ServiceResponse;
  readonly elapsedMs: number;
}

/** Requests that one scenario has sent, and their responses. */
class SentRequests {
  readonly responses: KeyedResponse[] = [];
  faultName = 'none';
  countersBefore: Record<string, number> = {};
}

const sentRequests = new WeakMap<FleetWorld, SentRequests>();
const claimStores = new WeakMap<FleetWorld, {readonly process: FleetProcess; store: ClaimStore}>();

function sentRequestsOf(world: FleetWorld): SentRequests {
  let requests = sentRequests.get(world);
  if (requests === undefined) {
    requests = new SentRequests();
    sentRequests.set(world, requests);
  }
  return requests;
}

async function publish(
  world: FleetWorld,
  entryIndex: number,
  key: string,
  body = `order ${key}`,
): Promise<void> {
  const startedMs = performance.now();
  const {url} = world.fleet.entries[entryIndex];
  const response = await callService(url, PAID_KEY, '/publish', body, {'idempotency-key': key});
  sentRequestsOf(world).responses.push({
    key,
    response,
    elapsedMs: performance.now() - startedMs,
  });
}

/** Returns how often each request has run, summed over the services that are still running. */
async function countExecutions(world: FleetWorld): Promise<Map<string, number>> {
  const totals = new Map<string, number>();
  for (const service of world.fleet.services) {
    if (!service.process.running) continue;
    for (const [key, count] of Object.entries(await world.fleet.readCounters(service.url))) {
      totals.set(key, (totals.get(key) ?? 0) + count);
    }
  }
  return totals;
}

When(
  '{int} requests are each sent to both entries at once, with fault {string}',
  async function (this: FleetWorld, count: number, name: string) {
    const fault = ORDER_FAULTS[name];
    sentRequestsOf(this).faultName = name;
    await fault.before?.(this.fleet);
    const keys = Array.from({length: count}, (_, i) => `k${i}`);
    const pending = keys.flatMap(key => [publish(this, 0, key), publish(this, 1, key)]);
    await new Promise(resolve => setTimeout(resolve, FAULT_DELAY_MS));
    await fault.midway?.(this.fleet);
    await Promise.all(pending);
  },
);

When(
  'the fault has ended and every request is sent to both entries again',
  async function (this: FleetWorld) {
    const sent = sentRequestsOf(this);
    await ORDER_FAULTS[sent.faultName].after?.(this.fleet);
    // A process that lost a connection reconnects with backoff.
    await new Promise(resolve => setTimeout(resolve, 1500));
    const keys = new Set(sent.responses.map(response => response.key));
    for (const key of keys) {
      await publish(this, 0, key);
      await publish(this, 1, key);
    }
  },
);

Then('no request ran twice', async function (this: FleetWorld) {
  const counts = await countExecutions(this);
  const repeated = [...counts].filter(([, count]) => count > 1);
  assert.deepEqual(repeated, []);
});

Then('every request that succeeded ran once', async function (this: FleetWorld) {
  const counts = await countExecutions(this);
  const allRun = this.fleet.services.every(service => service.process.running);
  for (const {key, response} of sentRequestsOf(this).responses) {
    if (response.status === 200 && allRun) assert.equal(counts.get(key), 1, key);
  }
});

Then(
  'every request whose responses all said "not_run" never ran',
  async function (this: FleetWorld) {
    const counts = await countExecutions(this);
    const {responses} = sentRequestsOf(this);
    for (const key of new Set(responses.map(response => response.key))) {
      const own = responses.filter(response => response.key === key);
      const neverRan = own.every(({response}) => response.error?.verdict === 'not_run');
      if (neverRan) assert.equal(counts.get(key) ?? 0, 0, key);
    }
  },
);

Then('at least {int} requests succeeded', function (this: FleetWorld, minRequests: number) {
  const {responses} = sentRequestsOf(this);
  const servedKeys = new Set(responses.filter(a => a.response.status === 200).map(a => a.key));
  const otherResponses = responses
    .filter(a => a.response.status !== 200)
    .map(a => `${a.key} ${a.response.status} ${a.response.error?.code ?? 'cut'}`);
  assert.ok(
    servedKeys.size >= minRequests,
    `${servedKeys.size}; other responses: ${otherResponses.join(', ')}`,
  );
});

Then('every response came within {int} ms', function (this: FleetWorld, limitMs: number) {
  const slowest = Math.max(...sentRequestsOf(this).responses.map(response => response.elapsedMs));
  assert.ok(slowest <= limitMs, `slowest response after ${slowest} ms`);
});

Then('{int} new requests succeed', async function (this: FleetWorld, count: number) {
  const sent = sentRequestsOf(this);
  sent.responses.length = 0;
  for (const service of this.fleet.services) {
    if (service.process.running) await this.fleet.setFaults(service.url, {cut: 0});
  }
  for (let i = 0; i < count; i++) await publish(this, i % 2, `new-${i}`);
  const statuses = sent.responses.map(({response}) => response.status);
  assert.deepEqual(statuses, Array<number>(count).fill(200));
});

When(
  'request {string} is sent to entry {int}',
  async function (this: FleetWorld, key: string, entry: number) {
    await publish(this, entry, key);
  },
);

When(
  'request {string} is sent to entry {int} with another body',
  async function (this: FleetWorld, key: string, entry: number) {
    await publish(this, entry, key, 'another body');
  },
);

Then('the second response equals the first and is marked as replayed', function (this: FleetWorld) {
  const [first, second] = sentRequestsOf(this).responses;
  assert.equal(first.response.status, 200);
  assert.equal(second.response.status, 200);
  assert.deepEqual(second.response.body, first.response.body);
  assert.equal(second.response.headers.get('x-jasminepost-replayed'), 'true');
});

Then(
  'the second response has status {int}, code {string} and verdict {string}',
  function (this: FleetWorld, status: number, code: string, verdict: string) {
    const {response} = sentRequestsOf(this).responses[1];
    assert.equal(response.status, status);
    assert.equal(response.error?.code, code);
    assert.equal(response.error.verdict, verdict);
  },
);

When('{int} requests are sent one after another', async function (this: FleetWorld, n: number) {
  const sent = sentRequestsOf(this);
  sent.countersBefore = await this.fleet.readCounters(this.fleet.keyValueUrl);
  for (let i = 0; i < n; i++) await publish(this, 0, `cost-${i}`);
  this.savedValues.set('requests', n);
});

Then(
  'the key-value service gets at most {int} writes per request and {int} reads',
  async function (this: FleetWorld, writes: number, reads: number) {
    const after = await this.fleet.readCounters(this.fleet.keyValueUrl);
    const before = sentRequestsOf(this).countersBefore;
    const increase = (name: string) => (after[name] ?? 0) - (before[name] ?? 0);
    const requests = this.savedValues.get('requests')!;
    assert.ok(increase('PUT /v1/kv') <= writes * requests, `${increase('PUT /v1/kv')} writes`);
    assert.equal(increase('GET /v1/kv'), reads);
  },
);

Given('a claim store on a key-value service', async function (this: FleetWorld) {
  const port = await freePort();
  const process = new FleetProcess('stand_in_key_value', ['--listen', `127.0.0.1:${port}`]);
  this.ownedProcesses.push(process);
  await process.ready(`http://127.0.0.1:${port}/admin/counters`);
  const calls = new CounterFamily<KeyValueCall>('calls', '', 'call');
  const kv = new KeyValueClient(`http://127.0.0.1:${port}`, calls);
  claimStores.set(this, {process, store: new ClaimStore(kv, new SystemClock(), CLAIM_WINDOW_MS)});
});

When(
  'an entry cancels attempt {string} of request {string} and then a sidecar claims it',
  async function (this: FleetWorld, attempt: string, key: string) {
    const {store} = claimStores.get(this)!;
    assert.equal((await store.cancel('kowhai', key, 'f', attempt)).kind, 'never_runs');
    this.listed = (await store.claim('kowhai', key, 'f', attempt)).kind;
  },
);

Then('the claim returns {string}', function (this: FleetWorld, kind: string) {
  assert.equal(this.listed, kind);
});

Then(
  'the claim of another attempt {string} is granted',
  async function (this: FleetWorld, attempt: string) {
    const outcome = await claimStores.get(this)!.store.claim('kowhai', 'k', 'f', attempt);
    assert.equal(outcome.kind, 'granted');
  },
);

Then(
  'cancelling attempt {string} returns {string}',
  async function (this: FleetWorld, attempt: string, kind: string) {
    const outcome = await claimStores.get(this)!.store.cancel('kowhai', 'k', 'f', attempt);
    assert.equal(outcome.kind, kind);
  },
);

Then(
  'claiming attempt {string} returns {string}',
  async function (this: FleetWorld, attempt: string, kind: string) {
    const outcome = await claimStores.get(this)!.store.claim('kowhai', 'k', 'f', attempt);
    assert.equal(outcome.kind, kind);
  },
);

When('sidecar {int} is paused', function (this: FleetWorld, index: number) {
  this.fleet.sidecars[index].process.signal('SIGSTOP');
});

Then('the first response has verdict {string}', function (this: FleetWorld, verdict: string) {
  const [{response}] = sentRequestsOf(this).responses;
  assert.equal(response.error?.verdict, verdict, JSON.stringify(response.error));
});

Then('the first response has status {int}', function (this: FleetWorld, status: number) {
  assert.equal(sentRequestsOf(this).responses[0].response.status, status);
});

Then(
  'after sidecar {int} is resumed, request {string} has run {int} times',
  async function (this: FleetWorld, index: number, key: string, times: number) {
    this.fleet.sidecars[index].process.signal('SIGCONT');
    await new Promise(resolve => setTimeout(resolve, 2500));
    assert.equal((await countExecutions(this)).get(key) ?? 0, times);
  },
);

When(
  'request {string} is sent to {string} and sidecar {int} is killed while it runs',
  async function (this: FleetWorld, key: string, path: string, index: number) {
    const {url} = this.fleet.entries[0];
    const pending = callService(url, PAID_KEY, path, key, {'idempotency-key': key});
    await new Promise(resolve => setTimeout(resolve, FAULT_DELAY_MS));
    await this.fleet.sidecars[index].process.kill();
    sentRequestsOf(this).responses.push({key, response: await pending, elapsedMs: 0});
  },
);

Given(
  'the key-value service loses {int} response to a claim',
  async function (this: FleetWorld, loseAnswers: number) {
    await this.fleet.setFaults(this.fleet.keyValueUrl, {loseAnswers, losePrefix: 'claims/'});
  },
);

When(
  'a publish request is sent and sidecar {int} gets SIGTERM while it runs',
  async function (this: FleetWorld, index: number) {
    const pending = publish(this, 0, 'stopped');
    await new Promise(resolve => setTimeout(resolve, FAULT_DELAY_MS));
    this.fleet.sidecars[index].process.signal('SIGTERM');
    await pending;
  },
);

Given(
  'the service pads its responses with {int} bytes',
  async function (this: FleetWorld, paddingBytes: number) {
    await this.fleet.setFaults(this.fleet.services[0].url, {paddingBytes});
  },
);

When(
  'request {string} is sent to entry {int} and, while it runs, to entry {int}',
  async function (this: FleetWorld, key: string, first: number, second: number) {
    const running = publish(this, first, key);
    await new Promise(resolve => setTimeout(resolve, FAULT_DELAY_MS));
    await publish(this, second, key);
    await running;
  },
);

Then(
  'the first response has status {int}, code {string} and verdict {string}',
  function (this: FleetWorld, status: number, code: string, verdict: string) {
    const [{response}] = sentRequestsOf(this).responses;
    assert.equal(response.status, status);
    assert.equal(response.error?.code, code);
    assert.equal(response.error.verdict, verdict);
  },
);
