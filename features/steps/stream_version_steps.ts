/** Steps about streams and the software version that began them. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {sleep} from '@jasminepost/core';
import {until} from '../support/fleet_process.ts';
import {replaceInPlace} from '../support/replace_in_place.ts';
import type {UsersFleet, UsersResponse} from '../support/users_fleet.ts';
import {restoreStore} from '../support/store_snapshots.ts';
import {
  LATE_GATEWAY_HISTORY,
  playVersionHistory,
  versionHistories,
} from '../support/stream_version_history.ts';
import {usersScenario} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

const SETTLE_MS = 800;
const STREAM_EVENTS = 4;
const READY_TIMEOUT_MS = 10_000;
/** Interval between events of streams that run while processes end. */
const SLOW_EVENT_MS = 1500;
const STREAM_TIMEOUT_MS = 30_000;
/** By then the first event of every stream has arrived. */
const STREAM_START_MS = 900;
/** Time for which an engine that restarts is away, and a gateway stands still. */
const RESTART_MS = 50;
const FREEZE_MS = 3000;
/** Attempts of a caller to resume its stream. */
const RESUME_TRIES = 4;
const NEW_STREAM_TRIES = 3;
const RESTORE_INTERVAL_MS = 1500;

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

/** Streams that run, by the id of the request that began them. */
const running = new WeakMap<UsersFleet, Map<string, Promise<UsersResponse>>>();

function runningOf(fleet: UsersFleet): Map<string, Promise<UsersResponse>> {
  const found = running.get(fleet) ?? new Map<string, Promise<UsersResponse>>();
  running.set(fleet, found);
  return found;
}

function callStream(
  fleet: UsersFleet,
  id: string,
  gateway: number,
  headers: Readonly<Record<string, string>>,
): Promise<UsersResponse> {
  const prompt = {'prompt-prefix': `${id}:100`, 'deadline-ms': String(STREAM_TIMEOUT_MS)};
  return fleet.call({path: '/long/7', id, gateway, headers: {...prompt, ...headers}});
}

function lastEventId({body}: UsersResponse): string {
  return [...body.matchAll(/^id: (\d+)\ndata: .*\n\n/gm)].at(-1)?.[1] ?? '';
}

/** Resumes a stream that was cut, or repeats one without events, as often as a caller may. */
async function resume(fleet: UsersFleet, id: string, cut: UsersResponse): Promise<UsersResponse> {
  const eventId = lastEventId(cut);
  const headers: Record<string, string> =
    eventId === '' ? {} : {'last-event-id': eventId, resumes: id};
  for (let i = 1; i <= RESUME_TRIES; i++) {
    const rest = await callStream(fleet, `${id}-again-${i}`, fleet.gateways.length - 1, headers);
    if (rest.status === 200) return {...rest, body: cut.body + rest.body};
    await sleep(1000 * Number(rest.headers['retry-after'] ?? 0.5));
  }
  return cut;
}

async function restart(fleet: UsersFleet, gateways: readonly number[], signal: NodeJS.Signals) {
  for (const index of gateways) fleet.gateways[index].process.signal(signal);
  for (const index of gateways) {
    await fleet.gateways[index].process.exited;
    fleet.restartGateway(index);
  }
  for (const index of gateways) {
    await until('a ready gateway', READY_TIMEOUT_MS, async () =>
      (await fleet.isReady(index)) ? true : undefined,
    );
  }
}

function gatewaysCalled(fleet: UsersFleet, who: string): number[] {
  const all = [...fleet.gateways.keys()];
  if (who === 'all gateways are') return all;
  return who === 'the first gateway is' ? [0] : [all.length - 1];
}

async function addEngines(fleet: UsersFleet, count: number, version: string): Promise<void> {
  for (let i = 0; i < count; i++) {
    const engine = await fleet.addReplica('models', true);
    Object.assign(engine, {version, eventMs: SLOW_EVENT_MS});
    fleet.register(engine);
  }
}

When(
  /^(\d+) long drafts run at the first gateway$/,
  async function (this: FleetWorld, count: number) {
    const {fleet} = usersScenario(this);
    const streams = runningOf(fleet);
    if (streams.size === 0) {
      fleet.configure({timeoutMs: STREAM_TIMEOUT_MS});
      for (const engine of fleet.engines) engine.eventMs = SLOW_EVENT_MS;
      await sleep(SETTLE_MS);
    }
    const first = streams.size;
    for (let i = first; i < first + count; i++)
      streams.set(`stream-${i}`, callStream(fleet, `stream-${i}`, 0, {}));
    await sleep(STREAM_START_MS);
  },
);

