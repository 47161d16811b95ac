/** Steps about gateways and stewards on the users' platform. */
import assert from 'node:assert/strict';
import {After, Given, When} from '@cucumber/cucumber';
import {sleep} from '@jasminepost/core';
import type {ReplicaFault} from '../../stand_ins/users_platform/replica_fault.ts';
import {until} from '../support/fleet_process.ts';
import {MODEL, MODELS, UsersFleet} from '../support/users_fleet.ts';
import {usersScenarios, usersScenario, replicas} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

const SETTLE_MS = 1200;
/** By then gateways have sent their evidence to each other. */
const PROPAGATION_MS = 400;

After(async function (this: FleetWorld) {
  await usersScenarios.get(this)?.fleet.stop();
});

Given(
  "a users' fleet of {int} service replicas, {int} engines and {int} gateway",
  async function (this: FleetWorld, services: number, engines: number, gateways: number) {
    const fleet = new UsersFleet();
    usersScenarios.set(this, {
      fleet,
      answers: [],
      pending: Promise.resolve([]),
      wasUnready: false,
    });
    await fleet.start(services, engines, gateways);
    // Stewards have to connect, and a gateway has to take the planner role.
    if (engines > 0) await sleep(SETTLE_MS * 2);
  },
);

Given("the replicas' fault is {string}", function (this: FleetWorld, fault: ReplicaFault) {
  for (const replica of replicas(this)) replica.fault = fault;
});

Given("the first replica's fault is {string}", function (this: FleetWorld, fault: ReplicaFault) {
  usersScenario(this).fleet.services[0].fault = fault;
});

Given("the first engine's fault is {string}", function (this: FleetWorld, fault: ReplicaFault) {
  usersScenario(this).fleet.engines[0].fault = fault;
});

Given('the replicas need {int} ms for a request', function (this: FleetWorld, workMs: number) {
  for (const replica of replicas(this)) replica.workMs = workMs;
});

Given(
  'the routes have a timeout of {int} ms',
  async function (this: FleetWorld, timeoutMs: number) {
    usersScenario(this).fleet.configure({timeoutMs});
    await sleep(SETTLE_MS);
  },
);

async function sendCalls(world: FleetWorld, path: string, count: number): Promise<void> {
  const state = usersScenario(world);
  for (let i = 0; i < count; i++) state.answers.push(await state.fleet.call({path}));
}

When('a caller sends an order', async function (this: FleetWorld) {
  await sendCalls(this, '/order/7?copy=1', 1);
});

When(
  'a caller sends an order to each gateway {int} ms after the start',
  async function (this: FleetWorld, afterMs: number) {
    const state = usersScenario(this);
    await sleep(afterMs);
    for (const gateway of state.fleet.gateways.keys()) {
      state.answers.push(await state.fleet.call({path: '/order/7', gateway}));
    }
  },
);

When('a caller sends {int} orders', async function (this: FleetWorld, count: number) {
  await sendCalls(this, '/order/7', count);
});

When('a caller sends {int} reads', async function (this: FleetWorld, count: number) {
  await sendCalls(this, '/read/7', count);
});

When('a caller sends {int} long drafts', async function (this: FleetWorld, count: number) {
  await sendCalls(this, '/long/7', count);
});

When(
  'a caller sends a draft with its own headers {string}',
  async function (this: FleetWorld, names: string) {
    const headers = Object.fromEntries(names.split(', ').map(name => [name, 'forged']));
    const state = usersScenario(this);
    state.answers.push(await state.fleet.call({path: '/draft/1', headers}));
  },
);

When(
  'a caller sends a draft for each of {int} adapters in turn',
  async function (this: FleetWorld, count: number) {
    const state = usersScenario(this);
    for (let i = 1; i <= count; i++) {
      const headers = {model: `${MODEL}/a${i}`};
      state.answers.push(await state.fleet.call({path: '/draft/1', headers}));
      assert.ok(state.fleet.engines[0].models.get(MODEL)!.size <= 2);
      // A recently used adapter stays loaded for the requests that follow.
      await sleep(600);
    }
  },
);

When(
  'a caller sends a delay-tolerant draft for a model that no engine has loaded',
  async function (this: FleetWorld) {
    const state = usersScenario(this);
    const {engines} = state.fleet;
    const model = MODELS.find(name => engines.every(engine => !engine.models.has(name)));
    assert.ok(model !== undefined);
    for (const engine of engines) engine.onDisk.add(model);
    await sleep(SETTLE_MS);
    state.answers.push(await state.fleet.call({path: '/long/1', headers: {model}}));
  },
);

Given('the store takes {int} ms for a call', function (this: FleetWorld, latencyMs: number) {
  usersScenario(this).fleet.store.latencyMs = latencyMs;
});

