/** Steps about responses whose connection ends while their reader is paused. */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {MetricRegistry, sleep} from '@jasminepost/core';
import {streamCompletion} from '@jasminepost/engine';
import {
  ReplicaClient,
  StoreClient,
  type RequestHandle,
  type StoreCall,
} from '@jasminepost/platform';
import {callService} from '@jasminepost/service';
import {LargeServer, type LargeEnding, type LargeFraming} from '../../stand_ins/large_response.ts';
import {bodyLength, looksComplete, readLate, type LateResponse} from '../support/late_caller.ts';
import {takeUnexpectedErrors, until} from '../support/fleet_process.ts';
import {PAID_KEY} from '../support/test_fleet.ts';
import {HOST} from '../support/users_fleet.ts';
import {usersScenario} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

type Outcome = 'complete' | 'cut' | 'dropped' | 'pending';

const LOOPBACK = '127.0.0.1';
const PAUSE_MS = 400;
const END_TIMEOUT_MS = 5000;
/** More than what the stream of an HTTP response buffers. */
const BODY = 'x'.repeat(300_000);
/** About what the kernel buffers for a caller that does not read. */
const LATE_BODY = 'x'.repeat(4_000_000);
/** Time for which a late caller reads nothing. */
const LATE_MS = 2500;
const READ_INTERVAL_MS = 100;
const READY_TIMEOUT_MS = 5000;

const outcomes = new WeakMap<FleetWorld, Outcome>();
const escapedErrors = new WeakMap<FleetWorld, unknown[]>();
const lateResponses = new WeakMap<FleetWorld, LateResponse[]>();
const readTimesMs = new WeakMap<FleetWorld, number[]>();

type PausedRead = (port: number, settle: (outcome: Outcome) => void) => void;

/** Reads a response as the gateway does; `use` acts while it is paused. */
const readFromReplica =
  (use: (handle: RequestHandle) => void): PausedRead =>
  (port, settle) => {
    const expected = {
      bornMs: () => undefined,
      onOther: () => undefined,
      onLeaving: () => undefined,
    };
    const client = new ReplicaClient({host: LOOPBACK, port}, 1, expected);
    let received = 0;
    const handle = client.send(
      {
        method: 'GET',
        path: '/',
        rawHeaders: ['request-id', 'a'],
        body: Buffer.alloc(0),
        systemHeaders: {
          deadlineMs: END_TIMEOUT_MS,
          replicaId: 'a',
          urgency: undefined,
          lastEventId: '',
          caller: undefined,
        },
        mayStart: () => true,
      },
      {
        onHead: () => undefined,
        onData: chunk => {
          const isFirst = received === 0;
          received += chunk.length;
          // The end may have come with the last data.
          const isLast = received === BODY.length;
          if (isFirst || isLast) setTimeout(() => use(handle), PAUSE_MS);
          return !isFirst && !isLast;
        },
        onEnd: () => settle(received === BODY.length ? 'complete' : 'cut'),
        onError: () => settle('cut'),
      },
    );
  };

const readService: PausedRead = (port, settle) => {
  let received = 0;
  const input = {
    baseUrl: `http://${LOOPBACK}:${port}`,
    method: 'GET',
    path: '/',
    headers: {},
    body: new Uint8Array(),
    useNewConnection: true,
    signal: new AbortController().signal,
    onHead: () => undefined,
    onData: async (bytes: Uint8Array) => {
      if (received === 0) await sleep(PAUSE_MS);
      received += bytes.length;
    },
  };
  void callService(input).then(({kind}) =>
    settle(kind === 'completed' && received === BODY.length ? 'complete' : 'cut'),
  );
};

const readCompletion: PausedRead = (port, settle) => {
  let events = 0;
  const input = {
    baseUrl: `http://${LOOPBACK}:${port}`,
    body: Buffer.from('{}'),
    priority: 0,
    resumeTokens: 0,
    resumeText: '',
    signal: new AbortController().signal,
    onHead: () => undefined,
    onEvents: async (batch: string[]) => {
      if (events === 0) await sleep(PAUSE_MS);
      events += batch.length;
    },
    onBody: async () => undefined,
    onUsage: () => undefined,
  };
  void streamCompletion(input).then(({kind}) => settle(kind === 'completed' ? 'complete' : 'cut'));
};

const readStore: PausedRead = (port, settle) => {
  const calls = new MetricRegistry().counter<StoreCall>('calls', 'Calls.', 'kind');
  const store = new StoreClient({host: LOOPBACK, port}, calls);
  void store.range('a').then(
    ({changes}) => settle(changes.length === 1 ? 'complete' : 'cut'),
    () => settle('cut'),
  );
};

const EVENT = `data: {"choices":[{"delta":{"content":"${'y'.repeat(900)}"}}]}\n\n`;
const RANGE = {
  items: [{key: 'a', value: Buffer.from(BODY).toString('base64'), revision: 1}],
  hasMore: false,
  asOf: 3,
};

const READS: Readonly<Record<string, {readonly body: string; readonly read: PausedRead}>> = {
  'a response of a replica': {body: BODY, read: readFromReplica(handle => handle.resume())},
  'an aborted response': {body: BODY, read: readFromReplica(handle => handle.abort())},
  'an unneeded response': {body: BODY, read: readFromReplica(handle => handle.discard())},
  'a response of a service': {body: BODY, read: readService},
  'a completion of an engine': {
    body: `${EVENT.repeat(300)}data: [DONE]\n\n`,
    read: readCompletion,
  },
  'a range of the store': {body: JSON.stringify(RANGE), read: readStore},
};

