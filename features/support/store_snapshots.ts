/** Snapshots of the stand-in store, and its restore from them. */
import {sleep} from '@jasminepost/core';
import type {StoreSnapshot} from '../../stand_ins/users_platform/metadata_store.ts';
import type {UsersFleet} from './users_fleet.ts';

const STORE_DOWNTIME_MS = 200;

const snapshots = new WeakMap<UsersFleet, StoreSnapshot>();

/** Takes the snapshot that the next restore uses. */
export function takeStoreSnapshot(fleet: UsersFleet): void {
  snapshots.set(fleet, fleet.store.takeSnapshot());
}

/** Restores the store from the snapshot after a short outage. */
export async function restoreStore(
  fleet: UsersFleet,
  writeBeforeUp: () => void = () => undefined,
): Promise<void> {
  fleet.store.mode = 'unavailable';
  await sleep(STORE_DOWNTIME_MS);
  fleet.store.restoreFrom(snapshots.get(fleet)!);
  writeBeforeUp();
  fleet.store.mode = 'up';
}
