/** Runs one case: writes its record, and maps its result to the exit code. */
import {writeFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Fleet} from './fleet.mjs';

/** The bundle of a case is in target/review/ of the repository. */
const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../..');
const TIMEOUT_MS = 110_000;
const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;

/**
 * Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
 *
 * @param name - Folder of the case in review/.
 * @param play - Gets {fleet, record, trouble}; returns {held, summary}.
 */
export async function runCase(name, play) {
  const startedMs = performance.now();
  const lines = [];
  const record = text => {
    const atS = ((performance.now() - startedMs) / 1000).toFixed(3).padStart(8);
    lines.push(`${atS} ${text}`);
  };
  const trouble = process.env.TROUBLE !== '0';
  record(`case ${name}, ${trouble ? 'with' : 'without'} the disruption`);
  const fleet = new Fleet(ROOT, record);
  let code = NOT_RUN;
  let timer;
  try {
    const timeout = new Promise((_, reject) => {
      timer = setTimeout(() => reject(new Error('timed out')), TIMEOUT_MS);
    });
    const {held, summary} = await Promise.race([play({fleet, record, trouble}), timeout]);
    code = held ? HELD : BROKEN;
    record(`${held ? 'HELD' : 'BROKEN'}: ${summary}`);
  } catch (thrown) {
    record(`NOT RUN: ${thrown instanceof Error ? thrown.stack : String(thrown)}`);
  }
  process.stdout.write(`${lines.at(-1)}\n`);
  clearTimeout(timer);
  await fleet.stop();
  const file = join(ROOT, 'review', name, 'record.txt');
  writeFileSync(file, `${lines.join('\n')}\n`);
  const {REVIEW_LOGS: logs} = process.env;
  if (logs !== undefined) {
    for (const started of [...fleet.gateways.map(gateway => gateway.process), ...fleet.stewards])
      writeFileSync(join(logs, `${started.name}.log`), started.log.join(''));
  }
  process.exit(code);
}
