/** Message in which gateways share which requests coincided with replica failures. */
import * as z from 'zod';

const MAX_REQUESTS = 16_384;
const MAX_ENDINGS = 4096;

const text = z.string().max(256);
/** Times are sent as ages, because the clocks of gateways are not synchronised. */
const ageMs = z.number().nonnegative();

/** @internal */
export const crashNews = z.object({
  type: z.literal('crash_news'),
  requests: z
    .array(
      z.object({
        /** Fingerprint of a request, or key of a prompt part. */
        fingerprint: text,
        /** Replica incarnations that failed while they ran the request. */
        endings: z
          .array(z.object({replica: text, sentAgoMs: ageMs, agoMs: ageMs}))
          .max(MAX_ENDINGS),
        /** Replica incarnations that turned out to be alive. */
        withdrawn: z.array(text).max(MAX_ENDINGS),
        /** True when a replica has completed such a request. */
        served: z.boolean(),
        /** Age of the latest completion; gateways that send none report one that is just now. */
        completedAgoMs: ageMs.optional(),
      }),
    )
    .max(MAX_REQUESTS),
});

/** @public */
export type CrashNewsMessage = z.infer<typeof crashNews>;

/**
 * Validates such a message that was not received over the mesh; undefined when it is malformed.
 *
 * @example
 * const news = parseCrashNews(JSON.parse(text));
 * @public
 */
export function parseCrashNews(value: unknown): CrashNewsMessage | undefined {
  return crashNews.safeParse(value).data;
}
