/** Steps about the graceful shutdown of gateways. */
import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {Then, When} from '@cucumber/cucumber';
import {sleep} from '@jasminepost/core';
import {HOST, MODEL} from '../support/users_fleet.ts';
import {usersScenario} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

/** By then the gateway has applied the new configuration. */
const CONFIG_APPLY_MS = 1200;
/** By then the stream has started. */
const STREAM_START_MS = 400;
/** By then the gateway accepts no new connections. */
const LISTENER_CLOSE_MS = 2900;

const receivedTexts = new WeakMap<FleetWorld, string>();

When(
  "a caller's stream goes on after the stop signal and an order follows on its connection",
  {timeout: 20_000},
  async function (this: FleetWorld) {
    const {fleet} = usersScenario(this);
    fleet.configure({timeoutMs: 6000});
    fleet.engines[0].eventMs = 1000;
    await sleep(CONFIG_APPLY_MS);
    const {ip, callerPort} = fleet.gateways[0];
    const socket = connect({host: ip, port: callerPort});
    let text = '';
    socket.on('data', (chunk: Buffer) => (text += chunk.toString('utf8')));
    const closed = new Promise(resolve => socket.once('close', resolve));
    socket.write(buildRequest('/long/1', `model: ${MODEL}\r\ntoken-usage: 100,20\r\n`));
    await sleep(STREAM_START_MS);
    fleet.gateways[0].process.signal('SIGTERM');
    await sleep(LISTENER_CLOSE_MS);
    socket.write(buildRequest('/order/7', ''));
    await closed;
    receivedTexts.set(this, text);
  },
);

When(
  'the first gateway is stopped while {int} orders run',
  async function (this: FleetWorld, count: number) {
    const notes = usersScenario(this);
    const {fleet} = notes;
    const running = Array.from({length: count}, () => fleet.call({path: '/order/7'}));
    await sleep(300);
    fleet.gateways[0].process.signal('SIGTERM');
    await sleep(200);
    notes.wasUnready = !(await fleet.isReady(0));
    notes.answers = await Promise.all(running);
  },
);

Then(
  'the stream is whole and the order is refused, without having run',
  function (this: FleetWorld) {
    const text = receivedTexts.get(this)!;
    const [stream, order] = text.split(/(?=HTTP\/1\.1 )/);
    assert.match(stream, /^HTTP\/1\.1 200 /);
    assert.ok(stream.includes('piece 4'), stream);
    assert.match(order, /^HTTP\/1\.1 503 [^]*retry-after: 0\./i);
    assert.equal(usersScenario(this).fleet.services[0].runs.length, 0);
  },
);

function buildRequest(path: string, headers: string): string {
  const head = `POST ${path} HTTP/1.1\r\nhost: ${HOST}\r\nrequest-id: ${path}\r\n`;
  return `${head}deadline-ms: 6000\r\n${headers}content-length: 0\r\n\r\n`;
}
