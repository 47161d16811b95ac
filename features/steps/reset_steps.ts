/**
 * Steps about responses without a length: a closed connection ends them, a reset cuts them off.
 */
import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {Then, When} from '@cucumber/cucumber';
import {resetConnection, sleep, type Verdict} from '@jasminepost/core';
import {callService} from '@jasminepost/service';
import {freePort} from '../support/fleet_process.ts';
import {usersScenario, replicas} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

const RESPONSE = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf of it';

const verdicts = new WeakMap<FleetWorld, Verdict>();

function callServiceAt(port: number): Promise<Verdict> {
  return callService({
    baseUrl: `http://127.0.0.1:${port}`,
    method: 'GET',
    path: '/',
    headers: {},
    body: new Uint8Array(),
    useNewConnection: true,
    signal: new AbortController().signal,
    onHead: () => undefined,
    onData: () => Promise.resolve(),
  });
}

When(
  'a caller sends a request and the gateway is paused from {int} ms to {int} ms',
  async function (this: FleetWorld, fromMs: number, toMs: number) {
    const notes = usersScenario(this);
    const [{process}] = notes.fleet.gateways;
    const pending = notes.fleet.call({path: '/order/7'});
    await sleep(fromMs);
    process.signal('SIGSTOP');
    await sleep(toMs - fromMs);
    process.signal('SIGCONT');
    notes.answers.push(await pending);
  },
);

When(
  /^a service is called whose response (has ended|was reset at its last bytes)$/,
  async function (this: FleetWorld, ending: string) {
    const endConnection = (socket: Socket) =>
      ending === 'has ended' ? socket.end() : resetConnection(socket);
    const server = createServer(socket => {
      socket.once('data', () => {
        socket.write(RESPONSE);
        // The caller reads in the same process, so it sees the data only after the connection ended.
        endConnection(socket);
      });
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    verdicts.set(this, await callServiceAt((server.address() as AddressInfo).port));
    server.close();
  },
);

When('a service that refuses connections is called', async function (this: FleetWorld) {
  verdicts.set(this, await callServiceAt(await freePort()));
});

When('the first replica refuses connections', function (this: FleetWorld) {
  replicas(this)[0].close();
});

Then('the gateway is still running', function (this: FleetWorld) {
  assert.ok(usersScenario(this).fleet.gateways[0].process.running);
});

Then(/^the call counts as (\w+)$/, function (this: FleetWorld, kind: string) {
  assert.equal(verdicts.get(this)?.kind, kind);
});
