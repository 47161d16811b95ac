/** Steps that check that each caller gets the complete response to its own request. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {sleep} from '@jasminepost/core';
import {complete} from '../support/caller.ts';
import {LoadRun} from '../support/load_run.ts';
import {TamperProxy, type Tampering} from '../support/tamper_proxy.ts';
import {PAID_KEY, TRIAL_KEY, type TestFleet} from '../support/test_fleet.ts';
import type {FleetWorld} from '../support/world.ts';

/** By then the responses are being streamed. */
const FAULT_DELAY_MS = 250;

const STREAM_FAULTS: Readonly<Record<string, (fleet: TestFleet) => Promise<void>>> = {
  'an engine is killed': fleet => fleet.engines[0].process.kill(),
  'a sidecar is killed': fleet => fleet.sidecars[0].process.kill(),
  'a sidecar is paused': async fleet => fleet.sidecars[0].process.signal('SIGSTOP'),
  'a sidecar is paused and continued': async fleet => {
    fleet.sidecars[0].process.signal('SIGSTOP');
    await sleep(3000);
    fleet.sidecars[0].process.signal('SIGCONT');
  },
  'two sidecars are killed one by one': async fleet => {
    await fleet.sidecars[0].process.kill();
    await sleep(150);
    await fleet.sidecars[1].process.kill();
  },
  'a sidecar is stopped': async fleet => fleet.sidecars[0].process.signal('SIGTERM'),
  'an engine and a sidecar are killed': async fleet => {
    await Promise.all([fleet.engines[0].process.kill(), fleet.sidecars[1].process.kill()]);
  },
};

Given(
  'a fleet of {int} engines, {int} services and {int} entries with {int} copies',
  async function (
    this: FleetWorld,
    engines: number,
    services: number,
    entries: number,
    floorCopies: number,
  ) {
    await this.startFleet({engines, services, entries, floorCopies});
  },
);

Given(
  'a fleet of {int} engines, {int} services and {int} entries with {int} slots',
  async function (
    this: FleetWorld,
    engines: number,
    services: number,
    entries: number,
    slots: number,
  ) {
    const engineArgs = ['--slots', String(slots)];
    await this.startFleet({engines, services, entries, engineArgs});
  },
);

Given(
  /^a fleet of 2 engines, 0 services and 2 entries with frames of sidecar 0 tampered with: (.+) every (\d+)$/,
  async function (this: FleetWorld, tampering: string, every: string) {
    await this.startFleet({engines: 2, services: 0, entries: 2});
    const sidecar = this.fleet.sidecars[0];
    const proxy = new TamperProxy(sidecar.meshPort, tampering as Tampering, Number(every));
    this.cleanups.push(() => proxy.close());
    const meshPort = await proxy.listen();
    this.fleet.sidecars[0] = {...sidecar, meshPort};
    await this.fleet.publishList();
    // The list of instances lags; entries connect to the proxy once it shows the new port.
    await sleep(1500);
  },
);

When(
  /^(\d+) callers ask for (\d+) tokens (\d+) times(?:, and (.+) midway)?$/,
  async function (
    this: FleetWorld,
    callers: string,
    tokens: string,
    requests: string,
    fault: string | null,
  ) {
    const load = this.startLoad(Number(callers), Number(tokens), Number(requests));
    await sleep(FAULT_DELAY_MS);
    if (fault !== null) await STREAM_FAULTS[fault](this.fleet);
    await load.waitUntilDone();
  },
);

Then('every response is complete and belongs to its caller', function (this: FleetWorld) {
  assert.deepEqual(
    this.loads.flatMap(load => load.faults()),
    [],
  );
});

Then('no incomplete or foreign response had an end marker', function (this: FleetWorld) {
  for (const load of this.loads) {
    const faults = load.faults();
    const ended = load.answers.filter(({answer}) => answer?.ended === true).length;
    assert.equal(ended + faults.length, load.answers.length, faults.join('\n'));
  }
});

Then(
  'at least {int} of {int} responses are complete',
  function (this: FleetWorld, minWhole: number, total: number) {
    const faults = this.loads.flatMap(load => load.faults());
    assert.ok(total - faults.length >= minWhole, faults.join('\n'));
  },
);

Then(
  'entries counted {string} for {string}',
  async function (this: FleetWorld, counter: string, reason: string) {
    const counts = await this.fleet.sumCounter(this.fleet.entries, counter);
    assert.ok((counts[reason] ?? 0) > 0, JSON.stringify(counts));
  },
);

Then(
  'sidecars counted {string} for {string}',
  async function (this: FleetWorld, counter: string, reason: string) {
    const counts = await this.fleet.sumCounter(this.fleet.sidecars, counter);
    assert.ok((counts[reason] ?? 0) > 0, JSON.stringify(counts));
  },
);

When(
  'a paid caller asks for {int} tokens within {int} ms and the only engine is killed midway',
  async function (this: FleetWorld, tokens: number, timeoutMs: number) {
    const response = complete({
      url: this.fleet.entries[0].url,
      key: PAID_KEY,
      tokens,
      headers: {'x-request-timeout-ms': String(timeoutMs)},
    });
    await sleep(FAULT_DELAY_MS);
    await this.fleet.engines[0].process.kill();
    this.completion = await response;
  },
);

Then('the response ends with an error event and no end marker', function (this: FleetWorld) {
  const response = this.completion!;
  assert.equal(response.status, 200);
  assert.ok(response.text.length > 0);
  assert.equal(response.ended, false);
  assert.equal(response.error?.verdict, 'may_have_run');
  assert.ok((response.error.retry_after_ms ?? 0) > 0);
});

When(
  '{int} trial callers ask for {int} tokens and then {int} paid callers for {int} tokens',
  async function (
    this: FleetWorld,
    trial: number,
    trialTokens: number,
    paid: number,
    paidTokens: number,
  ) {
    const url = () => this.fleet.entries[0].url;
    const trialLoad = {callers: trial, tokens: trialTokens, requests: 1, key: TRIAL_KEY, url};
    this.loads.push(new LoadRun(trialLoad));
    await sleep(FAULT_DELAY_MS);
    const paidLoad = {callers: paid, tokens: paidTokens, requests: 1, key: PAID_KEY, url};
    this.loads.push(new LoadRun(paidLoad));
    await Promise.all(this.loads.map(load => load.waitUntilDone()));
  },
);
