/** Steps about the keys of organisations on the users' platform. */
import assert from 'node:assert/strict';
import {Given, Then, When, type DataTable} from '@cucumber/cucumber';
import {sleep} from '@jasminepost/core';
import {
  compareQueuedRequests,
  enginePriority,
  rejectionWithoutKey,
  settleKeyCheck,
  type AcceptedKey,
  type KeyCheck,
} from '@jasminepost/policy';
import {announceConfiguration} from '../support/announced_config.ts';
import {until} from '../support/fleet_process.ts';
import {RawConnection} from '../support/raw_connection.ts';
import {
  HOST,
  UsersFleet,
  type TestOrganisation,
  type UsersResponse,
} from '../support/users_fleet.ts';
import {replicas, usersScenario, usersScenarios} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

/** Every key of these tests has this text in it, so that logs and replicas can be searched for it. */
const MARK = 'k3y';
const KEY = `${MARK}-anga`;
const SHARED_KEY = `${MARK}-shared`;
const NEW_KEY = `${MARK}-new`;
/** Ends in bytes that are not ASCII. */
const MACRON_KEY = `${MARK}-kōwhai`;
const ANGA: TestOrganisation = {name: 'anga', apiKeys: [KEY, `${KEY}-2`, SHARED_KEY], priority: 1};
const ORGANISATIONS = [ANGA, {name: 'kōwhai', apiKeys: [MACRON_KEY, SHARED_KEY]}];
/** By then gateways have the configuration, and one of them plans. */
const SETTLE_MS = 2500;
const LARGE_BODY_BYTES = 60_000;

const PATHS: Readonly<Record<string, string>> = {
  'an order': '/order/7',
  'a large order': '/order/7',
  'a draft': '/draft/7',
  'a read': '/read/7',
  'an unknown path': '/nothing/7',
};

const HEADERS: Readonly<Record<string, Readonly<Record<string, string | string[]>>>> = {
  'no key': {},
  'the key of anga': {authorization: `Bearer ${KEY}`},
  'the second key of anga': {authorization: `Bearer  ${KEY}-2 `},
  'the key of kōwhai': {authorization: `Bearer ${latin1(MACRON_KEY)}`},
  'the scheme in upper case': {AUTHORIZATION: `BEARER ${KEY}`},
  'a key and a forged name': {authorization: `Bearer ${KEY}`, tenant: 'forged'},
  'an unknown key': {authorization: `Bearer ${MARK}-unknown`},
  'a key of two organisations': {authorization: `Bearer ${SHARED_KEY}`},
  'another scheme': {authorization: `Basic ${KEY}`},
  'two keys': {authorization: [`Bearer ${KEY}`, `Bearer ${KEY}`]},
  'a key with other bytes': {authorization: `Bearer ${KEY}\u00ff\u0080`},
  'an empty key': {authorization: 'Bearer '},
};

const FAULTY: Readonly<Record<string, string>> = {
  'a name with a line break': JSON.stringify({tenants: [{name: 'a\nb', apiKeys: [KEY]}]}),
  'a key that is a number': JSON.stringify({tenants: [{name: 'a', apiKeys: [7]}]}),
  'text after the document': `{"tenants":[{"apiKeys":["${KEY}"]}]} ${KEY}`,
};

const lastResponses = new WeakMap<FleetWorld, UsersResponse>();
const acceptedOrders = new WeakMap<FleetWorld, Promise<UsersResponse>>();
const connections = new WeakMap<FleetWorld, RawConnection>();

/** The UTF-8 bytes of a text, one character for each. */
function latin1(text: string): string {
  return Buffer.from(text, 'utf8').toString('latin1');
}

function order(fleet: UsersFleet, key: string, gateway = 0): Promise<UsersResponse> {
  return fleet.call({path: '/order/7', headers: {authorization: `Bearer ${key}`}, gateway});
}

Given("a users' fleet with organisations", async function (this: FleetWorld) {
  const fleet = new UsersFleet();
  usersScenarios.set(this, {fleet, answers: [], pending: Promise.resolve([]), wasUnready: false});
  await fleet.start(1, 1, 2, true);
  fleet.configure({organisations: ORGANISATIONS, anonymous: ['read']});
  await sleep(SETTLE_MS);
});

