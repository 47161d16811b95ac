/** Checks of the scenarios about the users' platform. */
import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import {until} from '../support/fleet_process.ts';
import {MODEL} from '../support/users_fleet.ts';
import {usersScenario, replicas} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

const EVENT_IDS = ['1', '2', '3', '4'];

Then("the response is the replica's own, with its signature", function (this: FleetWorld) {
  const {answers, fleet} = usersScenario(this);
  const [response] = answers;
  const runner = fleet.services.find(replica => replica.runs.length > 0)!;
  assert.equal(response.status, 200);
  assert.equal(response.headers['response-signature'], `sig.${runner.id}.${runner.runs[0].id}`);
  assert.equal(response.body, `answer of ${runner.id} to ${runner.runs[0].id}`);
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
  const [response] = usersScenario(this).answers;
  assert.equal(response.status, 503);
  assert.ok(Number(response.headers['retry-after']) >= 0);
  assert.equal(replicas(this).flatMap(replica => replica.runs).length, 0);
});

Then('the caller gets status {int}', function (this: FleetWorld, status: number) {
  assert.equal(usersScenario(this).answers[0].status, status);
});

Then('the caller gets a cut answer', function (this: FleetWorld) {
  assert.ok(usersScenario(this).answers[0].cut);
});

Then('the caller gets a whole answer', function (this: FleetWorld) {
  const [response] = usersScenario(this).answers;
  assert.deepEqual([response.status, response.cut], [200, false]);
  assert.match(response.body, /^answer of i-orders-1 to req-1$/);
});

Then('every answer is whole', async function (this: FleetWorld) {
  for (const {status, cut, body} of usersScenario(this).answers) {
    assert.deepEqual([status, cut], [200, false], body);
  }
});

