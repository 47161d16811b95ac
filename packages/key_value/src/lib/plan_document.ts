/** The placement plan: which models each replica loads, split into shards by replica. */
import * as z from 'zod';
import {fnv1a32} from '@jasminepost/core';

const planSchema = z.object({
  /** Planner's term; a plan of an older term never overwrites a newer one. */
  term: z.number().int().positive(),
  copies: z.record(z.string(), z.array(z.string())),
});

/** @public */
export type PlanDocument = z.infer<typeof planSchema>;

/** Prefix of all shards. @public */
export const PLAN_PREFIX = 'plan/';

/** Key of the shard that contains a replica's copies. @public */
export function planKeyForReplica(replica: string, shards: number): string {
  return planShardKey(fnv1a32(replica) % shards);
}

/** @public */
export function planShardKey(shard: number): string {
  return `${PLAN_PREFIX}${shard}`;
}

/** @public */
export function parsePlan(text: string): PlanDocument {
  return planSchema.parse(JSON.parse(text));
}
