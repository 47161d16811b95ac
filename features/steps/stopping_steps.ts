/** Steps about gateways that are stopped. */
import assert from 'node:assert/strict';
import {Agent} from 'node:http';
import {Then, When} from '@cucumber/cucumber';
import {sleep} from '@jasminepost/core';
import {of} from '../support/users_notes.ts';
import type {FleetWorld} from '../support/world.ts';

/** A configuration is in force by then. */
const SETTLE_MS = 1200;
/** The stream has begun by then. */
const BEGUN_MS = 400;

When(
  "a caller's stream goes on after the stop signal and an order follows on its connection",
  {timeout: 20_000},
  async function (this: FleetWorld) {
    const found = of(this);
    const {fleet} = found;
    const deadline = {'deadline-ms': '6000'};
    fleet.configure({timeoutMs: 6000});
    // Longer than the gateway accepts new connections after the signal.
    fleet.engines[0].eventMs = 800;
    await sleep(SETTLE_MS);
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    const stream = fleet.call({path: '/long/1', agent, headers: deadline});
    await sleep(BEGUN_MS);
    fleet.gateways[0].process.signal('SIGTERM');
    const order = fleet.call({path: '/order/7', agent, headers: deadline});
    found.answers = await Promise.all([stream, order]);
    agent.destroy();
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

Then(
  'the stream is whole and the order is refused, without having run',
  function (this: FleetWorld) {
    const {answers, fleet} = of(this);
    assert.deepEqual(
      answers.map(({status, cut}) => [status, cut]),
      [
        [200, false],
        [503, false],
      ],
    );
    assert.ok(Number(answers[1].headers['retry-after']) < 1);
    assert.equal(fleet.services[0].runs.length, 0);
  },
);
