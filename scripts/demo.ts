/** Runs the whole system on this machine: `npm run demo`. */
import {callService, complete, isCompleteText} from '../features/support/caller.ts';
import {PAID_KEY, TestFleet, TRIAL_KEY} from '../features/support/test_fleet.ts';

const LOAD_REQUESTS = 60;
const LOAD_CONCURRENCY = 12;
const TOKENS = 24;

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function runLoad(fleet: TestFleet): Promise<number> {
  let next = 0;
  let completeCount = 0;
  const worker = async () => {
    while (next < LOAD_REQUESTS) {
      const index = next++;
      const response = await complete({
        url: fleet.entries[index % fleet.entries.length].url,
        key: index % 3 === 0 ? TRIAL_KEY : PAID_KEY,
        prompt: `Suburb ${index % 5}`,
        tokens: TOKENS,
      });
      if (response.ended && isCompleteText(response.text, TOKENS)) completeCount += 1;
    }
  };
  await Promise.all(Array.from({length: LOAD_CONCURRENCY}, worker));
  return completeCount;
}

async function main(): Promise<void> {
  const fleet = new TestFleet({engines: 3, services: 1, entries: 2, models: ['summary', 'drafts']});
  try {
    print('starting stand-ins, 4 sidecars and 2 entries ...');
    await fleet.start();
    print(`configuration in force: generation ${fleet.generation}\n`);
    print((await fleet.cli(['status', ...fleet.fleetFlags()])).output);
    print((await fleet.cli(['models', ...fleet.fleetFlags()])).output);

    const response = await complete({url: fleet.entries[0].url, key: PAID_KEY, tokens: 12});
    print(`one streamed completion: ${response.text}`);
    const call = await callService(fleet.entries[1].url, PAID_KEY, '/index', '{"suburb":"Karori"}');
    print(`one service call: ${JSON.stringify(call.body)}\n`);

    const completeCount = await runLoad(fleet);
    print(`load: ${completeCount} of ${LOAD_REQUESTS} responses complete`);
    for (const name of ['requests', 'completed', 'on_target', 'refusals', 'retries']) {
      print(`  ${name}: ${JSON.stringify(await fleet.sumCounter(fleet.entries, name))}`);
    }

    const members = [...fleet.entries, ...fleet.sidecars];
    for (const member of members) member.process.signal('SIGTERM');
    const codes = await Promise.all(members.map(member => member.process.exited));
    print(`shutdown: ${codes.filter(code => code === 0).length} of ${codes.length} exited with 0`);
    if (completeCount !== LOAD_REQUESTS || codes.some(code => code !== 0)) process.exitCode = 1;
  } finally {
    await fleet.stop();
  }
}

await main();
