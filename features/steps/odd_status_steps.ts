/** Steps about responses with a status that no response may have. */
import assert from 'node:assert/strict';
import {Agent} from 'node:http';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {OddStatusReplica} from '../../stand_ins/users_platform/odd_status_replica.ts';
import {until} from '../support/fleet_process.ts';
import type {UsersResponse} from '../support/users_fleet.ts';
import {usersScenario} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

const REQUESTS = 12;
const DEADLINE_MS = 1500;
const READY_TIMEOUT_MS = 5000;
/** Statuses of responses that the gateway itself may send instead, and of regular ones. */
const EXPECTED_STATUSES: readonly number[] = [200, 502, 503, 504];

const replicas = new WeakMap<FleetWorld, OddStatusReplica>();
const responses = new WeakMap<FleetWorld, UsersResponse[]>();

Given(
  'a replica whose responses have the status {word}, {word} a body and {word} a signature, after {int} regular ones',
  async function (
    this: FleetWorld,
    status: string,
    body: string,
    signature: string,
    first: number,
  ) {
    const {fleet} = usersScenario(this);
    const isSigned = signature === 'with';
    const replica = new OddStatusReplica({
      status,
      hasBody: body === 'with',
      isSigned,
      isStream: true,
    });
    replica.regularFirst = first;
    await replica.listen(fleet.gateways[0].ip);
    fleet.store.put(`servers/${replica.id}`, replica.registration('orders', 'zone-a'));
    replicas.set(this, replica);
  },
);

When(
  'callers send {word} requests until it has responded so',
  async function (this: FleetWorld, path: string) {
    const {fleet} = usersScenario(this);
    const replica = replicas.get(this)!;
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    const received: UsersResponse[] = [];
    const send = async () => {
      const headers = {'deadline-ms': String(DEADLINE_MS)};
      received.push(await fleet.call({path: `/${path}/x`, headers, agent}));
    };
    await until('an odd response', READY_TIMEOUT_MS, async () => {
      await send();
      return replica.oddResponses > 0 ? true : undefined;
    });
    for (let i = 0; i < REQUESTS; i++) await send();
    agent.destroy();
    responses.set(this, received);
  },
);

Then('no caller gets such a response', function (this: FleetWorld) {
  const found = responses.get(this)!;
  for (const response of found) {
    assert.ok(
      response.cut || EXPECTED_STATUSES.includes(response.status),
      JSON.stringify(response),
    );
    const isOwn =
      response.status === 200 ? response.headers['response-signature'] !== undefined : true;
    assert.ok(response.cut || isOwn, JSON.stringify(response));
  }
});

After(function (this: FleetWorld) {
  replicas.get(this)?.close();
});
