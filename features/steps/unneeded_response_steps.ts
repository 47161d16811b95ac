/** Steps about responses of replicas that nobody needs any more. */
import assert from 'node:assert/strict';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Then, When} from '@cucumber/cucumber';
import {sleep, type Verdict} from '@jasminepost/core';
import {streamCompletion} from '@jasminepost/engine';
import {callService} from '@jasminepost/service';
import {replicas, usersScenario} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

const SLOW_BYTES_PER_MS = 16;
const POLL_MS = 20;

interface EndlessHead {
  readonly status: string;
  readonly headers: Readonly<Record<string, string>>;
}

const REFUSED = '503 Service Unavailable';
const ENDLESS_HEADS: Readonly<Record<string, EndlessHead>> = {
  'a failure': {status: '500 Internal Server Error', headers: {}},
  'a refusal': {status: REFUSED, headers: {'not-executed': '1'}},
  'a refusal that asks for a pause': {
    status: REFUSED,
    headers: {'not-executed': '1', 'retry-after': '0.2'},
  },
  'a refusal of another replica': {
    status: '421 Misdirected Request',
    headers: {'instance-id': 'another'},
  },
  'a response to another request': {status: '200 OK', headers: {'request-id': 'another'}},
  'an unsigned response': {status: '200 OK', headers: {'response-signature': ''}},
};

When(
  /^a caller's read first gets (.+) that (quickly|slowly) goes on without end$/,
  async function (this: FleetWorld, what: string, speed: string) {
    const {fleet, answers} = usersScenario(this);
    const {status, headers} = ENDLESS_HEADS[what];
    for (const replica of fleet.services) {
      replica.endlessResponse = 'a body in chunks';
      const {bytesPerMs: quickBytesPerMs} = replica.endlessOptions;
      const bytesPerMs = speed === 'slowly' ? SLOW_BYTES_PER_MS : quickBytesPerMs;
      replica.endlessOptions = {status, headers, bytesPerMs};
      replica.onEndlessResponse = () => {
        for (const each of fleet.services) each.endlessResponse = undefined;
      };
    }
    answers.push(await fleet.call({path: '/read/7'}));
  },
);

Then("the caller's read has an answer", function (this: FleetWorld) {
  const [{status, cut}] = usersScenario(this).answers;
  assert.ok(!cut);
  assert.ok([200, 502, 503].includes(status), String(status));
});

Then(
  'no replica writes an endless response {int} ms later',
  async function (this: FleetWorld, afterMs: number) {
    await sleep(afterMs);
    for (const replica of replicas(this)) assert.equal(replica.endlessConnections, 0);
  },
);

Then('{int} more reads are served', async function (this: FleetWorld, count: number) {
  const {fleet} = usersScenario(this);
  for (let i = 0; i < count; i++) {
    const {status} = await fleet.call({path: '/read/8'});
    assert.equal(status, 200);
  }
});

interface RefusedCall {
  readonly verdict: Promise<Verdict>;
  readonly server: Server;
  openConnections: number;
}

const refusedCalls = new WeakMap<FleetWorld, RefusedCall>();

When(
  /^an upstream refuses (a service call|a completion) with a body that never ends$/,
  async function (this: FleetWorld, what: string) {
    const server = createServer((_req, res) => {
      res.writeHead(503, {'x-not-run': 'true'});
      res.write('busy');
    });
    const call: Omit<RefusedCall, 'verdict'> = {server, openConnections: 0};
    server.on('connection', socket => {
      call.openConnections += 1;
      socket.on('close', () => (call.openConnections -= 1));
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const baseUrl = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    const {signal} = new AbortController();
    const verdict =
      what === 'a completion'
        ? streamCompletion({
            baseUrl,
            body: Buffer.from('{}'),
            priority: 0,
            resumeTokens: 0,
            resumeText: '',
            signal,
            onHead: () => undefined,
            onEvents: async () => undefined,
            onBody: async () => undefined,
            onUsage: () => undefined,
          })
        : callService({
            baseUrl,
            method: 'PUT',
            path: '/a',
            headers: {},
            body: Buffer.from('a call'),
            useNewConnection: false,
            signal,
            onHead: () => undefined,
            onData: async () => undefined,
          });
    refusedCalls.set(this, Object.assign(call, {verdict}));
  },
);

Then(
  'the verdict is {string} within {int} ms',
  async function (this: FleetWorld, kind: string, withinMs: number) {
    const {verdict} = refusedCalls.get(this)!;
    const found = await Promise.race([verdict, sleep(withinMs)]);
    assert.equal(found?.kind, kind);
  },
);

Then(
  "the upstream's connection is closed within {int} ms",
  async function (this: FleetWorld, withinMs: number) {
    const call = refusedCalls.get(this)!;
    for (let waitedMs = 0; call.openConnections > 0 && waitedMs < withinMs; waitedMs += POLL_MS)
      await sleep(POLL_MS);
    call.server.close();
    call.server.closeAllConnections();
    assert.equal(call.openConnections, 0);
  },
);