When(
  /^(the first gateway is|all gateways are) killed and started again$/,
  {timeout: 20_000},
  async function (this: FleetWorld, who: string) {
    const {fleet} = usersScenario(this);
    await restart(fleet, gatewaysCalled(fleet, who), 'SIGKILL');
  },
);

When(
  /^(the second gateway is|all gateways are) restarted by (SIGTERM|SIGKILL)$/,
  {timeout: 30_000},
  async function (this: FleetWorld, who: string, signal: NodeJS.Signals) {
    const {fleet} = usersScenario(this);
    await restart(fleet, gatewaysCalled(fleet, who), signal);
  },
);

When(
  /^the engines are replaced by (\d+) engines of version (.+) on the list$/,
  async function (this: FleetWorld, count: number, version: string) {
    const {fleet} = usersScenario(this);
    const replaced = [...fleet.engines];
    await addEngines(fleet, count, version);
    for (const engine of replaced) fleet.store.remove(`servers/${engine.id}`);
    await sleep(SETTLE_MS);
  },
);

When('the second gateway stands still', function (this: FleetWorld) {
  usersScenario(this).fleet.gateways[1].process.signal('SIGSTOP');
});

When('the second gateway goes on', function (this: FleetWorld) {
  usersScenario(this).fleet.gateways[1].process.signal('SIGCONT');
});

When(
  /^(\d+) engines restart with version (v\d) while the first gateway stands still$/,
  {timeout: 20_000},
  async function (this: FleetWorld, count: number, version: string) {
    const {fleet} = usersScenario(this);
    const engines = fleet.engines.slice(0, count);
    fleet.gateways[0].process.signal('SIGSTOP');
    await replaceInPlace(engines, version, RESTART_MS);
    for (const engine of engines) fleet.register(engine);
    await sleep(FREEZE_MS);
    fleet.gateways[0].process.signal('SIGCONT');
  },
);

When(
  /^(\d+) engines restart with version (v\d) before the list and their stewards say so$/,
  {timeout: 20_000},
  async function (this: FleetWorld, count: number, version: string) {
    const {fleet} = usersScenario(this);
    for (const steward of fleet.stewards) steward.signal('SIGSTOP');
    await replaceInPlace(fleet.engines.slice(0, count), version, RESTART_MS);
  },
);

When('the list names the engines that run', async function (this: FleetWorld) {
  const {fleet} = usersScenario(this);
  for (const engine of fleet.engines) fleet.register(engine);
  await sleep(SETTLE_MS);
});

When(
  /^(\d+) engines of version (v\d) are added( with their stewards)?$/,
  async function (this: FleetWorld, count: string, version: string, withStewards?: string) {
    const {fleet} = usersScenario(this);
    await addEngines(fleet, Number(count), version);
    if (withStewards !== undefined)
      for (const engine of fleet.engines.slice(-Number(count))) fleet.startSteward(engine);
    await sleep(2 * SETTLE_MS);
  },
);

When('the replaced engines end', function (this: FleetWorld) {
  const {engines} = usersScenario(this).fleet;
  for (const engine of engines.filter(({version}) => version === 'v1')) engine.close();
});

When(
  'their callers resume them at the second gateway',
  {timeout: 60_000},
  async function (this: FleetWorld) {
    const {fleet, answers} = usersScenario(this);
    const results = [...runningOf(fleet)].map(async ([id, stream]) => {
      const begun = await stream;
      return begun.cut ? resume(fleet, id, begun) : begun;
    });
    answers.push(...(await Promise.all(results)));
  },
);

When(
  /^(the first gateway is|all gateways are) killed while the store is restored from the snapshot (once|twice)$/,
  {timeout: 30_000},
  async function (this: FleetWorld, who: string, times: string) {
    const {fleet} = usersScenario(this);
    const killed = gatewaysCalled(fleet, who);
    for (const index of killed) await fleet.gateways[index].process.kill();
    for (let i = 0; i < (times === 'twice' ? 2 : 1); i++) {
      if (i > 0) await sleep(RESTORE_INTERVAL_MS);
      await restoreStore(fleet, () => {
        fleet.configure({timeoutMs: STREAM_TIMEOUT_MS});
        for (const engine of fleet.engines) fleet.register(engine);
      });
    }
    await restart(fleet, killed, 'SIGKILL');
  },
);

When(
  'the store is restored from the snapshot, while gateways have {int} ms to write to it',
  async function (this: FleetWorld, writeMs: number) {
    const {fleet} = usersScenario(this);
    await restoreStore(fleet, () => {
      fleet.configure({timeoutMs: STREAM_TIMEOUT_MS});
      for (const engine of fleet.engines) fleet.register(engine);
    });
    await sleep(writeMs);
  },
);

