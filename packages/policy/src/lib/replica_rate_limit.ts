/** The most requests a second that a replica takes from all senders, as far as one process knows. */
import {assertNever} from '@jasminepost/core';

/** @public */
export type ReplicaRateLimit =
  | {readonly kind: 'none'}
  /** `heardMs`: when this limit, or a lower one, was named last. */
  | {readonly kind: 'named'; readonly perS: number; readonly receivedMs: number};

/** What one answer says. @public */
export type RateLimitUpdate =
  {readonly kind: 'named'; readonly perS: number} | {readonly kind: 'not_named'};

/** @public */
export const NO_RATE_LIMIT: ReplicaRateLimit = {kind: 'none'};

/**
 * Takes in what an answer says of the replica's limit. Answers overtake each other: a lower limit
 * holds at once, while a higher one or none is believed only of an answer to a request that was
 * sent after the limit had been heard.
 *
 * | from \ word | lower or the same | higher                       | not named                  |
 * | ----------- | ----------------- | ---------------------------- | -------------------------- |
 * | none        | named             | named                        | -                          |
 * | named       | named, lower      | named, higher, if sent since | none, if sent since        |
 *
 * @param sentMs - When the request was sent that the answer is to.
 * @example
 * limit = nextLimit(limit, {kind: 'named', perS: 1.5}, attempt.sentMs, clock.monotonicMs());
 * @public
 */
export function nextRateLimit(
  limit: ReplicaRateLimit,
  update: RateLimitUpdate,
  sentMs: number,
  nowMs: number,
): ReplicaRateLimit {
  const isNewer = limit.kind === 'none' || sentMs > limit.receivedMs;
  switch (update.kind) {
    case 'named': {
      const {perS} = update;
      const isLower = limit.kind === 'none' || perS <= limit.perS;
      return isLower || isNewer ? {kind: 'named', perS, receivedMs: nowMs} : limit;
    }
    case 'not_named':
      return isNewer ? NO_RATE_LIMIT : limit;
    default:
      return assertNever(update);
  }
}
