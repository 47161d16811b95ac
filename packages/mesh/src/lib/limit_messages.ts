/** Messages between gateways about rate-limited replicas. */
import * as z from 'zod';

const MAX_REPLICAS = 4096;
const MAX_PERMITS = 64;

/** Identifies a replica's incarnation. */
const replica = z.string().min(1).max(300);
const perS = z.number().positive();
/** Times are relative, because the clocks of gateways are not synchronised. */
const ms = z.number().nonnegative();

/** Rate limits of replicas that have changed. @internal */
export const limitNews = z.object({
  type: z.literal('limit_news'),
  limits: z
    .array(
      z.object({
        replica,
        /** Absent when the replica no longer has a rate limit. */
        perS: perS.optional(),
        /** Time since the request whose response stated the limit was sent. */
        sentAgoMs: ms,
      }),
    )
    .max(MAX_REPLICAS),
});

/** Requests permits for a rate-limited replica from the planner's gateway. @internal */
export const permitAsk = z.object({
  type: z.literal('permit_ask'),
  replica,
  perS,
  /** Repeated in the grant. */
  number: z.number().int().nonnegative(),
  count: z.number().int().positive().max(MAX_PERMITS),
});

/** @internal */
export const permitGrant = z.object({
  type: z.literal('permit_grant'),
  replica,
  number: z.number().int().nonnegative(),
  /** Time until each permit may be used. */
  permitsInMs: z.array(ms).max(MAX_PERMITS),
  /** Time until the next permit that has not been granted. */
  nextInMs: ms,
});

/** @public */
export type LimitNewsMessage = z.infer<typeof limitNews>;
/** @public */
export type PermitAskMessage = z.infer<typeof permitAsk>;
/** @public */
export type PermitGrantMessage = z.infer<typeof permitGrant>;