When(
  '{int} long drafts run at the first gateway while the store is away',
  async function (this: FleetWorld, count: number) {
    const {fleet} = usersScenario(this);
    fleet.configure({timeoutMs: STREAM_TIMEOUT_MS});
    for (const engine of fleet.engines) engine.eventMs = SLOW_EVENT_MS;
    await sleep(SETTLE_MS);
    fleet.store.mode = 'unavailable';
    const streams = runningOf(fleet);
    for (let i = 0; i < count; i++)
      streams.set(`stream-${i}`, callStream(fleet, `stream-${i}`, 0, {}));
    await sleep(STREAM_START_MS);
  },
);

When(
  'the store is back and all gateways are killed and started again',
  {timeout: 20_000},
  async function (this: FleetWorld) {
    const {fleet} = usersScenario(this);
    for (const {process} of fleet.gateways) process.signal('SIGKILL');
    fleet.store.mode = 'up';
    await restart(fleet, [...fleet.gateways.keys()], 'SIGKILL');
  },
);

When(
  'a caller resumes a stream with the first request {string} at the second gateway',
  async function (this: FleetWorld, resumes: string) {
    const {fleet, answers} = usersScenario(this);
    const headers = {'last-event-id': '2', ...(resumes === '' ? {} : {resumes})};
    answers.push(await callStream(fleet, 'resumed', fleet.gateways.length - 1, headers));
  },
);

Then(/^the resumed stream is (refused|served)$/, function (this: FleetWorld, outcome: string) {
  const {answers} = usersScenario(this);
  assert.equal(answers[0].status, outcome === 'served' ? 200 : 503, answers[0].body);
});

Then(
  '{int} new long drafts begin at the second gateway',
  {timeout: 30_000},
  async function (this: FleetWorld, count: number) {
    const {fleet} = usersScenario(this);
    const begun = Array.from({length: count}, async (_, i) => {
      for (let attempt = 1; attempt <= NEW_STREAM_TRIES; attempt++) {
        const id = `new-${i}-${attempt}`;
        const {status} = await callStream(fleet, id, fleet.gateways.length - 1, {});
        if (status === 200) return true;
        await sleep(500);
      }
      return false;
    });
    const results = await Promise.all(begun);
    assert.equal(results.filter(isBegun => isBegun).length, count);
  },
);

When('the first gateway is killed', async function (this: FleetWorld) {
  await usersScenario(this).fleet.gateways[0].process.kill();
});

Then('streams of v2 have begun', function (this: FleetWorld) {
  const {answers} = usersScenario(this);
  assert.ok(answers.some(({body}) => body.includes('data: v2 piece 1\n')));
});

Then('no stream has events of two versions', function (this: FleetWorld) {
  const {answers} = usersScenario(this);
  for (const {body} of answers) {
    const versions = new Set([...body.matchAll(/^data: (v\d )?piece/gm)].map(found => found[1]));
    assert.ok(versions.size <= 1, JSON.stringify(answers));
  }
  assert.ok(answers.some(({body}) => body !== ''));
});

Then('none begun at v1 of the streams are complete', function (this: FleetWorld) {
  const {answers} = usersScenario(this);
  const begunAtV1 = answers.filter(({body}) => /^data: piece/m.test(body));
  assert.ok(begunAtV1.length > 0, JSON.stringify(answers));
  const complete = begunAtV1.filter(({body}) => body.match(/^id: /gm)?.length === STREAM_EVENTS);
  assert.deepEqual(complete, []);
});

Then(/^(all|none) of the streams are complete$/, function (this: FleetWorld, share: string) {
  const {answers} = usersScenario(this);
  const complete = answers.filter(
    ({body, cut}) => !cut && body.match(/^id: /gm)?.length === STREAM_EVENTS,
  );
  const incomplete = answers.filter(answer => !complete.includes(answer));
  const expected = share === 'all' ? answers.length : 0;
  assert.equal(complete.length, expected, JSON.stringify(incomplete));
});

Then(
  'in {int} random series every resumed stream continues at its version',
  function (numRuns: number) {
    let resumed = 0;
    fc.assert(
      fc.property(versionHistories, events => {
        const {same, other, refused} = playVersionHistory(events);
        resumed += same;
        assert.deepEqual({other, refused}, {other: 0, refused: 0});
      }),
      {numRuns, seed: 20261205},
    );
    assert.ok(resumed > numRuns, `${resumed} streams were resumed`);
  },
);

Then('every stream of a gateway that started late continues at its version', function () {
  assert.deepEqual(playVersionHistory(LATE_GATEWAY_HISTORY), {same: 2, other: 0, refused: 0});
});
