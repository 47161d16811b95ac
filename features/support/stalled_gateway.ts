/** Requests that reach a gateway which stood still while replicas left. */
import {sleep} from '@jasminepost/core';
import type {UsersReplica} from '../../stand_ins/users_platform/replica.ts';
import type {UsersFleet, UsersResponse} from './users_fleet.ts';

/** Time until the callers' requests are in the gateway's receive buffers. */
const SEND_MS = 100;

/**
 * Stops a gateway for `stallMs`, in which a replica leaves, and sends it requests that it reads
 * together with what it has missed; the replica has no arrivals from before them.
 */
export async function requestAfterStall(
  fleet: UsersFleet,
  gateway: number,
  leaving: UsersReplica,
  path: string,
  count: number,
  stallMs: number,
): Promise<UsersResponse[]> {
  await Promise.all(Array.from({length: count}, () => fleet.call({path, gateway})));
  const {process} = fleet.gateways[gateway];
  process.signal('SIGSTOP');
  fleet.register(leaving, 'draining');
  await sleep(stallMs);
  leaving.arrivalsMs.length = 0;
  const calls = Array.from({length: count}, () => fleet.call({path, gateway}));
  await sleep(SEND_MS);
  process.signal('SIGCONT');
  return Promise.all(calls);
}
