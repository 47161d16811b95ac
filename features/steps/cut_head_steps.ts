/** Steps about responses that a replica cuts at each of their bytes. */
import assert from 'node:assert/strict';
import {request} from 'node:http';
import {Then, When} from '@cucumber/cucumber';
import {sleep} from '@jasminepost/core';
import {
  CUT_BODY,
  CUT_ENDINGS,
  CutReplica,
  cutPath,
  responseBytes,
  type CutEnding,
  type ResponseForm,
} from '../../stand_ins/users_platform/cut_replica.ts';
import {until} from '../support/fleet_process.ts';
import {PAID_KEY} from '../support/test_fleet.ts';
import type {UsersFleet, UsersResponse} from '../support/users_fleet.ts';
import {usersScenario} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

const REPLICAS = 40;
/** Requests in progress at a time. */
const CONCURRENCY = 32;
const READY_TIMEOUT_MS = 5000;
/** Sends of a request until a replica has run it; a faulty replica gets no requests for a time. */
const MAX_SENDS = 60;
const RESEND_MS = 25;
const ID = 'cut';
const FORMS_WITHOUT_BODY: ReadonlySet<ResponseForm> = new Set<ResponseForm>([
  'an empty body',
  'status 204',
  'status 304',
  'status 304 with a length',
]);

interface CutCase {
  readonly method: string;
  readonly form: ResponseForm;
  readonly length: number;
  readonly at: number;
  readonly ending: CutEnding;
  readonly response: CutResponse;
}

type CutResponse = Pick<UsersResponse, 'status' | 'headers' | 'body' | 'cut'>;
type Call = (path: string) => Promise<CutResponse>;

const cases = new WeakMap<FleetWorld, CutCase[]>();

async function addCutReplicas(fleet: UsersFleet): Promise<CutReplica[]> {
  const replicas: CutReplica[] = [];
  for (let i = 0; i < REPLICAS; i++) {
    const replica = new CutReplica(`i-cut-${i}`);
    await replica.listen(fleet.gateways[0].ip);
    fleet.store.put(`servers/${replica.id}`, replica.registration('orders', 'zone-a'));
    replicas.push(replica);
  }
  return replicas;
}

/** Sends a request for each byte and ending, again while replicas are avoided after failures. */
async function sendAll(
  call: Call,
  replicas: readonly CutReplica[],
  method: string,
  form: ResponseForm,
): Promise<CutCase[]> {
  const {length} = responseBytes(method, form, ID);
  const send = async (at: number, ending: CutEnding): Promise<CutResponse> => {
    const path = cutPath('order', form, at, ending);
    const runPath = path.slice('/order'.length);
    for (let sends = 0; sends < MAX_SENDS; sends++) {
      const response = await call(path);
      if (replicas.some(({paths}) => paths.has(runPath))) return response;
      await sleep(RESEND_MS);
    }
    throw new Error(`no replica ran ${path}`);
  };
  const todo = CUT_ENDINGS.flatMap(ending =>
    Array.from({length: length + 1}, (_, at) => ({at, ending})),
  );
  const done: CutCase[] = [];
  const work = async () => {
    for (let next = todo.pop(); next !== undefined; next = todo.pop()) {
      const response = await send(next.at, next.ending);
      done.push({...next, method, form, length, response});
    }
  };
  await Promise.all(Array.from({length: CONCURRENCY}, work)).finally(() => {
    for (const replica of replicas) replica.close();
  });
  return done;
}

When(
  /^callers send a (GET|HEAD) for each byte at which a replica cuts a response with (.+)$/,
  async function (this: FleetWorld, method: string, form: ResponseForm) {
    const {fleet} = usersScenario(this);
    const replicas = await addCutReplicas(fleet);
    await until('a replica', READY_TIMEOUT_MS, async () => {
      const {status} = await fleet.call({path: cutPath('order', 'a length', 999, 'a FIN'), id: ID});
      return status === 200 ? true : undefined;
    });
    const call: Call = path => fleet.call({path, method, id: ID, body: ''});
    cases.set(this, await sendAll(call, replicas, method, form));
  },
);

When(
  /^callers of an entry send a (GET) for each byte at which a service cuts a response with (.+)$/,
  async function (this: FleetWorld, method: string, form: ResponseForm) {
    const [service] = this.fleet.services;
    const {hostname, port} = new URL(service.url);
    await service.process.kill();
    const replica = new CutReplica(ID);
    await replica.listen(hostname, Number(port));
    const {url} = this.fleet.entries[0];
    const call: Call = path => callEntry(`${url}/services/ledger${path}`, method);
    cases.set(this, await sendAll(call, [replica], method, form));
  },
);

async function callEntry(url: string, method: string): Promise<CutResponse> {
  return new Promise(resolve => {
    const headers = {authorization: `Bearer ${PAID_KEY}`, 'request-id': ID};
    const onError = () => resolve({status: 0, headers: {}, body: '', cut: true});
    const req = request(url, {method, headers, agent: false}, res => {
      let body = '';
      const {statusCode: status = 0} = res;
      res.on('data', (chunk: Buffer) => (body += chunk.toString('utf8')));
      res.on('end', () => resolve({status, headers: res.headers, body, cut: !res.complete}));
      res.on('error', onError);
    });
    req.on('error', onError);
    req.end();
  });
}

/** True when the caller can't tell the response from a complete one. */
function looksComplete({method, response}: CutCase): boolean {
  const {status, headers, cut} = response;
  if (cut || status >= 400) return false;
  if (method === 'HEAD' || status === 204 || status === 304) return true;
  // Where neither is stated, the caller can see that only the end of the connection ends the body.
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

function describeCase({form, at, length, ending, response}: CutCase): string {
  return `${form} cut at ${at} of ${length} by ${ending}: ${JSON.stringify(response)}`;
}

Then('no cut response looks complete', function (this: FleetWorld) {
  const found = cases.get(this)!.filter(each => each.at < each.length && looksComplete(each));
  assert.deepEqual(found.map(describeCase), []);
});

Then('the uncut responses are complete', function (this: FleetWorld) {
  const uncut = cases
    .get(this)!
    .filter(({at, length, ending}) => at === length && ending !== 'a reset');
  assert.equal(uncut.length, CUT_ENDINGS.length - 1);
  for (const each of uncut) {
    const {status, cut, body} = each.response;
    assert.ok(!cut && status < 400, describeCase(each));
    assert.equal(body, FORMS_WITHOUT_BODY.has(each.form) || each.method === 'HEAD' ? '' : CUT_BODY);
  }
});
