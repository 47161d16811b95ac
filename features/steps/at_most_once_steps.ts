/** Steps about orders that may not run twice. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {CounterFamily, SystemClock} from '@jasminepost/core';
import {ClaimStore, KeyValueClient, type KeyValueCall} from '@jasminepost/key_value';
import {callService, type ServiceResponse} from '../support/caller.ts';
import {FleetProcess, freePort} from '../support/fleet_process.ts';
import {ORDER_FAULTS} from '../support/order_faults.ts';
import {PAID_KEY} from '../support/test_fleet.ts';
import type {FleetWorld} from '../support/world.ts';

const FAULT_DELAY_MS = 250;
const CLAIM_WINDOW_MS = 60_000;

interface OrderResponse {
  readonly key: string;
  readonly response: ServiceResponse;
  readonly elapsedMs: number;
}

/** What one scenario has published. */
class PublishedOrders {
  readonly responses: OrderResponse[] = [];
  faultName = 'none';
  countersBefore: Record<string, number> = {};
}

const publishedOrders = new WeakMap<FleetWorld, PublishedOrders>();
const claimStores = new WeakMap<FleetWorld, {readonly process: FleetProcess; store: ClaimStore}>();

function ordersOf(world: FleetWorld): PublishedOrders {
  let orders = publishedOrders.get(world);
  if (orders === undefined) {
    orders = new PublishedOrders();
    publishedOrders.set(world, orders);
  }
  return orders;
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
  ordersOf(world).responses.push({
    key,
    response: response,
    elapsedMs: performance.now() - startedMs,
  });
}

/** Executions of every order over all services that still run. */
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
  '{int} orders are published on both entries at once, with fault {string}',
  async function (this: FleetWorld, count: number, name: string) {
    const fault = ORDER_FAULTS[name];
    ordersOf(this).faultName = name;
    await fault.before?.(this.fleet);
    const keys = Array.from({length: count}, (_, i) => `k${i}`);
    const pending = keys.flatMap(key => [publish(this, 0, key), publish(this, 1, key)]);
    await new Promise(resolve => setTimeout(resolve, FAULT_DELAY_MS));
    await fault.midway?.(this.fleet);
    await Promise.all(pending);
  },
);

When(
  'the fault is over and every order is sent again on both entries',
  async function (this: FleetWorld) {
    const published = ordersOf(this);
    await ORDER_FAULTS[published.faultName].after?.(this.fleet);
    // A process that lost a link reconnects with backoff.
    await new Promise(resolve => setTimeout(resolve, 1500));
    const keys = new Set(published.responses.map(response => response.key));
    for (const key of keys) {
      await publish(this, 0, key);
      await publish(this, 1, key);
    }
  },
);

Then('no order ran twice', async function (this: FleetWorld) {
  const counts = await countExecutions(this);
  const repeated = [...counts].filter(([, count]) => count > 1);
  assert.deepEqual(repeated, []);
});

Then('every order with an answer of the service ran once', async function (this: FleetWorld) {
  const counts = await countExecutions(this);
  const allRun = this.fleet.services.every(service => service.process.running);
  for (const {key, response: response} of ordersOf(this).responses) {
    if (response.status === 200 && allRun) assert.equal(counts.get(key), 1, key);
  }
});

Then('every order whose answers were all "not run" never ran', async function (this: FleetWorld) {
  const counts = await countExecutions(this);
  const {responses: responses} = ordersOf(this);
  for (const key of new Set(responses.map(response => response.key))) {
    const own = responses.filter(response => response.key === key);
    const neverRan = own.every(({response: response}) => response.error?.verdict === 'not_run');
    if (neverRan) assert.equal(counts.get(key) ?? 0, 0, key);
  }
});

Then(
  'at least {int} orders have an answer of the service',
  function (this: FleetWorld, minOrders: number) {
    const {responses: responses} = ordersOf(this);
    const servedKeys = new Set(responses.filter(a => a.response.status === 200).map(a => a.key));
    const otherResponses = responses
      .filter(a => a.response.status !== 200)
      .map(a => `${a.key} ${a.response.status} ${a.response.error?.code ?? 'cut'}`);
    assert.ok(
      servedKeys.size >= minOrders,
      `${servedKeys.size}; others: ${otherResponses.join(', ')}`,
    );
  },
);

Then('every final answer came within {int} ms', function (this: FleetWorld, limitMs: number) {
  const slowest = Math.max(...ordersOf(this).responses.map(response => response.elapsedMs));
  assert.ok(slowest <= limitMs, `${slowest} ms`);
});

Then('{int} new orders are answered', async function (this: FleetWorld, count: number) {
  const published = ordersOf(this);
  published.responses.length = 0;
  for (const service of this.fleet.services) {
    if (service.process.running) await this.fleet.setFaults(service.url, {cut: 0});
  }
  for (let i = 0; i < count; i++) await publish(this, i % 2, `new-${i}`);
  const statuses = published.responses.map(({response: response}) => response.status);
  assert.deepEqual(statuses, Array<number>(count).fill(200));
});

When(
  'the order {string} is published on entry {int}',
  async function (this: FleetWorld, key: string, entry: number) {
    await publish(this, entry, key);
  },
);

When(
  'the order {string} is published on entry {int} with another body',
  async function (this: FleetWorld, key: string, entry: number) {
    await publish(this, entry, key, 'another body');
  },
);

