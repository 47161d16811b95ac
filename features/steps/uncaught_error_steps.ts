/** Steps about uncaught errors. */
import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Then, When} from '@cucumber/cucumber';
import {build} from 'esbuild';
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
