/** Delays between retries. */

/**
 * Exponential backoff with jitter: the delay lies between half of its ceiling and the ceiling.
 *
 * @param attempt - Number of failures so far, from 0.
 * @param baseMs - Ceiling of the first delay in milliseconds; it doubles with each failure.
 * @param capMs - Ceiling of every delay in milliseconds.
 * @param random - Source of uniformly distributed numbers in [0, 1).
 * @returns Delay in milliseconds.
 * @example
 * await sleep(backoffMs(2, 50, 2000));
 * @public
 */
export function backoffMs(
  attempt: number,
  baseMs: number,
  capMs: number,
  random: () => number = Math.random,
): number {
  const ceilingMs = Math.min(capMs, baseMs * 2 ** Math.min(attempt, 20));
  return ceilingMs * (0.5 + random() * 0.5);
}

/** Resolves after `delayMs`; an aborted signal resolves it early. @public */
export function sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal?.aborted === true) {
      resolve();
      return;
    }
    const finish = () => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, delayMs);
    signal?.addEventListener('abort', finish);
  });
}
