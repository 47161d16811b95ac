/** Messages in which the planner's gateway relays changes in the store. */
import * as z from 'zod';

const MAX_NAME = 256;
const name = z.string().min(1).max(MAX_NAME);
const count = z.number().int().nonnegative();

/** Changes that the planner's gateway has read from the store, for gateways that don't read it. @internal */
export const storeChanges = z.object({
  type: z.literal('store_changes'),
  /** Store era; revisions are comparable only within one era. */
  era: count,
  /** Revision after which the changes were made. */
  since: count,
  revision: count,
  /** True while entries that expired during an outage may still reappear. */
  settling: z.boolean(),
  /** Gateways linked to the planner's, including itself. */
  gateways: count,
  /** Revision of the newest configuration, whose document is read from the store. */
  configRevision: count.default(0),
  /** Age of the revision when the message was sent, from the request that read it. */
  ageMs: z.number().nonnegative().default(0),
  changes: z
    .array(z.object({key: name, revision: count, value: z.string().optional()}))
    .max(65_536),
});

/** Returns the time of the gateway's last demand; sent before store changes, to date them. @internal */
export const timeEcho = z.object({
  type: z.literal('time_echo'),
  sentMs: z.number(),
  /** Time from the demand's arrival until this message was sent. */
  heldMs: z.number().nonnegative(),
});

/** @public */
export type StoreChangesMessage = z.infer<typeof storeChanges>;
