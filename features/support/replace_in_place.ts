/** Replaces engines by other software, the way that a platform does that keeps their ids. */
import type {UsersReplica} from '../../stand_ins/users_platform/replica.ts';
import {MODEL} from './users_fleet.ts';

/**
 * Restarts engines at their addresses and under their ids, as another version with the model.
 *
 * @param downMs - Time for which an engine is away.
 */
export async function replaceInPlace(
  engines: readonly UsersReplica[],
  version: string,
  downMs: number,
): Promise<void> {
  const restarts = engines.map(async engine => {
    engine.version = version;
    await engine.restartAfter(downMs, engine.id);
    engine.models.set(MODEL, new Set());
  });
  await Promise.all(restarts);
}
