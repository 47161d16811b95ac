/** Steps about the system's own calls whose response is cut at each of its bytes. */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {buildConnector} from 'undici';
import {MetricRegistry, type HostPort} from '@jasminepost/core';
import {EngineClient, streamCompletion} from '@jasminepost/engine';
import {EngineControlClient, StoreClient, type StoreCall} from '@jasminepost/platform';
import {identifiedConnector} from '../../platform/src/lib/identified_connector.ts';
import {CUT_ENDINGS, CutServer, framedResponses} from '../../stand_ins/cut_server.ts';
import type {FleetWorld} from '../support/world.ts';

const HOST = '127.0.0.1';
const TIMEOUT_MS = 1000;
const BORN_MS = 7;

/** Resolves to true when the caller takes the response for a complete one. */
type Call = (address: HostPort) => Promise<boolean>;

interface CutCall {
  readonly status: string;
  readonly body: string;
  readonly call: Call;
}

interface CutCallResult {
  readonly bytes: string;
  readonly length: number;
  readonly ending: string;
  readonly isAccepted: boolean;
}

const OK = '200 OK';
const REPORT = JSON.stringify({
  born: BORN_MS,
  models: [],
  busy: false,
  sequence: 1,
  queueDepth: 0,
  activeRequests: 0,
  kvUsed: 0,
  kvTotal: 1,
});
const ITEM = {key: 'a', value: 'YQ==', revision: 1};

const complete: Call = async ({host, port}) => {
  const verdict = await streamCompletion({
    baseUrl: `http://${host}:${port}`,
    body: Buffer.from('{}'),
    priority: 0,
    resumeTokens: 0,
    resumeText: '',
    signal: new AbortController().signal,
    onHead: () => undefined,
    onEvents: async () => undefined,
    onBody: async () => undefined,
    onUsage: () => undefined,
  });
  return verdict.kind === 'completed';
};

const identify: Call = ({host, port}) => {
  const expected = {bornMs: () => BORN_MS, onOther: () => undefined, onLeaving: () => undefined};
  const connect = identifiedConnector(buildConnector({}), {host, port}, expected, TIMEOUT_MS);
  return new Promise(resolve => {
    connect({hostname: host, port: String(port), protocol: 'http:'}, (error, socket) => {
      socket?.destroy();
      resolve(error === null);
    });
  });
};

/** A store call that is accepted when it returns. */
function storeCall(use: (store: StoreClient) => Promise<unknown>): Call {
  return async address => {
    const calls = new MetricRegistry().counter<StoreCall>('calls', 'Calls.', 'kind');
    const store = new StoreClient(address, calls);
    try {
      await use(store);
      return true;
    } catch {
      return false;
    } finally {
      await store.close();
    }
  };
}

const ENGINE_ORDER = {fence: 1, operation: 'load', item: 'a', sizeMiB: 1} as const;

const CALLS: Readonly<Record<string, CutCall>> = {
  'a completion': {
    status: OK,
    body: 'data: {"choices":[{"delta":{"content":"a"}}]}\n\ndata: [DONE]\n\n',
    call: complete,
  },
  'a completion that is wrong': {status: '400 Bad Request', body: '{"error":"a"}', call: complete},
  'an order to an engine': {
    status: OK,
    body: '{"outcome":"accepted"}',
    call: async ({host, port}) => {
      const client = new EngineClient(`http://${host}:${port}`);
      const reply = await client.sendOrder(ENGINE_ORDER).catch(() => undefined);
      await client.close();
      return reply !== undefined;
    },
  },
  "a steward's report": {
    status: OK,
    body: REPORT,
    call: async address =>
      (await new EngineControlClient(address, TIMEOUT_MS, () => undefined).report()).ok,
  },
  'the report of a new connection': {status: OK, body: REPORT, call: identify},
  'a range of the store': {
    status: OK,
    body: JSON.stringify({items: [ITEM], hasMore: false, asOf: 3}),
    call: storeCall(store => store.range('a')),
  },
  'a watch of the store': {
    status: OK,
    body: JSON.stringify({events: [], asOf: 3}),
    call: storeCall(store =>
      store.watch('a', {era: 0, revision: 1}, TIMEOUT_MS, new AbortController().signal),
    ),
  },
  'a write to the store': {
    status: OK,
    body: JSON.stringify({revision: 12}),
    call: storeCall(store => store.write('a', 'b', 0)),
  },
};

const results = new WeakMap<FleetWorld, CutCallResult[]>();

When(
  /^the response to (.+) is cut at each byte, in each framing$/,
  async function (this: FleetWorld, what: string) {
    const {status, body, call} = CALLS[what];
    const server = new CutServer();
    await server.listen(HOST);
    const found: CutCallResult[] = [];
    for (const response of framedResponses(status, body)) {
      for (const ending of CUT_ENDINGS) {
        server.ending = ending;
        for (let at = 0; at <= response.length; at++) {
          server.bytes = response.slice(0, at);
          const isAccepted = await call({host: HOST, port: server.port});
          found.push({bytes: server.bytes, length: response.length, ending, isAccepted});
        }
      }
    }
    server.close();
    results.set(this, found);
  },
);

Then('no cut response is taken for a complete one', function (this: FleetWorld) {
  const wrong = results
    .get(this)!
    .filter(({bytes, length, isAccepted}) => bytes.length < length && isAccepted);
  assert.deepEqual(wrong, []);
});