Then('the second answer is the first, marked as replayed', function (this: FleetWorld) {
  const [first, second] = ordersOf(this).responses;
  assert.equal(first.response.status, 200);
  assert.equal(second.response.status, 200);
  assert.deepEqual(second.response.body, first.response.body);
  assert.equal(second.response.headers.get('x-jasminepost-replayed'), 'true');
});

Then(
  'the second answer is {int} {string} and {string}',
  function (this: FleetWorld, status: number, code: string, verdict: string) {
    const {response: response} = ordersOf(this).responses[1];
    assert.equal(response.status, status);
    assert.equal(response.error?.code, code);
    assert.equal(response.error.verdict, verdict);
  },
);

When('{int} orders are published one after another', async function (this: FleetWorld, n: number) {
  const published = ordersOf(this);
  published.countersBefore = await this.fleet.readCounters(this.fleet.keyValueUrl);
  for (let i = 0; i < n; i++) await publish(this, 0, `cost-${i}`);
  this.savedValues.set('orders', n);
});

Then(
  'they cost at most {int} writes each and {int} reads',
  async function (this: FleetWorld, writes: number, reads: number) {
    const after = await this.fleet.readCounters(this.fleet.keyValueUrl);
    const before = ordersOf(this).countersBefore;
    const increase = (name: string) => (after[name] ?? 0) - (before[name] ?? 0);
    const orders = this.savedValues.get('orders')!;
    assert.ok(increase('PUT /v1/kv') <= writes * orders, `${increase('PUT /v1/kv')} writes`);
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
  'an entry cancels attempt {string} of order {string} and then a sidecar claims it',
  async function (this: FleetWorld, attempt: string, key: string) {
    const {store} = claimStores.get(this)!;
    assert.equal((await store.cancel('kowhai', key, 'f', attempt)).kind, 'never_runs');
    this.listed = (await store.claim('kowhai', key, 'f', attempt)).kind;
  },
);

Then('the claim is {string}', function (this: FleetWorld, kind: string) {
  assert.equal(this.listed, kind);
});

Then('another attempt {string} is granted', async function (this: FleetWorld, attempt: string) {
  const outcome = await claimStores.get(this)!.store.claim('kowhai', 'k', 'f', attempt);
  assert.equal(outcome.kind, 'granted');
});

Then(
  'a cancel of attempt {string} says {string}',
  async function (this: FleetWorld, attempt: string, kind: string) {
    const outcome = await claimStores.get(this)!.store.cancel('kowhai', 'k', 'f', attempt);
    assert.equal(outcome.kind, kind);
  },
);

Then(
  'a claim of attempt {string} says {string}',
  async function (this: FleetWorld, attempt: string, kind: string) {
    const outcome = await claimStores.get(this)!.store.claim('kowhai', 'k', 'f', attempt);
    assert.equal(outcome.kind, kind);
  },
);

When('sidecar {int} is paused', function (this: FleetWorld, index: number) {
  this.fleet.sidecars[index].process.signal('SIGSTOP');
});

Then('the first answer says {string}', function (this: FleetWorld, verdict: string) {
  const [{response: response}] = ordersOf(this).responses;
  assert.equal(response.error?.verdict, verdict, JSON.stringify(response.error));
});

Then('the first answer is {int}', function (this: FleetWorld, status: number) {
  assert.equal(ordersOf(this).responses[0].response.status, status);
});

Then(
  'after sidecar {int} goes on the order {string} has run {int} times',
  async function (this: FleetWorld, index: number, key: string, times: number) {
    this.fleet.sidecars[index].process.signal('SIGCONT');
    await new Promise(resolve => setTimeout(resolve, 2500));
    assert.equal((await countExecutions(this)).get(key) ?? 0, times);
  },
);

When(
  'the order {string} is sent to {string} while sidecar {int} is killed midway',
  async function (this: FleetWorld, key: string, path: string, index: number) {
    const {url} = this.fleet.entries[0];
    const pending = callService(url, PAID_KEY, path, key, {'idempotency-key': key});
    await new Promise(resolve => setTimeout(resolve, FAULT_DELAY_MS));
    await this.fleet.sidecars[index].process.kill();
    ordersOf(this).responses.push({key, response: await pending, elapsedMs: 0});
  },
);

Given(
  'the key-value service loses {int} answer to claims',
  async function (this: FleetWorld, loseAnswers: number) {
    await this.fleet.setFaults(this.fleet.keyValueUrl, {loseAnswers, losePrefix: 'claims/'});
  },
);

When(
  'an order is published and sidecar {int} gets SIGTERM midway',
  async function (this: FleetWorld, index: number) {
    const pending = publish(this, 0, 'stopped');
    await new Promise(resolve => setTimeout(resolve, FAULT_DELAY_MS));
    this.fleet.sidecars[index].process.signal('SIGTERM');
    await pending;
  },
);

Given(
  'the service pads its answers with {int} bytes',
  async function (this: FleetWorld, paddingBytes: number) {
    await this.fleet.setFaults(this.fleet.services[0].url, {paddingBytes});
  },
);

When(
  'the order {string} is published on entry {int} and, while it runs, on entry {int}',
  async function (this: FleetWorld, key: string, first: number, second: number) {
    const running = publish(this, first, key);
    await new Promise(resolve => setTimeout(resolve, FAULT_DELAY_MS));
    await publish(this, second, key);
    await running;
  },
);

Then(
  'the first answer is refused with {int} {string} and {string}',
  function (this: FleetWorld, status: number, code: string, verdict: string) {
    const [{response: response}] = ordersOf(this).responses;
    assert.equal(response.status, status);
    assert.equal(response.error?.code, code);
    assert.equal(response.error.verdict, verdict);
  },
);
