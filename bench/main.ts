/** Compares policies in simulation and checks the targets: `npm run bench`. */
import {CASES, DEPLOYMENTS} from './deployments.ts';
import {readKnownFailures} from '../scripts/known_failures.ts';
import {checkBounds, type Row} from './bounds.ts';
import {POLICIES} from './policies.ts';
import {Simulation} from './simulation.ts';

const SEED = 20_261;
const DURATION_MS = 600_000;

function percent(share: number): string {
  return `${(100 * share).toFixed(2)}%`.padStart(8);
}

function printRow({deployment, benchCase, policy, result}: Row): void {
  const [p50, p95, p99] = result.paidFirstTokenMs.map(ms => ms.toFixed(0).padStart(6));
  process.stdout.write(
    `${deployment.name.padEnd(10)} ${benchCase.name.padEnd(18)} ${policy.name.padEnd(17)}` +
      `${percent(result.paidAttainment)} ${percent(result.trialAttainment)} ` +
      `${percent(result.trialShareOfSlack)} ${String(result.moves).padStart(6)}` +
      `${p50}${p95}${p99} ${result.maxOverMeanLoad.toFixed(2).padStart(6)}` +
      `${String(result.unreachable).padStart(7)}${String(result.overMemory).padStart(5)}\n`,
  );
}

function runAll(durationMs: number, onRow: (row: Row) => void): Row[] {
  const rows: Row[] = [];
  for (const deployment of DEPLOYMENTS) {
    for (const benchCase of CASES) {
      for (const policy of POLICIES) {
        const result = new Simulation(deployment, benchCase, policy, durationMs, SEED).run();
        rows.push({deployment, benchCase, policy, result});
        onRow(rows[rows.length - 1]);
      }
    }
  }
  return rows;
}

process.stdout.write(
  'deployment case               policy            paid met trial met  of slack  moves' +
    '   p50   p95   p99 max/mean unreach over\n',
);
const allRows = runAll(DURATION_MS, printRow);
const knownRed = readKnownFailures();
let unlisted = 0;
for (const {name, text} of checkBounds(allRows)) {
  const listed = knownRed.has(name);
  if (!listed) unlisted += 1;
  process.stdout.write(`${listed ? 'known red' : 'out of bounds'}: ${name}: ${text}\n`);
}
process.stdout.write(`${unlisted} bounds violated without an entry in KNOWN-RED.txt\n`);
process.exit(unlisted === 0 ? 0 : 1);
