/** `npm run soak -- --seeds 50`: runs many seeds and keeps the logs of those with violations. */
import {mkdirSync, writeFileSync} from 'node:fs';
import {command, number, oneOf, option, run} from 'cmd-ts';
import {runLeavingSoak} from './leaving_soak.ts';
import {runSoak, type SoakReport} from './soak_run.ts';
import {runRestoreSoak, runVersionSoak} from './version_soak.ts';

const KINDS: Readonly<Record<string, (seed: number) => Promise<SoakReport>>> = {
  faults: runSoak,
  versions: runVersionSoak,
  leaving: runLeavingSoak,
  restores: runRestoreSoak,
};
const LOG_FOLDER = 'soak-logs';

const app = command({
  name: 'soak',
  description: 'Runs the real programs under faults, and checks what callers and replicas observe.',
  args: {
    kind: option({
      type: oneOf(Object.keys(KINDS)),
      long: 'kind',
      defaultValue: () => 'faults',
    }),
    seeds: option({type: number, long: 'seeds', defaultValue: () => 10}),
    first: option({type: number, long: 'first', defaultValue: () => 1}),
    jobs: option({type: number, long: 'jobs', defaultValue: () => 2}),
  },
  handler: async ({kind, seeds, first, jobs}) => {
    let next = first;
    let failed = 0;
    const runSeeds = async () => {
      while (next < first + seeds) {
        const report = await KINDS[kind](next++);
        const kinds = report.faults.map(fault => fault.kind).join(', ');
        console.log(
          `seed ${report.seed}: ${report.succeeded} of ${report.calls} calls succeeded; ${report.remark ?? kinds}`,
        );
        if (report.violations.length === 0) continue;
        failed += 1;
        mkdirSync(LOG_FOLDER, {recursive: true});
        writeFileSync(`${LOG_FOLDER}/${report.seed}.log`, report.logs);
        writeFileSync(`${LOG_FOLDER}/${report.seed}.json`, JSON.stringify(report.faults, null, 1));
        for (const line of report.violations.slice(0, 10)) console.log(`  violation: ${line}`);
      }
    };
    await Promise.all(Array.from({length: jobs}, runSeeds));
    console.log(`${seeds - failed} passed, ${failed} failed`);
    process.exitCode = failed === 0 ? 0 : 1;
  },
});

void run(app, process.argv.slice(2));