Then('no read ran on more than {int} replicas', function (this: FleetWorld, max: number) {
  const counts = new Map<string, number>();
  for (const {id} of replicas(this).flatMap(replica => replica.runs)) {
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  assert.ok([...counts.values()].every(count => count <= max));
});

Then(
  'the replica saw none of {string} from the caller',
  function (this: FleetWorld, names: string) {
    const [run] = usersScenario(this).fleet.engines[0].runs;
    for (const name of names.split(', ')) assert.equal(run.headers[name.toLowerCase()], undefined);
    assert.notEqual(run.headers['request-priority'], 'forged');
  },
);

Then('the request named the replica as the expected instance', function (this: FleetWorld) {
  const [engine] = usersScenario(this).fleet.engines;
  assert.equal(engine.runs[0].headers['expect-instance'], engine.id);
});

Then('the replica was given less time than the caller has', function (this: FleetWorld) {
  const deadlineMs = Number(usersScenario(this).fleet.engines[0].runs[0].headers['deadline-ms']);
  assert.ok(deadlineMs > 2000 && deadlineMs <= 3000, String(deadlineMs));
});

Then(
  'the response took between {int} and {int} ms',
  function (this: FleetWorld, min: number, max: number) {
    const {tookMs} = usersScenario(this).answers[0];
    assert.ok(tookMs >= min && tookMs <= max, String(tookMs));
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
  for (const {status, cut, body} of usersScenario(this).answers) {
    assert.deepEqual([status, cut], [200, false]);
    assert.deepEqual(
      [...body.matchAll(/^id: (\d+)$/gm)].map(match => match[1]),
      EVENT_IDS,
    );
  }
});

Then(
  'the engine never had more than {int} adapters loaded',
  function (this: FleetWorld, max: number) {
    assert.ok(usersScenario(this).fleet.engines[0].models.get(MODEL)!.size <= max);
  },
);

Then(
  'every order of the steward had a larger fencing token than the one before',
  function (this: FleetWorld) {
    const fences = usersScenario(this).fleet.engines[0].orders.map(order => order.fencingToken);
    assert.ok(fences.length >= 3);
    for (let i = 1; i < fences.length; i++) assert.ok(fences[i] > fences[i - 1]);
  },
);

Then('no attempt failed', function (this: FleetWorld) {
  const log = usersScenario(this).fleet.gateways[0].process.log.join('');
  assert.ok(log.includes('request ended'), log);
  assert.ok(!log.includes('attempt failed'), log);
});

Then('none of them reached the first replica', function (this: FleetWorld) {
  const {answers, fleet} = usersScenario(this);
  assert.ok(answers.every(({status}) => status === 200));
  assert.equal(fleet.services[0].runs.length, 0);
});

Then('orders were served throughout', function (this: FleetWorld) {
  const {answers} = usersScenario(this);
  assert.ok(answers.length >= 30);
  assert.deepEqual(
    answers.map(({status}) => status),
    answers.map(() => 200),
  );
});

Then(
  'the route {string} is served within {int} ms',
  async function (this: FleetWorld, name: string, withinMs: number) {
    const {fleet} = usersScenario(this);
    await until(`route ${name}`, withinMs, async () => {
      const {status} = await fleet.call({path: `/${name}/1`, method: 'GET'});
      return status === 200 ? true : undefined;
    });
  },
);

Then(
  'the gateway reported that it was not ready and has exited',
  async function (this: FleetWorld) {
    const {fleet, wasUnready} = usersScenario(this);
    assert.ok(wasUnready);
    assert.equal(await fleet.gateways[0].process.exited, 0);
  },
);

Then(
  'that gateway is not ready and refuses an order with {int}',
  async function (this: FleetWorld, status: number) {
    const {answers, fleet} = usersScenario(this);
    assert.equal(await fleet.isReady(1), false);
    assert.equal(answers[0].status, status);
  },
);

Then('at most {int} replicas have crashed', function (this: FleetWorld, max: number) {
  const crashed = usersScenario(this).fleet.services.filter(replica => replica.runs.length > 0);
  assert.ok(crashed.length <= max, String(crashed.length));
});

Then('the last response is a refusal with Retry-After', function (this: FleetWorld) {
  const last = usersScenario(this).answers.at(-1)!;
  assert.equal(last.status, 503);
  assert.ok(Number(last.headers['retry-after']) > 0);
});

Then('an order with another body is served by each gateway', async function (this: FleetWorld) {
  for (const gateway of [0, 1]) {
    const {status} = await usersScenario(this).fleet.call({path: '/order/7', gateway});
    assert.equal(status, 200);
  }
});

Then(
  'that gateway is ready within {int} ms after the store responds again',
  function (this: FleetWorld, withinMs: number) {
    const {readyAfterMs} = usersScenario(this);
    assert.ok(readyAfterMs !== undefined && readyAfterMs <= withinMs, String(readyAfterMs));
  },
);

Then(
  'the store was asked for changes at most {int} times',
  function (this: FleetWorld, max: number) {
    const watches = (usersScenario(this).storeCalls ?? []).filter(call =>
      call.endsWith('/-/kv-watch'),
    );
    assert.ok(watches.length > 0 && watches.length <= max, String(watches.length));
  },
);

Then(
  /^a configuration that adds the route "(\w+)" is in force at each (?:other )?gateway within (\d+) ms$/,
  async function (this: FleetWorld, name: string, withinMs: string) {
    const {fleet, pausedGateway: still} = usersScenario(this);
    fleet.configure({extraRoute: name});
    const running = fleet.gateways.map((_, gateway) => gateway).filter(each => each !== still);
    const applied = running.map(gateway =>
      until(`route ${name} at ${gateway}`, Number(withinMs), async () => {
        const {status} = await fleet.call({path: `/${name}/1`, method: 'GET', gateway});
        return status === 200 ? true : undefined;
      }),
    );
    await Promise.all(applied);
  },
);

Then('each gateway has counted {int} gateways', function (this: FleetWorld, count: number) {
  for (const {process} of usersScenario(this).fleet.gateways) {
    const counts = [...process.log.join('').matchAll(/"count":(\d+),[^}]*"gateways counted"/g)];
    assert.equal(Number(counts.at(-1)?.[1]), count);
  }
});
