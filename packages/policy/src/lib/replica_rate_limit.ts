/** A replica's rate limit for all senders together, as one process knows it. */
import {assertNever} from '@jasminepost/core';

/** @public */
export type ReplicaRateLimit =
  | {readonly kind: 'none'}
  /** `receivedMs`: when this limit, or a lower one, was received last. */
  | {readonly kind: 'named'; readonly perS: number; readonly receivedMs: number};

/** What one response says about the rate limit. @public */
export type RateLimitUpdate =
  {readonly kind: 'named'; readonly perS: number} | {readonly kind: 'not_named'};

/** @public */
export const NO_RATE_LIMIT: ReplicaRateLimit = {kind: 'none'};

/**
 * Applies what a response says about the replica's limit. Responses overtake each other, so a lower
 * limit applies at once, while a higher one or none is accepted only from the response to a request
 * that was sent after the current limit was received.
 *
 * | from \ update | lower or the same | higher                       | not named                  |
 * | ------------- | ----------------- | ---------------------------- | -------------------------- |
 * | none          | named             | named                        | -                          |
 * | named         | named, lower      | named, higher, if sent since | none, if sent since        |
 *
 * @param sentMs - When the request that got the response was sent.
 * @example
 * limit = nextRateLimit(limit, {kind: 'named', perS: 1.5}, attempt.sentMs, clock.monotonicMs());
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
