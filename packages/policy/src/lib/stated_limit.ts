/** The most requests a second that a replica takes from all senders, as far as one process knows. */
import {assertNever} from '@jasminepost/core';

/** @public */
export type StatedLimit =
  | {readonly kind: 'none'}
  /** `heardMs`: when this limit, or a lower one, was named last. */
  | {readonly kind: 'named'; readonly perS: number; readonly heardMs: number};

/** What one answer says. @public */
export type LimitWord =
  {readonly kind: 'named'; readonly perS: number} | {readonly kind: 'not_named'};

/** @public */
export const NO_LIMIT: StatedLimit = {kind: 'none'};

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
export function nextLimit(
  limit: StatedLimit,
  word: LimitWord,
  sentMs: number,
  nowMs: number,
): StatedLimit {
  const isSince = limit.kind === 'none' || sentMs > limit.heardMs;
  switch (word.kind) {
    case 'named': {
      const {perS} = word;
      const isLower = limit.kind === 'none' || perS <= limit.perS;
      return isLower || isSince ? {kind: 'named', perS, heardMs: nowMs} : limit;
    }
    case 'not_named':
      return isSince ? NO_LIMIT : limit;
    default:
      return assertNever(word);
  }
}
