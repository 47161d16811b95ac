/**
 * A gateway is stopped and started again while the replicas of a service are replaced by ones of a
 * new software version. Streams that began at the old version are then taken up at this gateway.
 */
import {runCase} from '../lib/case.mjs';
import {eventsOf} from '../lib/fleet.mjs';
import {sleep} from '../lib/replica.mjs';

const STREAMS = 8;
/** ORDER is broken by more than two streams with events of two versions. */
const MAX_MIXED = 2;
/** How long the old replica serves after its entry is removed: `drainMs` and a little longer. */
const SERVES_ON_MS = 5500;

await runCase('2', async ({fleet, record, trouble}) => {
  await fleet.start();
  const old = await fleet.addReplica('i-old', {isEngine: true, version: 'v1'});
  Object.assign(old, {events: 90, eventMs: 100});
  const first = await fleet.addGateway();
  const second = await fleet.addGateway();
  await sleep(2000);

  const streams = Array.from({length: STREAMS}, (_, i) =>
    readStream({fleet, first, second, id: `notes-${i}`}),
  );
  await sleep(700);

  record('release: a replica of version v2 replaces the one of version v1');
  const next = await fleet.addReplica('i-new', {isEngine: true, version: 'v2'});
  Object.assign(next, {events: 90, eventMs: 20});
  fleet.unlist(old);
  const leaves = sleep(SERVES_ON_MS).then(() => {
    record('the replica of version v1 exits');
    old.close();
  });
  if (trouble) {
    await fleet.signal(second, 'SIGTERM');
    await second.process.exited;
    await fleet.restart(second);
    record('front-2 is ready again');
  }
  await leaves;

  const results = await Promise.all(streams);
  const mixed = results.filter(versions => versions.size > 1).length;
  return {
    held: mixed <= MAX_MIXED,
    summary: `${mixed} of ${STREAMS} streams hold events of two software versions (allowed: ${MAX_MIXED})`,
  };
});

/** Reads a stream at the first gateway; takes it up at the second one if it breaks off. */
async function readStream({fleet, first, second, id}) {
  const begun = await fleet.call(first, {id, path: '/notes/1'});
  const events = eventsOf(begun);
  if (begun.cut) {
    await sleep(100);
    const resumed = await fleet.call(second, {
      id: `${id}-again`,
      path: '/notes/1',
      headers: {'last-event-id': String(events.at(-1)?.[0] ?? 0), resumes: id},
    });
    events.push(...eventsOf(resumed));
  }
  fleet.record(`stream ${id}: ${events.map(([n, version]) => `${n}${version}`).join(' ')}`);
  return new Set(events.map(([, version]) => version));
}
