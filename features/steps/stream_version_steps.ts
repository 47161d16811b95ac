/** Steps about streams and the software version that began them. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {sleep} from '@jasminepost/core';
import {until} from '../support/fleet_process.ts';
import type {UsersFleet, UsersResponse} from '../support/users_fleet.ts';
import {usersScenario} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

const SETTLE_MS = 800;
const STREAM_EVENTS = 4;

Given(
  /^the engines have the software versions (.+)$/,
  async function (this: FleetWorld, versions: string) {
    const {fleet} = usersScenario(this);
    for (const [index, version] of versions.split(', ').entries()) {
      fleet.engines[index].version = version;
      fleet.register(fleet.engines[index]);
    }
    await sleep(SETTLE_MS);
  },
);

/** Sends a stream, and resumes it once where it was cut. */
async function sendAndResume(
  fleet: UsersFleet,
  id: string,
  gateway: number,
): Promise<UsersResponse> {
  // Without shared parts, streams that are cut don't make each other suspect of crashing engines.
  const prompt = {'prompt-prefix': `${id}:100`};
  const first = await fleet.call({path: '/long/7', id, gateway: 0, headers: prompt});
  const lastEventId = [...first.body.matchAll(/^id: (\d+)$/gm)].at(-1)?.[1];
  assert.ok(lastEventId !== undefined, 'the stream was cut before its first event');
  const headers = {...prompt, 'last-event-id': lastEventId, resumes: id};
  const rest = await fleet.call({path: '/long/7', id: `${id}-again`, gateway, headers});
  const body = rest.status === 503 ? first.body : first.body + rest.body;
  return {...rest, body};
}

When(
  /^a caller sends (\d+) long drafts, and resumes each at (the same|another|a new) gateway$/,
  async function (this: FleetWorld, count: string, where: string) {
    const {fleet, answers} = usersScenario(this);
    if (where === 'a new') {
      await fleet.startGateway();
      const last = fleet.gateways.length - 1;
      await until('a ready gateway', 10_000, async () => (await fleet.isReady(last)) || undefined);
    }
    const gateway = where === 'the same' ? 0 : fleet.gateways.length - 1;
    for (let i = 0; i < Number(count); i++) {
      answers.push(await sendAndResume(fleet, `stream-${i}`, gateway));
    }
  },
);

Then('no stream has events of two versions', function (this: FleetWorld) {
  const {answers} = usersScenario(this);
  for (const {body} of answers) {
    const versions = new Set([...body.matchAll(/^data: (v\d )?piece/gm)].map(found => found[1]));
    assert.ok(versions.size <= 1, JSON.stringify(answers));
  }
  assert.ok(answers.some(({body}) => body !== ''));
});

Then(/^(all|none) of the streams are complete$/, function (this: FleetWorld, share: string) {
  const {answers} = usersScenario(this);
  const complete = answers.filter(
    ({body, cut}) => !cut && body.match(/^id: /gm)?.length === STREAM_EVENTS,
  );
  assert.equal(complete.length, share === 'all' ? answers.length : 0);
});
