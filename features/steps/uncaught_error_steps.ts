/** Steps about uncaught errors. */
import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {mkdtempSync, rmSync} from 'node:fs';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Then, When} from '@cucumber/cucumber';
import {build} from 'esbuild';
import {MetricRegistry, sleep} from '@jasminepost/core';
import {StoreClient, type StoreCall} from '@jasminepost/platform';
import {bundleOptions} from '../../scripts/bundle/options.mjs';
import {usersScenario} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

const FAILING_PROGRAM = fileURLToPath(new URL('../support/failing_program.ts', import.meta.url));
const FAILING_ASSERTION = fileURLToPath(
  new URL('../support/failing_assertion.ts', import.meta.url),
);
const METRICS_PORT = 9464;

interface ProgramRun {
  readonly code: number | null;
  readonly output: string;
}

const CALL_MS = 50;

const closedCalls = new WeakMap<
  FleetWorld,
  {readonly outcome: string; readonly escaped: readonly unknown[]}
>();
const runs = new WeakMap<FleetWorld, ProgramRun>();

When(
  'a program with uncaught errors runs {word} the error handlers',
  async function (this: FleetWorld, handlerOption: string) {
    runs.set(this, await runToEnd(['--import', 'tsx', FAILING_PROGRAM, handlerOption]));
  },
);

When(
  'a bundled program runs in which an assertion of a library fails',
  {timeout: 120_000},
  async function (this: FleetWorld) {
    const folder = mkdtempSync(join(tmpdir(), 'jasminepost-bundle-'));
    const outfile = join(folder, 'program.mjs');
    await build({
      entryPoints: [FAILING_ASSERTION],
      outfile,
      bundle: true,
      platform: 'node',
      target: 'node20',
      format: 'esm',
      logLevel: 'warning',
      ...bundleOptions,
    });
    runs.set(this, await runToEnd([outfile]));
    rmSync(folder, {recursive: true});
  },
);

Then(
  'one error has escaped, and the program has stood still for at most {int} ms',
  function (this: FleetWorld, mostMs: number) {
    const {output} = runs.get(this)!;
    const {escaped, maxMs} = JSON.parse(output) as {escaped: number; maxMs: number};
    assert.equal(escaped, 1);
    assert.ok(maxMs <= mostMs, `${maxMs} ms`);
  },
);

When('a store client is closed during a call', async function (this: FleetWorld) {
  const server = createServer(() => undefined);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const calls = new MetricRegistry().counter<StoreCall>('calls', 'Calls.', 'kind');
  const store = new StoreClient({host: '127.0.0.1', port}, calls);
  const escaped: unknown[] = [];
  const note = (thrown: unknown) => escaped.push(thrown);
  process.on('unhandledRejection', note);
  const call = store.get('a').then(
    () => 'succeeded',
    () => 'failed',
  );
  await sleep(CALL_MS);
  await store.close();
  closedCalls.set(this, {outcome: await call, escaped});
  await sleep(CALL_MS);
  process.off('unhandledRejection', note);
  server.close();
});

Then('the call has failed, and no error has escaped', function (this: FleetWorld) {
  assert.deepEqual(closedCalls.get(this), {outcome: 'failed', escaped: []});
});

async function runToEnd(args: readonly string[]): Promise<ProgramRun> {
  const child = spawn(process.execPath, args);
  let output = '';
  child.stdout.on('data', (data: Buffer) => (output += data.toString('utf8')));
  const code = await new Promise<number | null>(resolve => child.on('close', resolve));
  return {code, output};
}

Then('it goes on and has counted and logged two', function (this: FleetWorld) {
  const {code, output} = runs.get(this)!;
  assert.equal(code, 0);
  assert.match(output, /still running/);
  assert.match(output, /escaped_errors\{kind="exception"\} 1/);
  assert.match(output, /escaped_errors\{kind="rejection"\} 1/);
  assert.equal([...output.matchAll(/"message":"unexpected error"/g)].length, 2);
});

Then('it has ended', function (this: FleetWorld) {
  const {code, output} = runs.get(this)!;
  assert.notEqual(code, 0);
  assert.doesNotMatch(output, /still running/);
});

Then(
  'the metrics of the gateway and the steward include the count of uncaught errors',
  async function (this: FleetWorld) {
    const {fleet} = usersScenario(this);
    for (const ip of [fleet.gateways[0].ip, fleet.hostOf(fleet.engines[0])]) {
      const text = await (await fetch(`http://${ip}:${METRICS_PORT}/metrics`)).text();
      assert.match(text, /jasminepost_escaped_errors/);
    }
  },
);
