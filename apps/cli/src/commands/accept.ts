/** `jasminepost accept FILE --expect-generation N`: activates a declaration. */
import {userInfo} from 'node:os';
import {boolean, command, flag, number, option, positional, string} from 'cmd-ts';
import {
  acceptDeclaration,
  reviewCapacity,
  type ConfigDocument,
  type Declaration,
} from '@jasminepost/operator';
import {InstanceListClient} from '@jasminepost/key_value';
import {EXIT_CODES} from '../lib/exit_codes.ts';
import {readDeclaration, reportInputErrors} from '../lib/input_files.ts';
import {OperatorClient} from '../lib/operator_client.ts';
import {instanceListUrl, keyValueUrl, meshKey} from '../lib/options.ts';
import {addressOf, openKeyValue} from '../lib/platform_reader.ts';
import {readReplicas, reportCapacity} from './review.ts';

/** Number of processes that get the document directly; peers pull it from them. */
const PUSH_TARGETS = 2;

/** @internal */
export const acceptCommand = command({
  name: 'accept',
  description: 'Activate a reviewed declaration',
  args: {
    file: positional({type: string, displayName: 'file'}),
    expectGeneration: option({
      type: number,
      long: 'expect-generation',
      description: 'Generation against which it was reviewed; 0 for the first',
    }),
    author: option({
      type: string,
      long: 'author',
      env: 'JASMINEPOST_AUTHOR',
      defaultValue: () => userInfo().username,
    }),
    allowShortage: flag({
      type: boolean,
      long: 'allow-shortage',
      description: 'Accept although the minimum copies do not fit on the current replicas',
    }),
    keyValueUrl,
    instanceListUrl,
    meshKey,
  },
  handler: args =>
    reportInputErrors(async () => {
      const declaration = await readDeclaration(args.file);
      if (!args.allowShortage && !(await checkCapacity(declaration, args))) return;
      const kv = openKeyValue(args.keyValueUrl);
      const outcome = await acceptDeclaration(
        kv,
        declaration,
        args.expectGeneration,
        args.author,
        Date.now(),
      );
      await kv.close();
      switch (outcome.kind) {
        case 'accepted':
          await pushToProcesses(outcome.document, args.instanceListUrl, args.meshKey);
          process.stdout.write(
            `accepted: generation ${outcome.document.generation} ` +
              `(change ${outcome.document.changeId})\n`,
          );
          return;
        case 'lost_race':
          process.stderr.write(describeWinner(outcome.winner));
          process.exitCode = EXIT_CODES.lostRace;
          return;
        case 'not_accepted':
          process.stderr.write(`not accepted, nothing has changed: ${outcome.error}\n`);
          process.exitCode = EXIT_CODES.failed;
          return;
        case 'unknown':
          process.stderr.write(
            `outcome unknown: ${outcome.error}\n` +
              `"jasminepost status" shows whether change ${outcome.changeId} took effect\n`,
          );
          process.exitCode = EXIT_CODES.unknown;
      }
    }),
});

async function checkCapacity(
  declaration: Declaration,
  args: {readonly instanceListUrl: string; readonly meshKey: string},
): Promise<boolean> {
  const replicas = await readReplicas(args.instanceListUrl, args.meshKey);
  const review = reviewCapacity(declaration, replicas);
  if (review.shortages.length === 0) return true;
  reportCapacity(review, 0);
  return false;
}

function describeWinner(winner: ConfigDocument | undefined): string {
  if (winner === undefined) return 'lost the race: no configuration is active\n';
  const at = new Date(winner.acceptedWallMs).toISOString();
  return (
    `lost the race: generation ${winner.generation} by ${winner.author} ` +
    `(change ${winner.changeId}, ${at}) is active; review again\n`
  );
}

/** Sends the document to a few processes, so that peers get it without the key-value service. */
async function pushToProcesses(
  document: ConfigDocument,
  listUrl: string,
  key: string,
): Promise<void> {
  const operator = new OperatorClient(key);
  const instances = await InstanceListClient.read(listUrl).catch(() => []);
  const pushed = await Promise.allSettled(
    instances
      .slice(0, PUSH_TARGETS)
      .map(i => operator.pushConfig(addressOf(i), document.text, document.generation)),
  );
  const reached = pushed.filter(result => result.status === 'fulfilled').length;
  process.stderr.write(`sent to ${reached} of ${instances.length} listed processes\n`);
}
