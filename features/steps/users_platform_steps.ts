/** Steps about gateways and stewards on the users' platform. */
import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {sleep} from '@jasminepost/core';
import type {ReplicaFault, UsersReplica} from '../../stand_ins/users_platform/replica.ts';
import {until} from '../support/fleet_process.ts';
import {MODEL, UsersFleet, type UsersAnswer} from '../support/users_fleet.ts';
import type {FleetWorld} from '../support/world.ts';

const SETTLE_MS = 1200;
const EVENT_IDS = ['1', '2', '3', '4'];

interface Notes {
  readonly fleet: UsersFleet;
  answers: UsersAnswer[];
  pending: Promise<UsersAnswer[]>;
  wasUnready: boolean;
}

const notes = new WeakMap<FleetWorld, Notes>();

function of(world: FleetWorld): Notes {
  const found = notes.get(world);
  assert.ok(found, 'the scenario has no users’ fleet');
  return found;
}

function replicas(world: FleetWorld): UsersReplica[] {
  const {fleet} = of(world);
  return [...fleet.services, ...fleet.engines];
}

After(async function (this: FleetWorld) {
  await notes.get(this)?.fleet.stop();
});

Given(
  "a users' fleet of {int} service replicas, {int} engines and {int} gateway",
  async function (this: FleetWorld, services: number, engines: number, gateways: number) {
    const fleet = new UsersFleet();
    notes.set(this, {
      fleet,
      answers: [],
      pending: Promise.resolve([]),
      wasUnready: false,
    });
    await fleet.start(services, engines, gateways);
    // Stewards have to be linked, and the planner's role to be taken.
    if (engines > 0) await sleep(SETTLE_MS * 2);
  },
);

Given("the replicas' fault is {string}", function (this: FleetWorld, fault: ReplicaFault) {
  for (const replica of replicas(this)) replica.fault = fault;
});

Given("the first replica's fault is {string}", function (this: FleetWorld, fault: ReplicaFault) {
  of(this).fleet.services[0].fault = fault;
});

Given("the first engine's fault is {string}", function (this: FleetWorld, fault: ReplicaFault) {
  of(this).fleet.engines[0].fault = fault;
});

Given('the replicas need {int} ms for a request', function (this: FleetWorld, workMs: number) {
  for (const replica of replicas(this)) replica.workMs = workMs;
});

Given("the routes' time is {int} ms", async function (this: FleetWorld, timeoutMs: number) {
  of(this).fleet.configure({timeoutMs});
  await sleep(SETTLE_MS);
});

async function send(world: FleetWorld, path: string, count: number): Promise<void> {
  const found = of(world);
  for (let i = 0; i < count; i++) found.answers.push(await found.fleet.call({path}));
}

When('a caller sends an order', async function (this: FleetWorld) {
  await send(this, '/order/7?copy=1', 1);
});

When('a caller sends {int} orders', async function (this: FleetWorld, count: number) {
  await send(this, '/order/7', count);
});

When('a caller sends {int} reads', async function (this: FleetWorld, count: number) {
  await send(this, '/read/7', count);
});

When('a caller sends {int} long drafts', async function (this: FleetWorld, count: number) {
  await send(this, '/long/7', count);
});

When(
  'a caller sends a draft with its own {string}',
  async function (this: FleetWorld, names: string) {
    const headers = Object.fromEntries(names.split(', ').map(name => [name, 'forged']));
    const found = of(this);
    found.answers.push(await found.fleet.call({path: '/draft/1', headers}));
  },
);

When(
  'a caller sends a draft for each of {int} adapters in turn',
  async function (this: FleetWorld, count: number) {
    const found = of(this);
    for (let i = 1; i <= count; i++) {
      const headers = {model: `${MODEL}/a${i}`};
      found.answers.push(await found.fleet.call({path: '/draft/1', headers}));
      assert.ok(found.fleet.engines[0].models.get(MODEL)!.size <= 2);
      // An adapter that has just been used stays for the requests that follow.
      await sleep(600);
    }
  },
);

When(
  'a caller sends a patient draft for the model {string}',
  async function (this: FleetWorld, model: string) {
    const found = of(this);
    for (const engine of found.fleet.engines) engine.onDisk.add(model);
    await sleep(SETTLE_MS);
    found.answers.push(await found.fleet.call({path: '/long/1', headers: {model}}));
  },
);

When(
  'a caller sends an order and leaves after {int} ms',
  async function (this: FleetWorld, leaveAfterMs: number) {
    await of(this).fleet.call({path: '/order/7', leaveAfterMs});
  },
);

When(
  'a caller sends a draft and leaves after {int} ms',
  async function (this: FleetWorld, leaveAfterMs: number) {
    const {fleet} = of(this);
    fleet.engines[0].eventMs = 400;
    await fleet.call({path: '/draft/7', leaveAfterMs});
  },
);

