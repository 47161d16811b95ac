/**
 * A replica is lost while two software versions serve. Its clients take their streams up at the
 * gateway through which they began, and two replicas of their version are left.
 */
import {runCase} from '../lib/case.mjs';
import {eventsOf} from '../lib/fleet.mjs';
import {MODEL, sleep} from '../lib/replica.mjs';

/** A replica has memory for three models, so all are full. */
const REPLICAS = {
  'i-a1': ['v1', MODEL, 'm1', 'm2'],
  'i-a2': ['v1', 'm3', 'm4', 'm5'],
  'i-a3': ['v1', 'm6', 'm7', 'm8'],
  'i-b1': ['v2', MODEL, 'm3', 'm4'],
  'i-b2': ['v2', MODEL, 'm6', 'm7'],
  'i-b3': ['v2', 'm5', 'm8', 'm9'],
};
const OTHER_MODELS = Array.from({length: 9}, (_, i) => `m${i + 1}`);
const STREAMS = 48;
const NEW_STREAMS = 24;
/** The rule counts from this many streams that are taken up. */
const MIN_TAKEN_UP = 12;
const DEADLINE_MS = 20_000;
const OTHER_REQUEST_INTERVAL_MS = 100;

await runCase('4', async ({fleet, record, trouble}) => {
  fleet.models = [MODEL, ...OTHER_MODELS];
  await fleet.start();
  for (const [id, [version, ...models]] of Object.entries(REPLICAS)) {
    const replica = await fleet.addReplica(id, {isEngine: true, version, listed: false});
    Object.assign(replica, {events: 100, eventMs: 100, onDisk: fleet.models});
    replica.models = new Map(models.map(model => [model, []]));
    fleet.list(replica);
  }
  const gateway = await fleet.addGateway();
  // The gateway is in touch: it and the store are undisturbed for longer than contactMs.
  await sleep(4000);
  let count = 0;
  const others = setInterval(() => {
    const model = OTHER_MODELS[count++ % OTHER_MODELS.length];
    void fleet.call(gateway, {id: `other-${count}`, path: '/digest/1', headers: {model}});
  }, OTHER_REQUEST_INTERVAL_MS);
  await sleep(1000);

  const streams = Array.from({length: STREAMS}, (_, i) => readStream(fleet, gateway, i));
  await sleep(2500);
  const [lost] = fleet.replicas;
  if (trouble) {
    record(`replica ${lost.id} is lost for good`);
    lost.close();
    // Its entry is removed after three heartbeat intervals of silence.
    setTimeout(() => fleet.unlist(lost), 3600);
  }
  const begin = Array.from({length: NEW_STREAMS}, (_, i) =>
    fleet.call(gateway, {id: `new-${i}`, path: '/notes/1'}),
  );
  const results = await Promise.all(streams);
  const began = (await Promise.all(begin)).filter(result => eventsOf(result).length > 0).length;
  clearInterval(others);

  for (const {id, version, models} of fleet.replicas.filter(replica => !replica.closed))
    record(`replica ${id} (${version}) serves ${[...models.keys()].join(', ')}`);
  const takenUp = results.filter(result => result.takenUp);
  const goOn = takenUp.filter(result => result.goesOn).length;
  const share = takenUp.length === 0 ? 1 : goOn / takenUp.length;
  return {
    held: takenUp.length < MIN_TAKEN_UP || share >= began / NEW_STREAMS / 2,
    summary: `${goOn} of ${takenUp.length} streams that were taken up go on; ${began} of ${NEW_STREAMS} new ones begin`,
  };
});

/** Reads a stream; takes it up, until its client's deadline, if it breaks off. */
async function readStream(fleet, gateway, i) {
  const id = `notes-${i}`;
  const untilMs = performance.now() + DEADLINE_MS;
  const begun = await fleet.call(gateway, {id, path: '/notes/1'});
  const events = eventsOf(begun);
  if (!begun.cut) return {takenUp: false, goesOn: false};
  const resume = {'last-event-id': String(events.at(-1)?.[0] ?? 0), resumes: id};
  for (let k = 1; performance.now() < untilMs; k++) {
    const leftMs = Math.round(untilMs - performance.now());
    const headers = {...resume, 'deadline-ms': String(leftMs)};
    const again = await fleet.call(gateway, {id: `${id}-again-${k}`, path: '/notes/1', headers});
    if (eventsOf(again).length > 0) return {takenUp: true, goesOn: true};
    const waitMs = 1000 * Number(again.headers['retry-after'] ?? 0.5);
    // A client honours Retry-After up to one third of the time that it has left.
    await sleep(Math.min(waitMs, Math.max(0, untilMs - performance.now()) / 3));
  }
  return {takenUp: true, goesOn: false};
}
