/**
 * A gateway is killed while two software versions serve. Its clients take their streams up at
 * another gateway, which is not disturbed.
 */
import {runCase} from '../lib/case.mjs';
import {eventsOf} from '../lib/fleet.mjs';
import {sleep} from '../lib/replica.mjs';

const STREAMS = 24;
const NEW_STREAMS = 24;
/** The rule counts from this many streams that are taken up. */
const MIN_TAKEN_UP = 12;
/** Tries of a client after the first, each when Retry-After allows it. */
const RETRIES = 3;

await runCase('5', async ({fleet, record, trouble}) => {
  await fleet.start();
  for (const [id, version] of [
    ['i-a1', 'v1'],
    ['i-a2', 'v1'],
    ['i-b1', 'v2'],
    ['i-b2', 'v2'],
  ]) {
    const replica = await fleet.addReplica(id, {isEngine: true, version});
    Object.assign(replica, {events: 60, eventMs: 100});
  }
  const first = await fleet.addGateway();
  const second = await fleet.addGateway();
  // The second gateway is in touch: it and the store are undisturbed for longer than contactMs.
  await sleep(4000);

  const streams = Array.from({length: STREAMS}, (_, i) =>
    readStream({fleet, gateways: [first, second], id: `notes-${i}`}),
  );
  await sleep(2000);
  if (trouble) await fleet.signal(first, 'SIGKILL');
  await sleep(100);
  const begin = Array.from({length: NEW_STREAMS}, (_, i) =>
    fleet.call(second, {id: `new-${i}`, path: '/notes/1'}),
  );
  const results = await Promise.all(streams);
  const began = (await Promise.all(begin)).filter(result => eventsOf(result).length > 0).length;

  const takenUp = results.filter(result => result.takenUp);
  const goOn = takenUp.filter(result => result.goesOn).length;
  const newShare = began / NEW_STREAMS;
  const share = takenUp.length === 0 ? 1 : goOn / takenUp.length;
  record(`new streams at front-2: ${began} of ${NEW_STREAMS} begin`);
  return {
    held: takenUp.length < MIN_TAKEN_UP || share >= newShare / 2,
    summary: `${goOn} of ${takenUp.length} streams that were taken up go on; ${began} of ${NEW_STREAMS} new ones begin`,
  };
});

/** Reads a stream at the first gateway; takes it up at the second one if it breaks off. */
async function readStream({fleet, gateways: [first, second], id}) {
  const begun = await fleet.call(first, {id, path: '/notes/1'});
  const events = eventsOf(begun);
  if (!begun.cut) return {takenUp: false, goesOn: false};
  const headers = {'last-event-id': String(events.at(-1)?.[0] ?? 0), resumes: id};
  for (let i = 1; i <= RETRIES; i++) {
    const resumed = await fleet.call(second, {id: `${id}-again-${i}`, path: '/notes/1', headers});
    if (eventsOf(resumed).length > 0) return {takenUp: true, goesOn: true};
    await sleep(1000 * Number(resumed.headers['retry-after'] ?? 0.5));
  }
  return {takenUp: true, goesOn: false};
}
