/** Steps about responses that a replica cuts at each of their bytes. */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
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
import type {UsersFleet, UsersResponse} from '../support/users_fleet.ts';
import {usersScenario} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

const REPLICAS = 40;
/** Requests in progress at a time. */
const CONCURRENCY = 32;
const READY_TIMEOUT_MS = 5000;
/** Sends of a request until a replica has run it; a faulty replica gets no requests for a time. */
const MAX_SENDS = 20;
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
  readonly response: UsersResponse;
}

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

When(
  /^callers send a (GET|HEAD) for each byte at which a replica cuts a response with (.+)$/,
  async function (this: FleetWorld, method: string, form: ResponseForm) {
    const {fleet} = usersScenario(this);
    const replicas = await addCutReplicas(fleet);
    const {length} = responseBytes(method, form, ID);
    const send = async (at: number, ending: CutEnding): Promise<UsersResponse> => {
      const path = cutPath('order', form, at, ending);
      const runPath = path.slice('/order'.length);
      for (let sends = 0; sends < MAX_SENDS; sends++) {
        const response = await fleet.call({path, method, id: ID, body: ''});
        if (replicas.some(({paths}) => paths.has(runPath))) return response;
      }
      throw new Error(`no replica ran ${path}`);
    };
    await until('a replica', READY_TIMEOUT_MS, async () => {
      const {status} = await fleet.call({path: cutPath('order', 'a length', 999, 'a FIN'), id: ID});
      return status === 200 ? true : undefined;
    });
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
    cases.set(this, done);
  },
);

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
