/** Steps about heads with many headers, or large ones. */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {HeadReplica} from '../../stand_ins/users_platform/head_replica.ts';
import {until} from '../support/fleet_process.ts';
import {RawConnection} from '../support/raw_connection.ts';
import {PAID_KEY} from '../support/test_fleet.ts';
import {HOST} from '../support/users_fleet.ts';
import {usersScenario} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

const ANSWER_TIMEOUT_MS = 5000;
/** `headerBytes` of the configuration. */
const MAX_HEAD_BYTES = 16_384;
const SEED = 20261207;
const LAST = 'x-last: kept';

interface Sent {
  readonly lines: readonly string[];
  readonly status: number;
  readonly response: string;
  /** Head that the replica got; undefined when it got none. */
  readonly arrived: string | undefined;
}

const sent = new WeakMap<FleetWorld, Sent[]>();
const responseLines = new WeakMap<FleetWorld, readonly string[]>();

/** Bytes of a header line on the wire. */
const lineBytes = (line: string) => line.length + 2;
const totalBytes = (lines: readonly string[]) =>
  lines.reduce((sum, line) => sum + lineBytes(line), 0);

/** Header lines, by their description in the feature. */
function headerLines(text: string, ownBytes: number): string[] {
  const counted = /^(\d+) headers of (\d+) bytes$/.exec(text);
  if (counted !== null) {
    const [count, bytes] = counted.slice(1).map(Number);
    // `x: 1` and the end of the line take six bytes.
    return Array.from({length: count}, () => `x: ${'1'.repeat(bytes - 5)}`);
  }
  const repeated = /^(\d+) headers of the same name$/.exec(text);
  if (repeated !== null)
    return Array.from({length: Number(repeated[1])}, (_, i) => `X-Same: value ${i}`);
  const [, bytes] = /^headers of (\d+) bytes in all$/.exec(text)!;
  return [`x-fill: ${'1'.repeat(Number(bytes) - ownBytes - lineBytes('x-fill: '))}`];
}

function ownLines(id: string): string[] {
  return [`host: ${HOST}`, `request-id: ${id}`, 'deadline-ms: 3000', 'connection: close'];
}

async function startHeadReplica(world: FleetWorld): Promise<HeadReplica> {
  const {fleet} = usersScenario(world);
  const {id} = fleet.services[0];
  const replica = new HeadReplica(id);
  await replica.listen(fleet.gateways[0].ip);
  fleet.store.put(`servers/${id}`, replica.registration('orders', 'zone-a'));
  await until('the replica that records heads is used', ANSWER_TIMEOUT_MS, async () => {
    await fleet.call({path: '/read/a'});
    return replica.heads.size > 0 ? true : undefined;
  });
  return replica;
}

async function exchange(connection: RawConnection, text: string): Promise<string> {
  connection.write(text);
  await until('a response', ANSWER_TIMEOUT_MS, async () =>
    connection.text.includes('\r\n\r\n') ? true : undefined,
  ).finally(() => connection.end());
  return connection.text;
}

async function send(
  world: FleetWorld,
  replica: HeadReplica,
  id: string,
  extra: readonly string[],
): Promise<Sent> {
  const [{ip, callerPort}] = usersScenario(world).fleet.gateways;
  const lines = [...ownLines(id), ...extra];
  const head = ['GET /read/a HTTP/1.1', ...lines].join('\r\n');
  const response = await exchange(new RawConnection(ip, callerPort), `${head}\r\n\r\n`);
  const status = Number(/^HTTP\/1\.1 (\d+)/.exec(response)?.[1]);
  return {lines: extra, status, response, arrived: replica.heads.get(id)};
}

function hasArrived({lines, arrived, status}: Sent): boolean {
  return status === 200 && `${arrived}\r\n`.includes(`${lines.join('\r\n')}\r\n`);
}

When(
  /^a request with (.+) is sent to a replica that records heads$/,
  async function (this: FleetWorld, headers: string) {
    const replica = await startHeadReplica(this);
    const lines = headerLines(headers, totalBytes(ownLines('a')));
    sent.set(this, [await send(this, replica, 'a', lines)]);
    replica.close();
  },
);

