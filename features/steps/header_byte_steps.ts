/** Steps about bytes of headers that pass through a gateway. */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {until} from '../support/fleet_process.ts';
import {RawConnection} from '../support/raw_connection.ts';
import {HOST} from '../support/users_fleet.ts';
import {usersScenario} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

const HEADER = 'x-place';
const ANSWER_TIMEOUT_MS = 3000;

const received = new WeakMap<FleetWorld, string>();

/** Text with one character for each byte, as Node represents header values. */
function toLatin1(bytes: string): string {
  return Buffer.from(bytes.replaceAll(' ', ''), 'hex').toString('latin1');
}

When(
  /^an order is sent with the bytes "(.*)" in a header of the (request|response)$/,
  async function (this: FleetWorld, bytes: string, direction: string) {
    const {fleet} = usersScenario(this);
    const value = toLatin1(bytes);
    const [service] = fleet.services;
    if (direction === 'response') service.extraHeaders = {[HEADER]: value};
    const {ip, callerPort} = fleet.gateways[0];
    const connection = new RawConnection(ip, callerPort);
    const line = direction === 'request' ? `${HEADER}: ${value}\r\n` : '';
    const head = `POST /order/7 HTTP/1.1\r\nhost: ${HOST}\r\nrequest-id: placed\r\n`;
    connection.write(`${head}deadline-ms: 3000\r\n${line}content-length: 0\r\n\r\n`);
    const text = await until('a response', ANSWER_TIMEOUT_MS, async () =>
      connection.text.includes('\r\n\r\n') ? connection.text : undefined,
    ).finally(() => connection.end());
    assert.match(text, /^HTTP\/1\.1 200 /);
    const inResponse = new RegExp(`^${HEADER}: ([^\\r]*)\\r$`, 'im').exec(text)?.[1];
    const inRequest = String(service.runs[0]?.headers[HEADER]);
    received.set(this, (direction === 'request' ? inRequest : inResponse) ?? '');
  },
);

Then('the order has run once and is answered', function (this: FleetWorld) {
  assert.equal(usersScenario(this).fleet.services[0].runs.length, 1);
});

Then('the other side has received the bytes {string}', function (this: FleetWorld, bytes: string) {
  assert.equal(received.get(this), toLatin1(bytes));
});
