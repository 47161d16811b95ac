/** Steps about entries of other writers among those of the replicas. */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {sleep} from '@jasminepost/core';
import type {UsersFleet} from '../support/users_fleet.ts';
import {until} from '../support/fleet_process.ts';
import {usersScenario} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

const SETTLE_MS = 800;
/** Time in which a first change has reached the gateways. */
const FIRST_CHANGE_MS = 8;
const ODD_KEY = 'servers/i-odd';
const NESTED_LISTS = '['.repeat(100_000) + ']'.repeat(100_000);

/** Entry in which the raw text of some fields is replaced, or `text` as a whole. */
interface OddEntry {
  readonly key?: string;
  readonly fields?: Readonly<Record<string, string>>;
  readonly text?: Buffer;
}

const ODDITIES = new Map<string, OddEntry>([
  ['100000 nested lists', {fields: {note: NESTED_LISTS, slots: '"8"'}}],
  ['100000 nested lists as address', {fields: {address: NESTED_LISTS}}],
  ['100000 nested lists as models', {fields: {models: NESTED_LISTS}}],
  ['slots beyond all numbers', {fields: {slots: '1e999'}}],
  ['slots of 1e308', {fields: {slots: '1e308'}}],
  ['slots of 2.5', {fields: {slots: '2.5'}}],
  ['slots of 0', {fields: {slots: '0'}}],
  ['a start of 1e308', {fields: {born: '1e308'}}],
  ['port 70000', {fields: {address: '"127.0.0.1:70000"'}}],
  ['port 0', {fields: {address: '"127.0.0.1:0"'}}],
  ['port 1e2', {fields: {address: '"127.0.0.1:1e2"'}}],
  ['no port', {fields: {address: '"127.0.0.1:"'}}],
  ['a space in its host', {fields: {address: '"127.0 .0.1:80"'}}],
  ['a slash in its host', {fields: {address: '"127.0.0.1/x:80"'}}],
  ['an unclosed bracket in its host', {fields: {address: '"[::1:80"'}}],
  ['a line break in its id', {key: 'servers/i-\n-odd'}],
  ['bytes that are no text', {text: Buffer.from([0xff, 0xfe, 0x00, 0x7b])}],
]);

function putOddEntry(fleet: UsersFleet, {key = ODD_KEY, fields = {}, text}: OddEntry): void {
  const [replica] = fleet.services;
  const good = replica.registration(fleet.hostOf(replica)) as Record<string, unknown>;
  // Nobody listens at this port.
  const entry = {...good, address: '127.0.0.1:9', born: replica.born + 1};
  const raw = Object.entries(entry).map(([name, value]) => [name, JSON.stringify(value)]);
  const rawFields = {...Object.fromEntries(raw), ...fields} as Record<string, string>;
  const lines = Object.entries(rawFields).map(([name, value]) => `"${name}":${value}`);
  fleet.store.putBytes(key, text ?? Buffer.from(`{${lines.join(',')}}`));
}

async function callOrders(fleet: UsersFleet, count: number): Promise<void> {
  for (let i = 0; i < count; i++) {
    const gateway = i % fleet.gateways.length;
    const {status, body} = await fleet.call({path: `/order/${i}`, gateway});
    assert.equal(status, 200, body);
  }
}

When(
  /^an entry that has (.+) is listed together with a new replica$/,
  async function (this: FleetWorld, oddity: string) {
    const {fleet} = usersScenario(this);
    const odd = ODDITIES.get(oddity);
    assert.ok(odd, oddity);
    const replica = await fleet.addReplica('orders', false);
    // After a change the gateways wait before their next call, so that it returns the others at once.
    fleet.register(fleet.services[0]);
    await sleep(FIRST_CHANGE_MS);
    putOddEntry(fleet, odd);
    fleet.register(replica);
    await sleep(SETTLE_MS);
  },
);

When(
  'entries of each oddity are listed, and the gateway restarts',
  async function (this: FleetWorld) {
    const {fleet} = usersScenario(this);
    for (const [index, odd] of [...ODDITIES.values()].entries()) {
      putOddEntry(fleet, {key: `servers/i-a-${index}`, ...odd});
    }
    await fleet.gateways[0].process.kill();
    fleet.restartGateway(0);
    await until('a ready gateway', 10_000, async () => (await fleet.isReady(0)) || undefined);
  },
);

Then('every gateway goes on without a restart', function (this: FleetWorld) {
  for (const {process} of usersScenario(this).fleet.gateways) {
    assert.ok(process.running);
    const lines = process.log.join('').split('\n');
    assert.deepEqual(
      lines.filter(line => line.includes('uncaught')),
      [],
    );
  }
});

Then(
  'all orders are served, the new replica gets some, and the odd entry none',
  async function (this: FleetWorld) {
    const {fleet} = usersScenario(this);
    await callOrders(fleet, 24);
    const logs = fleet.gateways.flatMap(({process}) => process.log).join('');
    const listed = logs.split('\n').filter(line => line.includes('"replica listed"'));
    assert.ok(!listed.some(line => line.includes('odd')), 'the odd entry is listed');
    assert.ok(fleet.services[1].runs.length > 0, 'the new replica got no order');
  },
);

Then('all orders are served', async function (this: FleetWorld) {
  await callOrders(usersScenario(this).fleet, 12);
});

When('the odd entry is replaced by a good one', async function (this: FleetWorld) {
  const {fleet} = usersScenario(this);
  const replica = await fleet.addReplica('orders', false);
  replica.id = 'i-odd';
  fleet.register(replica);
  await sleep(SETTLE_MS);
});

Then('the replica that it names gets orders', async function (this: FleetWorld) {
  const {fleet} = usersScenario(this);
  await callOrders(fleet, 24);
  assert.ok(fleet.services[2].runs.length > 0, 'the replica of the repaired entry got no order');
});
