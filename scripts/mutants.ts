/**
 * Mutation tests: `npm run mutants`. Each mutant disables one mechanism; its features must fail.
 * If they pass, the mutant survives: the features don't test the mechanism.
 */
import {spawn} from 'node:child_process';
import {mkdtempSync, rmSync} from 'node:fs';
import {join} from 'node:path';
import {MUTANTS, type Mutant} from './mutant_list.ts';

function run(
  program: string,
  args: readonly string[],
  env: Readonly<Record<string, string>>,
): Promise<{readonly code: number; readonly output: string}> {
  return new Promise(resolve => {
    const child = spawn(program, args, {env: {...process.env, ...env}});
    let output = '';
    child.stdout.on('data', (data: Buffer) => (output += data.toString('utf8')));
    child.stderr.on('data', (data: Buffer) => (output += data.toString('utf8')));
    child.on('exit', code => resolve({code: code ?? 1, output}));
  });
}

/** Returns true if the features fail without the mechanism. */
async function isKilled(mutant: Mutant): Promise<boolean> {
  // Inside node_modules, so that the bundles resolve the npm packages.
  const folder = mkdtempSync(join(process.cwd(), 'node_modules', '.mutant-'));
  const env = {JASMINEPOST_DIST: folder, JASMINEPOST_MUTANT: JSON.stringify(mutant)};
  try {
    const built = await run(process.execPath, ['scripts/build.mjs'], env);
    if (built.code !== 0) throw new Error(`${mutant.name}: ${built.output}`);
    const args = ['--import', 'tsx', 'scripts/run_tests.ts', ...mutant.features];
    const tested = await run(process.execPath, args, env);
    const summary = tested.output.trim().split('\n').slice(-1)[0];
    process.stdout.write(
      `${tested.code === 0 ? 'SURVIVED' : 'killed'}: ${mutant.name}: ${summary}\n`,
    );
    return tested.code !== 0;
  } finally {
    rmSync(folder, {recursive: true, force: true});
  }
}

const nameFilter = process.argv[2] ?? '';
let survivors = 0;
for (const mutant of MUTANTS.filter(m => m.name.includes(nameFilter))) {
  if (!(await isKilled(mutant))) survivors += 1;
}
process.stdout.write(`${survivors} mutants survived\n`);
process.exit(survivors === 0 ? 0 : 1);
