/** What gateways tell and ask each other of replicas that have named a limit. */
import {z} from 'zod';

const MAX_REPLICAS = 4096;
const MAX_PERMITS = 64;

/** One start of a replica. */
const replica = z.string().min(1).max(300);
const perS = z.number().positive();
/** Gateways share no clock. */
const ms = z.number().nonnegative();

/** What replicas say of their limits, as far as it has changed. @internal */
export const limitNews = z.object({
  type: z.literal('limit_news'),
  limits: z
    .array(
      z.object({
        replica,
        /** Absent when the replica names none any more. */
        perS: perS.optional(),
        /** Time since the request was sent whose answer says so. */
        sentAgoMs: ms,
      }),
    )
    .max(MAX_REPLICAS),
});

/** Asks the planner's gateway for permits to send requests to a replica with a limit. @internal */
export const permitAsk = z.object({
  type: z.literal('permit_ask'),
  replica,
  perS,
  /** Repeated in the answer. */
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
  /** Time until the next one that nobody has yet. */
  nextInMs: ms,
});

/** @public */
export type LimitNewsMessage = z.infer<typeof limitNews>;
/** @public */
export type PermitAskMessage = z.infer<typeof permitAsk>;
/** @public */
export type PermitGrantMessage = z.infer<typeof permitGrant>;
