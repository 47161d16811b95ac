/** What gateways tell each other of requests that crash their replicas. */
import {z} from 'zod';

const MAX_REQUESTS = 16_384;
const MAX_ENDINGS = 4096;

const text = z.string().max(256);
/** Gateways share no clock. */
const ageMs = z.number().nonnegative();

/** @internal */
export const crashNews = z.object({
  type: z.literal('crash_news'),
  requests: z
    .array(
      z.object({
        fingerprint: text,
        /** Replicas, by id and start, that ended while they ran the request. */
        endings: z
          .array(z.object({replica: text, sentAgoMs: ageMs, agoMs: ageMs}))
          .max(MAX_ENDINGS),
        /** Those that turned out to live. */
        withdrawn: z.array(text).max(MAX_ENDINGS),
        /** True when a replica has run the request to its end. */
        served: z.boolean(),
      }),
    )
    .max(MAX_REQUESTS),
});

/** @public */
export type CrashNewsMessage = z.infer<typeof crashNews>;

/**
 * Checks news that came by another way than the mesh; undefined when it is malformed.
 *
 * @example
 * const news = parseCrashNews(JSON.parse(text));
 * @public
 */
export function parseCrashNews(value: unknown): CrashNewsMessage | undefined {
  return crashNews.safeParse(value).data;
}