When('the store is away', async function (this: FleetWorld) {
  of(this).fleet.store.mode = 'unavailable';
  // Longer than the planner's lease.
  await sleep(3000);
});

When('the first replica is draining', async function (this: FleetWorld) {
  const {fleet} = of(this);
  fleet.register(fleet.services[0], 'draining');
  await sleep(SETTLE_MS);
});

When('the first replica is taken off the list', async function (this: FleetWorld) {
  const {fleet} = of(this);
  fleet.store.remove(`servers/${fleet.services[0].id}`);
  await sleep(SETTLE_MS);
});

When('the first replica is replaced by a broken entry', async function (this: FleetWorld) {
  const {fleet} = of(this);
  fleet.store.put(`servers/${fleet.services[0].id}`, '{"service":7}');
  await sleep(SETTLE_MS);
});

When('the first replica is listed under another id', async function (this: FleetWorld) {
  const {fleet} = of(this);
  const [first, second] = fleet.services;
  // The address has gone to a replica that started later.
  const entry = second.entry(fleet.hostOf(second)) as object;
  fleet.store.put(`servers/${first.id}`, {...entry, born: second.born - 1000});
  await sleep(SETTLE_MS);
});

When('the first engine goes down and its entry stays', async function (this: FleetWorld) {
  of(this).fleet.engines[0].close();
  await sleep(SETTLE_MS);
});

When('a caller sends {int} drafts', async function (this: FleetWorld, count: number) {
  await send(this, '/draft/7', count);
});

When(
  "the store is away for {int} ms and the replicas' entries lapse meanwhile",
  async function (this: FleetWorld, awayMs: number) {
    const {fleet} = of(this);
    fleet.store.mode = 'unavailable';
    const lapseAt = awayMs / 2;
    for (let elapsed = 0; elapsed < awayMs; elapsed += 200) {
      if (elapsed === lapseAt) {
        for (const replica of fleet.services) fleet.store.remove(`servers/${replica.id}`);
      }
      await send(this, '/order/7', 1);
      await sleep(200);
    }
    fleet.store.mode = 'up';
  },
);

When('the entries are back {int} ms after it', async function (this: FleetWorld, backMs: number) {
  const {fleet} = of(this);
  for (let elapsed = 0; elapsed < 3000; elapsed += 200) {
    if (elapsed === backMs) for (const replica of fleet.services) fleet.register(replica);
    await send(this, '/order/7', 1);
    await sleep(200);
  }
});

When(
  'the store forgets its history and a configuration adds the route {string}',
  async function (this: FleetWorld, extraRoute: string) {
    const {fleet} = of(this);
    fleet.configure({extraRoute});
    fleet.store.compact();
  },
);

When(
  'the first gateway is stopped while {int} orders run',
  async function (this: FleetWorld, count: number) {
    const found = of(this);
    const {fleet} = found;
    const running = Array.from({length: count}, () => fleet.call({path: '/order/7'}));
    await sleep(300);
    fleet.gateways[0].process.signal('SIGTERM');
    await sleep(200);
    found.wasUnready = !(await fleet.isReady(0));
    found.answers = await Promise.all(running);
  },
);

When('another gateway starts while the store is away', async function (this: FleetWorld) {
  const found = of(this);
  found.fleet.store.mode = 'unavailable';
  await found.fleet.startGateway();
  await until('a started gateway', 10_000, async () => {
    const answer = await found.fleet.call({path: '/order/7', gateway: 1});
    return answer.status === 0 ? undefined : found.answers.push(answer);
  });
});

Then("the answer is the replica's own, with its signature", function (this: FleetWorld) {
  const {answers, fleet} = of(this);
  const [answer] = answers;
  const ran = fleet.services.find(replica => replica.runs.length > 0)!;
  assert.equal(answer.status, 200);
  assert.equal(answer.headers['response-signature'], `sig.${ran.id}.${ran.runs[0].id}`);
  assert.equal(answer.body, `answer of ${ran.id} to ${ran.runs[0].id}`);
});

Then("the order ran once, with the caller's method, path and body", function (this: FleetWorld) {
  const runs = replicas(this).flatMap(replica => replica.runs);
  assert.equal(runs.length, 1);
  const {method, path, body} = runs[0];
  assert.deepEqual({method, path, body}, {method: 'POST', path: '/order/7?copy=1', body: 'a body'});
});

Then('the order ran at most once', function (this: FleetWorld) {
  assert.ok(replicas(this).flatMap(replica => replica.runs).length <= 1);
});

Then('the caller gets a refusal', function (this: FleetWorld) {
  const [answer] = of(this).answers;
  assert.equal(answer.status, 503);
  assert.ok(Number(answer.headers['retry-after']) >= 0);
  assert.equal(replicas(this).flatMap(replica => replica.runs).length, 0);
});

