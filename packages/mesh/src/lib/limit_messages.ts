/** Messages between gateways about rate-limited replicas and quotas of organisations. */
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

const units = z.number().nonnegative();

/** Requests credit for an organisation, whose quota is that of the sender's configuration. */
const creditAsk = z.object({
  /** Version of the sender's configuration. */
  configVersion: z.number(),
  /** Units in the full bucket, and of the largest request. */
  size: units,
  maxUnits: units,
  /** Units that are granted together or not at all, and those that may be granted in part. */
  units,
  more: units,
  /** Units granted earlier that are given back unused. */
  returned: units,
  /** Units used from the fallback lately. */
  fallback: units,
});

/**
 * Requests permits for a rate-limited replica, or credit for an organisation, from the planner's
 * gateway. @internal
 */
export const permitAsk = z.object({
  type: z.literal('permit_ask'),
  /** Incarnation of a replica; name of an organisation where `credit` is set. */
  replica,
  perS,
  credit: creditAsk.optional(),
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
  /** Granted units of credit; set when the request was for credit. */
  units: units.optional(),
});

/** @public */
export type LimitNewsMessage = z.infer<typeof limitNews>;
/** @public */
export type PermitAskMessage = z.infer<typeof permitAsk>;
/** @public */
export type PermitGrantMessage = z.infer<typeof permitGrant>;
