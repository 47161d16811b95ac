/**
 * Runs the features and prints a summary line. Failures listed in KNOWN-RED.txt are printed but
 * don't fail the run; a listed test that passes is reported, so that its entry can be removed.
 */
import {spawn} from 'node:child_process';
import {existsSync, mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {readKnownFailures} from './known_failures.ts';

const CUCUMBER = 'node_modules/@cucumber/cucumber/bin/cucumber.js';
const FORMATTER = './scripts/failure_formatter.ts';
const PARALLEL = '3';
/** Scenarios that measure memory run one at a time, after all others. */
const ALONE = '@alone';

interface Step {
  readonly result?: {readonly status: string; readonly error_message?: string};
}

interface Feature {
  readonly name: string;
  readonly elements: ReadonlyArray<{
    readonly name: string;
    readonly line: number;
    readonly steps: readonly Step[];
  }>;
}

/** Runs cucumber; resolves with the features of its report, or none if it wrote no report. */
async function runCucumber(
  report: string,
  tags: string,
  parallel: readonly string[],
  args: readonly string[],
): Promise<Feature[]> {
  const flags = [
    '--import',
    'tsx',
    CUCUMBER,
    ...parallel,
    '--tags',
    tags,
    '--format',
    FORMATTER,
    '--format',
    `json:${report}`,
  ];
  const child = spawn(process.execPath, [...flags, ...args], {stdio: 'inherit'});
  await new Promise(resolve => child.on('exit', resolve));
  return existsSync(report) ? (JSON.parse(readFileSync(report, 'utf8')) as Feature[]) : [];
}

async function main(): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'jasminepost-report-'));
  const selectedPaths = process.argv.slice(2);
  const paths = selectedPaths.length > 0 ? selectedPaths : ['features/*.feature'];
  const features = [
    ...(await runCucumber(
      join(folder, 'report.json'),
      `not ${ALONE}`,
      ['--parallel', PARALLEL],
      paths,
    )),
    ...(await runCucumber(join(folder, 'alone.json'), ALONE, [], paths)),
  ];
  rmSync(folder, {recursive: true});
  const knownFailures = readKnownFailures();
  process.stdout.write('\n');
  let passed = 0;
  let failed = 0;
  let knownFailed = 0;
  for (const feature of features) {
    for (const scenario of feature.elements) {
      const name = `${feature.name}: ${scenario.name}`;
      const isPassed = scenario.steps.every(step => step.result?.status === 'passed');
      if (isPassed) {
        passed += 1;
        if (knownFailures.has(name)) process.stdout.write(`known red, now passing: ${name}\n`);
      } else if (knownFailures.has(name)) {
        knownFailed += 1;
        process.stdout.write(`known red: ${name}\n`);
      } else {
        failed += 1;
        process.stdout.write(`failed: ${name} (line ${scenario.line})\n`);
      }
    }
  }
  if (knownFailed > 0) process.stdout.write(`${knownFailed} known red, see KNOWN-RED.txt\n`);
  if (passed + failed + knownFailed === 0) failed = 1;
  process.stdout.write(`${passed} passed, ${failed} failed\n`);
  process.exit(failed === 0 ? 0 : 1);
}

await main();