Then('the request has arrived whole', function (this: FleetWorld) {
  const [request] = sent.get(this)!;
  assert.ok(hasArrived(request), `${request.status}: ${request.arrived?.slice(-200)}`);
});

Then('the request has been refused with {int}', function (this: FleetWorld, status: number) {
  const [request] = sent.get(this)!;
  assert.equal(request.status, status);
  assert.equal(request.arrived, undefined);
});

const fieldName = fc.stringMatching(/^x-[a-z]{1,6}$/);
const shortValue = fc.stringMatching(/^[!-~]$/);
const longValue = fc.stringMatching(/^[!-~][ -~]{10,300}[!-~]$/);

/** Up to 3000 header lines with these values, as far as they are within the limit. */
const linesWith = (value: fc.Arbitrary<string>) =>
  fc.array(fc.tuple(fieldName, value), {minLength: 1, maxLength: 3000, size: 'max'}).map(fields => {
    let left = MAX_HEAD_BYTES - totalBytes(ownLines('head-000'));
    return fields
      .map(([name, text]) => `${name}: ${text}`)
      .filter(line => (left -= lineBytes(line)) >= 0);
  });

/** Many short lines, few long ones, and both; names repeat. */
const randomHeads = fc.oneof(
  linesWith(shortValue),
  linesWith(longValue),
  linesWith(fc.oneof(shortValue, longValue)),
);

When(
  /^(\d+) random heads are sent to a replica that records heads$/,
  async function (this: FleetWorld, count: string) {
    const replica = await startHeadReplica(this);
    const heads = fc.sample(randomHeads, {numRuns: Number(count), seed: SEED});
    const results: Sent[] = [];
    for (const [i, lines] of heads.entries())
      results.push(await send(this, replica, `head-${String(i).padStart(3, '0')}`, lines));
    sent.set(this, results);
    replica.close();
  },
);

Then('all heads have arrived whole', function (this: FleetWorld) {
  const lost = sent.get(this)!.filter(each => !hasArrived(each));
  assert.deepEqual(
    lost.map(({status, lines}) => `${status}: ${lines.length} lines, ${totalBytes(lines)} bytes`),
    [],
  );
});

When(/^a replica's response has (.+)$/, async function (this: FleetWorld, headers: string) {
  const replica = await startHeadReplica(this);
  replica.responseLines = headerLines(headers, 0);
  sent.set(this, [await send(this, replica, 'a', [])]);
  replica.close();
  responseLines.set(this, replica.responseLines);
});

Then('the response has arrived whole', function (this: FleetWorld) {
  const [{response}] = sent.get(this)!;
  assert.ok(
    response.includes(`${responseLines.get(this)!.join('\r\n')}\r\n`),
    response.slice(0, 200),
  );
});

When(
  /^a request with (.+) and a last one is sent to a service that records heads$/,
  async function (this: FleetWorld, headers: string) {
    const [service] = this.fleet.services;
    const {hostname, port} = new URL(service.url);
    await service.process.kill();
    const replica = new HeadReplica('a');
    await replica.listen(hostname, Number(port));
    const entry = new URL(this.fleet.entries[0].url);
    const own = [`host: ${entry.host}`, `authorization: Bearer ${PAID_KEY}`, 'connection: close'];
    const extra = [...headerLines(headers, 0).map((line, i) => line.replace('x', `x${i}`)), LAST];
    const head = ['GET /services/ledger/a HTTP/1.1', ...own, ...extra].join('\r\n');
    const response = await until('a response of the service', ANSWER_TIMEOUT_MS, async () => {
      const connection = new RawConnection(entry.hostname, Number(entry.port));
      const text = await exchange(connection, `${head}\r\n\r\n`);
      return text.startsWith('HTTP/1.1 200') ? text : undefined;
    });
    sent.set(this, [{lines: [LAST], status: 200, response, arrived: replica.heads.get('')}]);
    replica.close();
  },
);

Then('the last header has arrived', function (this: FleetWorld) {
  const [{arrived}] = sent.get(this)!;
  assert.ok(arrived?.includes(LAST), arrived?.slice(-200));
});