Then('the caller gets status {int}', function (this: FleetWorld, status: number) {
  assert.equal(of(this).answers[0].status, status);
});

Then('the caller gets a cut answer', function (this: FleetWorld) {
  assert.ok(of(this).answers[0].cut);
});

Then('the caller gets a whole answer', function (this: FleetWorld) {
  const [answer] = of(this).answers;
  assert.deepEqual([answer.status, answer.cut], [200, false]);
  assert.match(answer.body, /^answer of i-orders-1 to req-1$/);
});

Then('every answer is whole', async function (this: FleetWorld) {
  for (const {status, cut, body} of of(this).answers) {
    assert.deepEqual([status, cut], [200, false], body);
  }
});

Then('no read ran on more than {int} replicas', function (this: FleetWorld, most: number) {
  const counts = new Map<string, number>();
  for (const {id} of replicas(this).flatMap(replica => replica.runs)) {
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  assert.ok([...counts.values()].every(count => count <= most));
});

Then(
  'the replica saw none of {string} from the caller',
  function (this: FleetWorld, names: string) {
    const [run] = of(this).fleet.engines[0].runs;
    for (const name of names.split(', ')) assert.equal(run.headers[name.toLowerCase()], undefined);
    assert.notEqual(run.headers['request-priority'], 'forged');
  },
);

Then('the replica was named in the request', function (this: FleetWorld) {
  const [engine] = of(this).fleet.engines;
  assert.equal(engine.runs[0].headers['expect-instance'], engine.id);
});

Then('the replica was given less time than the caller has', function (this: FleetWorld) {
  const given = Number(of(this).fleet.engines[0].runs[0].headers['deadline-ms']);
  assert.ok(given > 2000 && given <= 3000, String(given));
});

Then(
  'the answer took between {int} and {int} ms',
  function (this: FleetWorld, least: number, most: number) {
    const {tookMs} = of(this).answers[0];
    assert.ok(tookMs >= least && tookMs <= most, String(tookMs));
  },
);

Then(
  'the replica sees the request abandoned within {int} ms',
  async function (this: FleetWorld, withinMs: number) {
    await until('an abandoned request', withinMs, async () =>
      replicas(this)[0].runs[0]?.abandoned === true ? true : undefined,
    );
  },
);

Then('every stream has each event once, in order', function (this: FleetWorld) {
  for (const {status, cut, body} of of(this).answers) {
    assert.deepEqual([status, cut], [200, false]);
    assert.deepEqual(
      [...body.matchAll(/^id: (\d+)$/gm)].map(match => match[1]),
      EVENT_IDS,
    );
  }
});

Then('the engine never held more than {int} adapters', function (this: FleetWorld, most: number) {
  assert.ok(of(this).fleet.engines[0].models.get(MODEL)!.size <= most);
});

Then('every order had a larger fence than the one before', function (this: FleetWorld) {
  const fences = of(this).fleet.engines[0].orders.map(order => order.fencingToken);
  assert.ok(fences.length >= 3);
  for (let i = 1; i < fences.length; i++) assert.ok(fences[i] > fences[i - 1]);
});

Then('no attempt failed on the way', function (this: FleetWorld) {
  const log = of(this).fleet.gateways[0].process.log.join('');
  assert.ok(log.includes('request ended'), log);
  assert.ok(!log.includes('attempt failed'), log);
});

Then('none of them reached the first replica', function (this: FleetWorld) {
  const {answers, fleet} = of(this);
  assert.ok(answers.every(({status}) => status === 200));
  assert.equal(fleet.services[0].runs.length, 0);
});

Then('orders were answered all the while', function (this: FleetWorld) {
  const {answers} = of(this);
  assert.ok(answers.length >= 30);
  assert.deepEqual(
    answers.map(({status}) => status),
    answers.map(() => 200),
  );
});

Then(
  'the route {string} is served within {int} ms',
  async function (this: FleetWorld, name: string, withinMs: number) {
    const {fleet} = of(this);
    await until(`route ${name}`, withinMs, async () => {
      const {status} = await fleet.call({path: `/${name}/1`, method: 'GET'});
      return status === 200 ? true : undefined;
    });
  },
);

Then('the gateway had said that it is not ready and has ended', async function (this: FleetWorld) {
  const {fleet, wasUnready} = of(this);
  assert.ok(wasUnready);
  assert.equal(await fleet.gateways[0].process.exited, 0);
});

Then(
  'that gateway is not ready and refuses an order with {int}',
  async function (this: FleetWorld, status: number) {
    const {answers, fleet} = of(this);
    assert.equal(await fleet.isReady(1), false);
    assert.equal(answers[0].status, status);
  },
);