When(
  'a caller sends a delay-tolerant draft for the model {string}',
  async function (this: FleetWorld, model: string) {
    const state = usersScenario(this);
    for (const engine of state.fleet.engines) engine.onDisk.add(model);
    await sleep(SETTLE_MS);
    state.answers.push(await state.fleet.call({path: '/long/1', headers: {model}}));
  },
);

When(
  'a caller sends an order and disconnects after {int} ms',
  async function (this: FleetWorld, leaveAfterMs: number) {
    await usersScenario(this).fleet.call({path: '/order/7', abortAfterMs: leaveAfterMs});
  },
);

When(
  'a caller sends a draft and disconnects after {int} ms',
  async function (this: FleetWorld, leaveAfterMs: number) {
    const {fleet} = usersScenario(this);
    fleet.engines[0].eventMs = 400;
    await fleet.call({path: '/draft/7', abortAfterMs: leaveAfterMs});
  },
);

When(/^the store is (away|silent)$/, async function (this: FleetWorld, mode: string) {
  usersScenario(this).fleet.store.mode = mode === 'away' ? 'unavailable' : 'silent';
  // Longer than the planner's lease, so that the lease expires.
  await sleep(3000);
});

When(
  'another gateway starts while the store is silent, and the store responds again after {int} ms',
  {timeout: 20_000},
  async function (this: FleetWorld, silentMs: number) {
    const state = usersScenario(this);
    const {fleet} = state;
    fleet.store.mode = 'silent';
    await fleet.startGateway();
    await until('a started gateway', 10_000, async () => {
      const response = await fleet.call({path: '/order/7', gateway: 1});
      return response.status === 0 ? undefined : true;
    });
    await sleep(silentMs);
    fleet.store.mode = 'up';
    const backMs = performance.now();
    await until('a ready gateway', 10_000, async () => (await fleet.isReady(1)) || undefined);
    state.readyAfterMs = performance.now() - backMs;
  },
);

When(
  'the gateway restarts and a caller sends orders until one gets a response',
  {timeout: 20_000},
  async function (this: FleetWorld) {
    const state = usersScenario(this);
    const {fleet} = state;
    await fleet.gateways[0].process.kill();
    fleet.restartGateway(0);
    await until('a response', 10_000, async () => {
      const response = await fleet.call({path: '/order/7'});
      return response.status === 0 ? undefined : state.answers.push(response);
    });
  },
);

When('the first replica is draining', async function (this: FleetWorld) {
  const {fleet} = usersScenario(this);
  fleet.register(fleet.services[0], 'draining');
  await sleep(SETTLE_MS);
});

When('the first replica is taken off the list', async function (this: FleetWorld) {
  const {fleet} = usersScenario(this);
  fleet.store.remove(`servers/${fleet.services[0].id}`);
  await sleep(SETTLE_MS);
});

When('the first replica is replaced by a broken entry', async function (this: FleetWorld) {
  const {fleet} = usersScenario(this);
  fleet.store.put(`servers/${fleet.services[0].id}`, '{"service":7}');
  await sleep(SETTLE_MS);
});

When('the first replica is listed under another id', async function (this: FleetWorld) {
  const {fleet} = usersScenario(this);
  const [first, second] = fleet.services;
  // The address has since been assigned to a replica that started later.
  const entry = second.registration(fleet.hostOf(second)) as object;
  fleet.store.put(`servers/${first.id}`, {...entry, born: second.born - 1000});
  await sleep(SETTLE_MS);
});

When('the first engine goes down and its entry stays', async function (this: FleetWorld) {
  usersScenario(this).fleet.engines[0].close();
  await sleep(SETTLE_MS);
});

When(
  'the first engine restarts without models and is listed under another id {int} ms later',
  async function (this: FleetWorld, delayMs: number) {
    const {fleet} = usersScenario(this);
    const [engine] = fleet.engines;
    const before = engine.id;
    engine.restart(`${before}-again`);
    await sleep(delayMs);
    fleet.register(engine);
    fleet.store.remove(`servers/${before}`);
    await sleep(SETTLE_MS);
  },
);

Given('the engines need {int} ms to load a model', function (this: FleetWorld, loadMs: number) {
  for (const engine of usersScenario(this).fleet.engines) engine.loadMs = loadMs;
});

When(
  'a caller sends a delay-tolerant draft for the model {string} and disconnects after {int} ms',
  async function (this: FleetWorld, model: string, leaveAfterMs: number) {
    const {fleet} = usersScenario(this);
    for (const engine of fleet.engines) engine.onDisk.add(model);
    await sleep(SETTLE_MS);
    await fleet.call({path: '/long/1', headers: {model}, abortAfterMs: leaveAfterMs});
    assert.ok(fleet.engines[0].orders.length > 0, 'no load has started');
  },
);

