/** `jasminepost review FILE`: shows what accepting a declaration would change. */
import {command, positional, string} from 'cmd-ts';
import {diffDeclarations, reviewCapacity, type CapacityReview} from '@jasminepost/operator';
import type {ReplicaState} from '@jasminepost/policy';
import {EXIT_CODES} from '../lib/exit_codes.ts';
import {readDeclaration, reportInputErrors} from '../lib/input_files.ts';
import {instanceListUrl, keyValueUrl, meshKey, output} from '../lib/options.ts';
import {printRows} from '../lib/output.ts';
import {openKeyValue, readActiveConfig, readStatuses} from '../lib/platform_reader.ts';

interface EngineStatus {
  readonly totalMiB?: number;
}

/** @internal */
export const reviewCommand = command({
  name: 'review',
  description: 'Show what a declaration would change, and whether every model fits',
  args: {
    file: positional({type: string, displayName: 'file'}),
    keyValueUrl,
    instanceListUrl,
    meshKey,
    output,
  },
  handler: args =>
    reportInputErrors(async () => {
      const declaration = await readDeclaration(args.file);
      const kv = openKeyValue(args.keyValueUrl);
      const active = await readActiveConfig(kv);
      await kv.close();
      const replicas = await readReplicas(args.instanceListUrl, args.meshKey);
      const review = reviewCapacity(declaration, replicas);
      printRows(
        diffDeclarations(active?.declaration, declaration).map(change => ({...change})),
        args.output,
      );
      reportCapacity(review, active?.generation ?? 0);
    }),
});

/** @internal */
export async function readReplicas(listUrl: string, key: string): Promise<ReplicaState[]> {
  const statuses = await readStatuses(listUrl, key);
  return statuses.flatMap(({instance, status}) => {
    const capacityMiB = (status as EngineStatus | undefined)?.totalMiB ?? 0;
    if (capacityMiB === 0) return [];
    const empty = new Set<string>();
    return [
      {
        id: instance.id,
        zone: instance.zone,
        capacityMiB,
        slots: 1,
        planned: empty,
        ready: empty,
        available: true,
      },
    ];
  });
}

/** Prints capacity to standard error, which keeps standard output a single document. @internal */
export function reportCapacity(review: CapacityReview, generation: number): void {
  process.stderr.write(
    `in force: generation ${generation}\n` +
      `memory: floors need ${review.floorMiB} MiB of ${review.capacityMiB} MiB\n`,
  );
  for (const shortage of review.shortages) {
    process.stderr.write(
      `models/${shortage.model}/floorCopies: found ${shortage.wantedCopies}, ` +
        `wanted at most ${shortage.placedCopies} with the replicas there are\n`,
    );
  }
  if (review.shortages.length > 0) process.exitCode = EXIT_CODES.insufficientCapacity;
}