When(
  /^a caller with (.+) sends (an order|a large order|a draft|a read|an unknown path)$/,
  async function (this: FleetWorld, header: string, what: string) {
    const {fleet} = usersScenario(this);
    const body = Buffer.alloc(what === 'a large order' ? LARGE_BODY_BYTES : 1);
    const headers = HEADERS[header];
    assert.ok(headers !== undefined, header);
    lastResponses.set(this, await fleet.call({path: PATHS[what], headers, body}));
  },
);

Then(
  /^its status is (\d+), and the replica was told (.+)$/,
  function (this: FleetWorld, status: string, told: string) {
    assert.equal(lastResponses.get(this)!.status, Number(status));
    const runs = replicas(this).flatMap(replica => replica.runs);
    const names = runs.map(({headers}) => headers['tenant'] ?? 'no name');
    assert.deepEqual(names, told === 'nothing' ? [] : [told === 'no name' ? told : latin1(told)]);
  },
);

Then('no replica has seen a key, and no log names one', function (this: FleetWorld) {
  const seen = replicas(this).flatMap(({runs}) => runs.map(({headers}) => headers));
  assert.ok(!JSON.stringify(seen).includes(MARK));
  for (const {process} of usersScenario(this).fleet.gateways) {
    assert.ok(!process.log.join('').includes(MARK));
  }
});

Then('the replica has seen the key', function (this: FleetWorld) {
  const [run] = usersScenario(this).fleet.services[0].runs;
  assert.equal(run.headers.authorization, `Bearer ${KEY}`);
});

When('a caller sends the head of an order without a key', function (this: FleetWorld) {
  const {ip, callerPort} = usersScenario(this).fleet.gateways[0];
  const connection = new RawConnection(ip, callerPort);
  connection.write(`POST /order/7 HTTP/1.1\r\nHost: ${HOST}\r\nContent-Length: 50000\r\n\r\nx`);
  connections.set(this, connection);
});

Then('it gets 401 within {int} ms', async function (this: FleetWorld, withinMs: number) {
  const connection = connections.get(this)!;
  await until('a response', withinMs, async () =>
    connection.statuses().includes(401) ? true : undefined,
  );
  connection.end();
});

When(
  "an order of anga takes {int} ms, and anga's keys are replaced",
  async function (this: FleetWorld, workMs: number) {
    const {fleet} = usersScenario(this);
    const [replica] = fleet.services;
    replica.workMs = workMs;
    acceptedOrders.set(this, order(fleet, KEY));
    await until('a running order', workMs, async () =>
      replica.runs.length > 0 ? true : undefined,
    );
    replica.workMs = 0;
    fleet.configure({organisations: [{...ANGA, apiKeys: [NEW_KEY]}]});
  },
);

Then(
  'the new key is accepted and the old one gets 401 at every gateway within {int} ms',
  async function (this: FleetWorld, withinMs: number) {
    const {fleet} = usersScenario(this);
    const changed = fleet.gateways.map((_, gateway) =>
      until(`the new key at gateway ${gateway}`, withinMs, async () => {
        const [added, removed] = [
          await order(fleet, NEW_KEY, gateway),
          await order(fleet, KEY, gateway),
        ];
        return added.status === 200 && removed.status === 401 ? true : undefined;
      }),
    );
    await Promise.all(changed);
  },
);

Then('the order that was accepted before is complete', async function (this: FleetWorld) {
  assert.equal((await acceptedOrders.get(this)!).status, 200);
});

When(
  /^the gateway is cut off from the store for (\d+) ms$/,
  async function (this: FleetWorld, cutMs: string) {
    usersScenario(this).fleet.storeProxy!.setState('held');
    await sleep(Number(cutMs));
  },
);

When('the gateway is restarted without a store', async function (this: FleetWorld) {
  const {fleet} = usersScenario(this);
  fleet.store.mode = 'silent';
  await fleet.gateways[0].process.kill();
  fleet.restartGateway(0);
  await until('a listening gateway', SETTLE_MS * 2, async () =>
    (await order(fleet, KEY)).status > 0 ? true : undefined,
  );
});

