/** Requests that reach a gateway which stood still while replicas left. */
import {sleep} from '@jasminepost/core';
import type {UsersReplica} from '../../stand_ins/users_platform/replica.ts';
import type {UsersFleet, UsersResponse} from './users_fleet.ts';

/** Time until the callers' requests are in the gateway's receive buffers. */
const SEND_MS = 100;

export interface StalledGatewayResult {
  readonly responses: readonly UsersResponse[];
  /** Requests that reached a replica which had left while the gateway stood still. */
  readonly arrivalsAtLeft: number;
}

/**
 * Stops a gateway for `stallMs`, in which replicas leave, and sends it requests that it reads
 * together with what it has missed.
 */
export async function requestAfterStall(
  fleet: UsersFleet,
  gateway: number,
  leaving: readonly UsersReplica[],
  path: string,
  count: number,
  stallMs: number,
): Promise<StalledGatewayResult> {
  await Promise.all(Array.from({length: count}, () => fleet.call({path, gateway})));
  const {process} = fleet.gateways[gateway];
  process.signal('SIGSTOP');
  for (const replica of leaving) fleet.register(replica, 'draining');
  await sleep(stallMs);
  for (const replica of leaving) replica.arrivalsMs.length = 0;
  const calls = Array.from({length: count}, () => fleet.call({path, gateway}));
  await sleep(SEND_MS);
  process.signal('SIGCONT');
  const responses = await Promise.all(calls);
  const arrivalsAtLeft = leaving.reduce((sum, {arrivalsMs}) => sum + arrivalsMs.length, 0);
  return {responses, arrivalsAtLeft};
}