When(
  'the first engine is down for {int} ms and restarts without models under another id',
  async function (this: FleetWorld, downMs: number) {
    const {fleet} = usersScenario(this);
    const [engine] = fleet.engines;
    const before = engine.id;
    await engine.restartAfter(downMs, `${before}-again`);
    fleet.register(engine);
    fleet.store.remove(`servers/${before}`);
    await sleep(SETTLE_MS);
  },
);

When('a caller sends {int} drafts', async function (this: FleetWorld, count: number) {
  await sendCalls(this, '/draft/7', count);
});

When(
  "the store is unavailable for {int} ms and the replicas' entries expire meanwhile",
  async function (this: FleetWorld, awayMs: number) {
    const {fleet} = usersScenario(this);
    fleet.store.mode = 'unavailable';
    const lapseAtMs = awayMs / 2;
    for (let elapsed = 0; elapsed < awayMs; elapsed += 200) {
      if (elapsed === lapseAtMs) {
        for (const replica of fleet.services) fleet.store.remove(`servers/${replica.id}`);
      }
      await sendCalls(this, '/order/7', 1);
      await sleep(200);
    }
    fleet.store.mode = 'up';
  },
);

When(
  'the entries are registered again {int} ms after the outage',
  async function (this: FleetWorld, backMs: number) {
    const {fleet} = usersScenario(this);
    for (let elapsed = 0; elapsed < 3000; elapsed += 200) {
      if (elapsed === backMs) for (const replica of fleet.services) fleet.register(replica);
      await sendCalls(this, '/order/7', 1);
      await sleep(200);
    }
  },
);

When(
  'a configuration adds the route {string} and the store compacts its history',
  async function (this: FleetWorld, extraRoute: string) {
    const {fleet} = usersScenario(this);
    fleet.configure({extraRoute});
    fleet.store.compact();
  },
);

When(
  "the replicas' entries change every {int} ms for {int} ms",
  async function (this: FleetWorld, intervalMs: number, durationMs: number) {
    const state = usersScenario(this);
    const {fleet} = state;
    const before = fleet.store.calls.length;
    for (let elapsed = 0; elapsed < durationMs; elapsed += intervalMs) {
      for (const engine of fleet.engines) fleet.register(engine);
      await sleep(intervalMs);
    }
    state.storeCalls = fleet.store.calls.slice(before);
  },
);

When("the planner's gateway is suspended", function (this: FleetWorld) {
  const state = usersScenario(this);
  const {fleet} = state;
  state.pausedGateway = fleet.plannerIndex();
  assert.ok(state.pausedGateway >= 0, 'no gateway holds the planner role');
  fleet.gateways[state.pausedGateway].process.signal('SIGSTOP');
});

When('another gateway starts while the store is unavailable', async function (this: FleetWorld) {
  const state = usersScenario(this);
  state.fleet.store.mode = 'unavailable';
  await state.fleet.startGateway();
  await until('a started gateway', 10_000, async () => {
    const response = await state.fleet.call({path: '/order/7', gateway: 1});
    return response.status === 0 ? undefined : state.answers.push(response);
  });
});

When(
  'a caller sends the order {string} {int} times to each gateway in turn',
  async function (this: FleetWorld, body: string, times: number) {
    const state = usersScenario(this);
    for (let i = 0; i < 2 * times; i++) {
      state.answers.push(await state.fleet.call({path: '/order/7', body, gateway: i % 2}));
      await sleep(PROPAGATION_MS);
    }
  },
);

When(
  'all replicas crash while {int} orders run at each gateway, and a new replica starts',
  async function (this: FleetWorld, count: number) {
    const {fleet} = usersScenario(this);
    await sleep(SETTLE_MS * 2);
    const crashing = [...fleet.services];
    const running = Array.from({length: 2 * count}, (_, i) =>
      fleet.call({path: '/order/7', gateway: i % 2}),
    );
    await sleep(PROPAGATION_MS);
    for (const replica of crashing) {
      fleet.store.remove(`servers/${replica.id}`);
      replica.close();
    }
    for (const {status} of await Promise.all(running)) assert.equal(status, 502);
    fleet.register(await fleet.addReplica('orders', false));
    await sleep(SETTLE_MS);
  },
);

When('the same order is sent to each gateway once more', async function (this: FleetWorld) {
  const state = usersScenario(this);
  for (const gateway of [0, 1]) {
    state.answers.push(await state.fleet.call({path: '/order/7', gateway}));
  }
});