When(
  /^(an? .+) with (a length|a length and close|chunks and close|the connection) ends with (.+) while its reader is paused$/,
  async function (this: FleetWorld, what: string, framing: LargeFraming, ending: LargeEnding) {
    const {body, read} = READS[what];
    const server = new LargeServer(framing, ending, body);
    await server.listen(LOOPBACK);
    const escaped: unknown[] = [];
    const note = (thrown: unknown) => escaped.push(thrown);
    process.on('uncaughtException', note);
    try {
      const outcome = await Promise.race([
        new Promise<Outcome>(resolve => read(server.port, resolve)),
        sleep(END_TIMEOUT_MS).then((): Outcome => 'pending'),
      ]);
      const isDropped = what === 'an aborted response' || what === 'an unneeded response';
      outcomes.set(this, isDropped && outcome === 'pending' ? 'dropped' : outcome);
      // The connection may be closed later than the response.
      await sleep(PAUSE_MS);
    } finally {
      process.off('uncaughtException', note);
      server.close();
    }
    escapedErrors.set(this, escaped);
  },
);

Then(/^it was (complete|cut|dropped|complete or cut)$/, function (this: FleetWorld, text: string) {
  const outcome = outcomes.get(this)!;
  assert.ok(text.split(' or ').includes(outcome), outcome);
});

Then('no error has escaped', function (this: FleetWorld) {
  assert.deepEqual(escapedErrors.get(this), []);
});

When(
  /^(\d+) callers of the gateway read late responses with (.+), ended by (.+)$/,
  {timeout: 30_000},
  async function (this: FleetWorld, callers: string, framing: LargeFraming, ending: LargeEnding) {
    const {fleet} = usersScenario(this);
    const [gateway] = fleet.gateways;
    fleet.configure({timeoutMs: 10_000, extraRoutes: ['large']});
    const server = new LargeServer(framing, ending, LATE_BODY);
    await server.listen(gateway.ip);
    // Its own replica is gone, so that all orders go to the large server.
    const [replica] = fleet.services;
    fleet.store.put(`servers/${replica.id}`, server.registration(gateway.ip));
    await until('the large server is used', READY_TIMEOUT_MS, async () => {
      await fleet.call({path: '/read/a'});
      return server.answered > 0 ? true : undefined;
    });
    const times: number[] = [];
    let isOver = false;
    const read = async () => {
      while (!isOver) {
        const startedMs = performance.now();
        await fetch(`http://${gateway.ip}:${gateway.readyPort}/-/ready`);
        times.push(performance.now() - startedMs);
        await sleep(READ_INTERVAL_MS);
      }
    };
    const reading = read();
    const late = Array.from({length: Number(callers)}, (_, i) =>
      readLate(
        gateway.ip,
        gateway.callerPort,
        LATE_MS,
        `GET /read/a HTTP/1.1\r\nhost: ${HOST}\r\nrequest-id: late-${i}\r\ndeadline-ms: 10000\r\nconnection: close\r\n\r\n`,
      ),
    );
    lateResponses.set(this, await Promise.all(late));
    isOver = true;
    await reading;
    readTimesMs.set(this, times);
    server.close();
  },
);

When(
  /^(\d+) callers of the entry read late responses with (.+), ended by (.+)$/,
  {timeout: 30_000},
  async function (this: FleetWorld, callers: string, framing: LargeFraming, ending: LargeEnding) {
    const [service, other] = this.fleet.services;
    const {hostname, port} = new URL(service.url);
    await service.process.kill();
    const server = new LargeServer(framing, ending, LATE_BODY);
    await server.listen(hostname, Number(port));
    await other.process.kill();
    const entry = new URL(this.fleet.entries[0].url);
    await until('the large server is used', READY_TIMEOUT_MS, async () => {
      const headers = {authorization: `Bearer ${PAID_KEY}`};
      const res = await fetch(`${entry.href}services/ledger/a`, {headers});
      await res.body?.cancel();
      return res.status === 200 ? true : undefined;
    });
    const head = [
      'GET /services/ledger/a HTTP/1.1',
      `host: ${entry.host}`,
      `authorization: Bearer ${PAID_KEY}`,
      'connection: close',
    ];
    const late = Array.from({length: Number(callers)}, () =>
      readLate(entry.hostname, Number(entry.port), LATE_MS, `${head.join('\r\n')}\r\n\r\n`),
    );
    lateResponses.set(this, await Promise.all(late));
    server.close();
  },
);

Then(/^the late responses are (whole|cut)$/, function (this: FleetWorld, wanted: string) {
  for (const response of lateResponses.get(this)!) {
    const {text, wasReset} = response;
    const isWhole = looksComplete(response) && bodyLength(text) === LATE_BODY.length;
    const seen = `${text.slice(0, 300)}: ${bodyLength(text)} bytes, reset: ${wasReset}`;
    if (wanted === 'whole') assert.ok(isWhole, seen);
    else assert.ok(!looksComplete(response), seen);
  }
});

Then('plain reads meanwhile took at most {int} ms', function (this: FleetWorld, maxMs: number) {
  const times = readTimesMs.get(this)!;
  assert.ok(times.length > 0 && Math.max(...times) <= maxMs, `${Math.max(...times)} ms`);
});

Then('no error has escaped from a process', function () {
  assert.deepEqual(takeUnexpectedErrors(), []);
});