Then(/^its Retry-After is (absent|positive)$/, function (this: FleetWorld, what: string) {
  const value = lastResponses.get(this)!.headers['retry-after'];
  if (what === 'absent') assert.equal(value, undefined);
  else assert.ok(Number(value) > 0, String(value));
});

When(/^a configuration with (.+) is written$/, function (this: FleetWorld, fault: string) {
  const {store} = usersScenario(this).fleet;
  const {tenants, ...rest} = JSON.parse(store.read('op/config')!) as Record<string, unknown>;
  assert.ok(tenants !== undefined);
  const isDocument = fault !== 'text after the document';
  const faulty = isDocument ? {...rest, ...(JSON.parse(FAULTY[fault]) as object)} : FAULTY[fault];
  store.put('op/config', faulty);
});

Then('the log of the gateway names {string}', async function (this: FleetWorld, text: string) {
  const [{process}] = usersScenario(this).fleet.gateways;
  await until(text, SETTLE_MS, async () =>
    process.log.join('').includes(text) ? true : undefined,
  );
  assert.ok(!process.log.join('').includes(MARK));
});

Then('a caller with the key of anga is served', async function (this: FleetWorld) {
  assert.equal((await order(usersScenario(this).fleet, KEY)).status, 200);
});

When('the keys of anga are replaced by {int}', function (this: FleetWorld, count: number) {
  const apiKeys = Array.from({length: count}, (_, i) => `${MARK}-${i}-${'x'.repeat(28)}`);
  apiKeys.push(NEW_KEY);
  usersScenario(this).fleet.configure({organisations: [{...ANGA, apiKeys}]});
});

Then(
  'the last of them is accepted at every gateway within {int} ms',
  async function (this: FleetWorld, withinMs: number) {
    const {fleet} = usersScenario(this);
    const accepted = fleet.gateways.map((_, gateway) =>
      until(`the last key at gateway ${gateway}`, withinMs, async () =>
        (await order(fleet, NEW_KEY, gateway)).status === 200 ? true : undefined,
      ),
    );
    await Promise.all(accepted);
  },
);

Then(
  /^a request without a valid key is answered (\w+) at (\d+) ms with (no|a) newer one announced$/,
  function (answer: string, ageMs: string, newer: string) {
    const currency = {ageMs: Number(ageMs), applyMs: 3000, isNewerAnnounced: newer === 'a'};
    assert.equal(rejectionWithoutKey(currency), answer);
  },
);

Then(
  /^a request accepted as (\S+) and then checked as (\S+) counts as (\S+)$/,
  function (accepted: string, newest: string, result: string) {
    const before =
      accepted === 'unchecked' ? undefined : (checkOf(accepted) as AcceptedKey<string>);
    assert.deepEqual(settleKeyCheck(before, checkOf(newest)), checkOf(result));
  },
);

function checkOf(what: string): KeyCheck<string> {
  switch (what) {
    case 'anonymous':
    case 'not_required':
      return {kind: what};
    case 'unidentified':
      return {kind: what, fault: 'unknown_key'};
    default:
      return {kind: 'identified', organisation: what};
  }
}

Then(
  'these requests are served in this order, by priorities of organisation and route',
  function (table: DataTable) {
    const rows = table.hashes().map((row, i) => ({
      organisationPriority: Number(row['organisation']),
      priority: Number(row['route']),
      isDelayTolerant: false,
      engine: Number(row['on the replica']),
      arrivedMs: 0,
      // Those that come later in the table are more urgent in all other respects.
      sendByMs: 1000 - i,
      abandonedMs: 2000,
    }));
    const ordered = [...rows].reverse().sort((a, b) => compareQueuedRequests(a, b, 0));
    assert.deepEqual(ordered, rows);
    for (const row of rows) assert.equal(enginePriority(row), row.engine);
  },
);

Then(
  'a newer configuration counts as announced only between its report and its read',
  async function () {
    assert.deepEqual(await announceConfiguration(), [false, true, false]);
  },
);
