/** Steps about requests that reach a gateway or an entry while it stops. */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {sleep} from '@jasminepost/core';
import {RawConnection} from '../support/raw_connection.ts';
import {PAID_KEY} from '../support/test_fleet.ts';
import {HOST, type UsersFleet} from '../support/users_fleet.ts';
import {usersScenario} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

const ORDER_BODY = 'an order';
/** No order reaches it while the gateway stops. */
const ORDER_TIMEOUT_MS = 30_000;
/** By then the gateway has applied the new configuration, or the requests have been sent on. */
const SETTLE_MS = 1200;
const SENT_MS = 300;
const SERVICE_WORK_MS = 800;

interface Order {
  readonly ids: readonly string[];
  readonly connection: RawConnection;
}

const orders = new WeakMap<FleetWorld, Order[]>();

function orderHead(id: string): string {
  const head = `POST /order/7 HTTP/1.1\r\nhost: ${HOST}\r\nrequest-id: ${id}\r\n`;
  return `${head}deadline-ms: 30000\r\ncontent-length: ${ORDER_BODY.length}\r\n\r\n`;
}

function connectTo(fleet: UsersFleet): RawConnection {
  const {ip, callerPort} = fleet.gateways[0];
  return new RawConnection(ip, callerPort);
}

async function stopGateway(fleet: UsersFleet): Promise<void> {
  await sleep(SENT_MS);
  fleet.gateways[0].process.signal('SIGTERM');
}

async function awaitEnds(world: FleetWorld): Promise<void> {
  await Promise.all(orders.get(world)!.map(({connection}) => connection.closed));
}

When(
  'the gateway is stopped, and {int} orders have their last byte {int} ms later',
  {timeout: 30_000},
  async function (this: FleetWorld, count: number, atMs: number) {
    const {fleet} = usersScenario(this);
    fleet.configure({timeoutMs: ORDER_TIMEOUT_MS});
    await sleep(SETTLE_MS);
    const sent = Array.from({length: count}, (_, i) => {
      const connection = connectTo(fleet);
      connection.write(orderHead(`slow-${i}`) + ORDER_BODY.slice(0, -1));
      return {ids: [`slow-${i}`], connection};
    });
    orders.set(this, sent);
    await stopGateway(fleet);
    await sleep(atMs);
    for (const {connection} of sent) connection.write(ORDER_BODY.slice(-1));
    await awaitEnds(this);
  },
);

When(
  'the gateway is stopped, and {int} ms later {int} orders follow others on their connections',
  {timeout: 30_000},
  async function (this: FleetWorld, whenMs: number, count: number) {
    const {fleet} = usersScenario(this);
    const open = Array.from({length: count}, (_, i) => ({
      ids: [`first-${i}`, `second-${i}`],
      connection: connectTo(fleet),
    }));
    orders.set(this, open);
    await stopGateway(fleet);
    await sleep(whenMs);
    for (const {ids, connection} of open) {
      connection.write(orderHead(ids[0]) + ORDER_BODY);
      await sleep(10);
      connection.write(orderHead(ids[1]) + ORDER_BODY);
    }
    await awaitEnds(this);
  },
);

When(
  'the gateway is stopped while {int} orders run that may last {int} ms',
  {timeout: 30_000},
  async function (this: FleetWorld, count: number, timeoutMs: number) {
    const {fleet} = usersScenario(this);
    fleet.configure({timeoutMs});
    await sleep(SETTLE_MS);
    const sent = Array.from({length: count}, (_, i) => {
      const connection = connectTo(fleet);
      connection.write(orderHead(`long-${i}`) + ORDER_BODY);
      return {ids: [`long-${i}`], connection};
    });
    orders.set(this, sent);
    await stopGateway(fleet);
    await awaitEnds(this);
  },
);

When(
  'the entry is stopped, and {int} requests follow others on their connections',
  {timeout: 30_000},
  async function (this: FleetWorld, count: number) {
    const {fleet} = this;
    await fleet.setFaults(fleet.services[0].url, {workMs: SERVICE_WORK_MS});
    const {hostname, port} = new URL(fleet.entries[0].url);
    const body = (id: string) => `the call ${id}`;
    const call = (id: string) =>
      `PUT /services/ledger/a HTTP/1.1\r\nhost: ${hostname}\r\nauthorization: Bearer ${PAID_KEY}\r\n` +
      `content-length: ${body(id).length}\r\n\r\n${body(id)}`;
    const open = Array.from({length: count}, (_, i) => ({
      ids: [body(`first-${i}`), body(`second-${i}`)],
      connection: new RawConnection(hostname, Number(port)),
    }));
    orders.set(this, open);
    await sleep(SENT_MS);
    fleet.entries[0].process.signal('SIGTERM');
    await sleep(SENT_MS);
    for (let i = 0; i < count; i++) {
      open[i].connection.write(call(`first-${i}`));
      await sleep(10);
      open[i].connection.write(call(`second-${i}`));
    }
    await awaitEnds(this);
  },
);

Then('each order that ran has its answer', function (this: FleetWorld) {
  const ran = new Set(usersScenario(this).fleet.services[0].runs.map(({id}) => id));
  for (const {ids, connection} of orders.get(this)!) {
    const statuses = connection.statuses();
    for (const [index, id] of ids.entries())
      if (ran.has(id)) assert.equal(statuses[index], 200, `${id}: ${connection.text}`);
  }
});

Then('the other orders are refused as not run', function (this: FleetWorld) {
  const ran = new Set(usersScenario(this).fleet.services[0].runs.map(({id}) => id));
  for (const {ids, connection} of orders.get(this)!) {
    if (!ran.has(ids[0])) assert.deepEqual(connection.statuses(), [503], connection.text);
  }
});

Then('no order has run without an answer to the one ahead of it', function (this: FleetWorld) {
  const ran = new Set(usersScenario(this).fleet.services[0].runs.map(({id}) => id));
  assert.ok(ran.size > 0);
  for (const {ids, connection} of orders.get(this)!) {
    if (ran.has(ids[1])) assert.equal(connection.statuses().length, 2, connection.text);
  }
});

Then(/^every order is answered with (\d+)$/, function (this: FleetWorld, status: string) {
  for (const {connection} of orders.get(this)!)
    assert.deepEqual(connection.statuses(), [Number(status)], connection.text);
});

Then(
  /^all (\d+) requests are answered, or have not run$/,
  async function (this: FleetWorld, count: string) {
    const executions = await this.fleet.readCounters(this.fleet.services[0].url);
    let answered = 0;
    for (const {ids, connection} of orders.get(this)!) {
      const statuses = connection.statuses();
      answered += statuses.length;
      const ran = ids.filter(id => executions[id] !== undefined);
      assert.ok(statuses.length >= ran.length, `${ran.join()}: ${connection.text}`);
    }
    assert.ok(answered >= Number(count) / 2, `${answered} answers`);
  },
);
