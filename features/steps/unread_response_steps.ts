/** Steps about responses that callers have not read when their gateway or entry stops. */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {sleep} from '@jasminepost/core';
import {LargeServer, type LargeEnding, type LargeFraming} from '../../stand_ins/large_response.ts';
import {bodyLength, looksComplete, readLate, type LateResponse} from '../support/late_caller.ts';
import {until, type FleetProcess} from '../support/fleet_process.ts';
import {PAID_KEY} from '../support/test_fleet.ts';
import {HOST} from '../support/users_fleet.ts';
import {usersScenario} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

const READY_TIMEOUT_MS = 5000;
const REQUEST_TIMEOUT_MS = 20_000;
/** By then the kernel holds all that it takes for callers that don't read. */
const FILL_MS = 1500;
/** Certainly more than the kernel takes. */
const PROBE_BYTES = 16_000_000;
/** The last bytes of the responses wait in the process, up to what its buffers take. */
const STEP_BYTES = 2400;
const GRACE_MS = 5000;

/** A gateway or entry, and how it is asked for a response of a length. */
interface Target {
  readonly process: FleetProcess;
  readonly host: string;
  readonly port: number;
  readonly head: (bytes: number) => string;
}

interface Answer extends LateResponse {
  readonly bytes: number;
}

const answers = new WeakMap<FleetWorld, Answer[]>();
const stops = new WeakMap<FleetWorld, {readonly exitCode: number; readonly tookMs: number}>();

/** Number of bytes that the kernel takes of a response that nobody reads. */
async function measureKernel({process, host, port, head}: Target): Promise<number> {
  const response = readLate(host, port, 2 * FILL_MS, head(PROBE_BYTES));
  await sleep(FILL_MS);
  await process.kill();
  const {text} = await response;

  return text.length;
}

/** @param readMs - Time from the signal until the callers read; undefined for after the exit. */
async function stopBeforeReading(
  world: FleetWorld,
  [probed, stopped]: readonly Target[],
  count: number,
  readMs: number | undefined,
): Promise<void> {
  const kernelBytes = await measureKernel(probed);
  const {process, host, port} = stopped;
  const pauseMs = FILL_MS + (readMs ?? GRACE_MS + FILL_MS);
  const pending = Array.from({length: count}, async (_, i) => {
    const bytes = kernelBytes + (i + 1) * STEP_BYTES;
    return {...(await readLate(host, port, pauseMs, stopped.head(bytes))), bytes};
  });
  await sleep(FILL_MS);
  const stoppedMs = performance.now();
  process.signal('SIGTERM');
  const exited = process.exited.then(exitCode => ({
    exitCode,
    tookMs: performance.now() - stoppedMs,
  }));
  answers.set(world, await Promise.all(pending));
  stops.set(world, await exited);
}

When(
  /^callers of (\d+) responses with (.+), ended by (a FIN|a late FIN), read them (\d+ ms after the stop|only after the end) of their gateway$/,
  {timeout: 40_000},
  async function (
    this: FleetWorld,
    count: string,
    framing: LargeFraming,
    ending: LargeEnding,
    when: string,
  ) {
    const {fleet} = usersScenario(this);
    const [{ip}] = fleet.gateways;
    fleet.configure({timeoutMs: REQUEST_TIMEOUT_MS});
    const server = new LargeServer(framing, ending, 'x');
    await server.listen(ip);
    const [replica] = fleet.services;
    fleet.store.put(`servers/${replica.id}`, server.registration(ip));
    for (const gateway of fleet.gateways.keys()) {
      await until('the large server is used', READY_TIMEOUT_MS, async () =>
        (await fleet.call({path: '/read/1', gateway})).body === 'x' ? true : undefined,
      );
    }
    const head = (bytes: number) =>
      [
        `GET /read/${bytes} HTTP/1.1`,
        `host: ${HOST}`,
        `request-id: late-${bytes}`,
        `deadline-ms: ${REQUEST_TIMEOUT_MS}`,
        'connection: close\r\n\r\n',
      ].join('\r\n');
    const targets = fleet.gateways.map(({process, callerPort}, i) => ({
      process,
      host: fleet.gateways[i].ip,
      port: callerPort,
      head,
    }));
    const readMs = when.startsWith('only') ? undefined : parseInt(when, 10);
    await stopBeforeReading(this, targets, Number(count), readMs);
    server.close();
  },
);

When(
  /^callers of (\d+) responses with (.+), ended by (a FIN), read them (\d+) ms after the stop of their entry$/,
  {timeout: 40_000},
  async function (
    this: FleetWorld,
    count: string,
    framing: LargeFraming,
    ending: LargeEnding,
    readMs: string,
  ) {
    const {fleet} = this;
    const [service, other] = fleet.services;
    const {hostname, port} = new URL(service.url);
    await Promise.all([service.process.kill(), other.process.kill()]);
    const server = new LargeServer(framing, ending, 'x');
    await server.listen(hostname, Number(port));
    const targets = fleet.entries.map(({url, process}) => {
      const {host, hostname: entryHost, port: entryPort} = new URL(url);
      const head = (bytes: number) =>
        [
          `GET /services/ledger/${bytes} HTTP/1.1`,
          `host: ${host}`,
          `authorization: Bearer ${PAID_KEY}`,
          'connection: close\r\n\r\n',
        ].join('\r\n');
      return {process, host: entryHost, port: Number(entryPort), head};
    });
    for (const {host, port: entryPort, head} of targets) {
      await until('the large server is used', READY_TIMEOUT_MS, async () => {
        const {text} = await readLate(host, entryPort, 0, head(1));
        return text.startsWith('HTTP/1.1 200') ? true : undefined;
      });
    }
    await stopBeforeReading(this, targets, Number(count), Number(readMs));
    server.close();
  },
);

function describe({text, wasReset, bytes}: Answer): string {
  const head = text.slice(0, text.indexOf('\r\n\r\n'));
  return `${bodyLength(text)} of ${bytes} bytes, reset: ${wasReset}\n${head}`;
}

function isWhole(answer: Answer): boolean {
  return looksComplete(answer) && bodyLength(answer.text) === answer.bytes;
}

Then('each response is whole', function (this: FleetWorld) {
  for (const answer of answers.get(this)!) assert.ok(isWhole(answer), describe(answer));
});

Then('each response is whole or visibly cut', function (this: FleetWorld) {
  for (const answer of answers.get(this)!)
    assert.ok(isWhole(answer) || !looksComplete(answer), describe(answer));
});

Then('the gateway has ended by itself within its grace', function (this: FleetWorld) {
  const {exitCode, tookMs} = stops.get(this)!;
  assert.equal(exitCode, 0);
  assert.ok(tookMs <= GRACE_MS, `${tookMs} ms`);
});
