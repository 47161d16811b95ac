/** Where the planner's role is kept, and who holds it. */
import {checkHostPort, type HostPort} from '@jasminepost/core';
import type {StoreChange} from '@jasminepost/platform';

/** Prefix of the role's keys. @internal */
export const PLANNER_KEY = 'planner';
const HOLDER_KEY = `${PLANNER_KEY}/holder`;

/**
 * Reads who holds the role from a change in the store.
 *
 * @returns Undefined when the change is of another key; no address when nobody holds the role.
 * @internal
 */
export function holderAddress(
  change: StoreChange,
): {readonly address: HostPort | undefined} | undefined {
  if (change.key !== HOLDER_KEY) return undefined;
  if (change.value === undefined) return {address: undefined};
  try {
    const {holder} = JSON.parse(change.value) as {readonly holder: string};
    return {address: checkHostPort(HOLDER_KEY, holder)};
  } catch {
    // Another writer's value names no planner; the next holder replaces it.
    return {address: undefined};
  }
}
