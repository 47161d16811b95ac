/** Steps about what is known of streams once the store has lost their records. */
import assert from 'node:assert/strict';
import {Then, When, type DataTable} from '@cucumber/cucumber';
import {SystemClock} from '@jasminepost/core';
import type {MeshMessage} from '@jasminepost/mesh';
import {VersionSightings} from '@jasminepost/policy';
import type {Replica} from '../../apps/gateway/src/lib/replica.ts';
import {StreamWitnesses} from '../../apps/gateway/src/lib/stream_witnesses.ts';
import {usersScenario} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

const STREAM_EVENTS = 4;
const HOST = '127.0.0.1';

/** Messages that reached the steward, by link. */
const toldByLink = new WeakMap<FleetWorld, MeshMessage[][]>();

When(
  'streams begin before their steward is linked, which then restarts',
  function (this: FleetWorld) {
    const links: MeshMessage[][] = [];
    const witnesses = new StreamWitnesses({
      clock: new SystemClock(),
      hostsOf: () => [HOST],
      send: (_host, message) => links.at(-1)?.push(message) !== undefined,
    });
    const replica = {entry: {address: {host: HOST}}} as Replica;
    for (const id of ['a', 'b', 'c']) witnesses.tell(replica, id, 'v2');
    for (let i = 0; i < 2; i++) {
      links.push([]);
      witnesses.onLinked(HOST);
    }
    witnesses.forget(replica);
    links.push([]);
    witnesses.onLinked(HOST);
    toldByLink.set(this, links);
  },
);

Then('it has been told of each stream once for each link', function (this: FleetWorld) {
  const told = ['a', 'b', 'c'].map(requestId => ({
    type: 'stream_begun',
    requestId,
    version: 'v2',
  }));
  const ofLink = toldByLink
    .get(this)!
    .map(messages => messages.filter(({type}) => type === 'stream_begun'));
  assert.deepEqual(ofLink, [told, told, []]);
});

When('the steward of the last engine is killed', async function (this: FleetWorld) {
  await usersScenario(this).fleet.stewards.at(-1)!.kill();
});

Then('at least {int} of the streams are complete', function (this: FleetWorld, least: number) {
  const {answers} = usersScenario(this);
  const complete = answers.filter(
    ({body, cut}) => !cut && body.match(/^id: /gm)?.length === STREAM_EVENTS,
  );
  assert.ok(complete.length >= least, `${complete.length} of ${answers.length}`);
});

Then(
  'versions that served for these times have left this only version:',
  function (table: DataTable) {
    for (const {versions, only} of table.hashes()) {
      const sightings = new VersionSightings();
      const spans = versions.split(', ').map(text => {
        const [, version, from, to = from] = /^(\S+) (?:from|at) (\d+)(?: to (\d+))?$/.exec(text)!;
        return {version, from: Number(from), to: Number(to)};
      });
      const endS = Math.max(...spans.map(({to}) => to));
      for (let s = 0; s <= endS; s++) {
        const seen = spans.filter(({from, to}) => from <= s && s <= to);
        sightings.see(
          seen.map(({version}) => version),
          s * 1000,
        );
      }
      assert.equal(sightings.only(endS * 1000) ?? 'none', only, versions);
    }
  },
);
