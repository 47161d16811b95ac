/** What the scenarios about the users' platform share between their steps. */
import assert from 'node:assert/strict';
import type {UsersReplica} from '../../stand_ins/users_platform/replica.ts';
import type {UsersAnswer, UsersFleet} from './users_fleet.ts';
import type {FleetWorld} from './world.ts';

export interface Notes {
  readonly fleet: UsersFleet;
  answers: UsersAnswer[];
  pending: Promise<UsersAnswer[]>;
  wasUnready: boolean;
  /** Time from the return of the store until a gateway was ready. */
  readyAfterMs?: number;
  /** Calls to the store while its entries changed. */
  storeCalls?: readonly string[];
  /** Gateway that stands still. */
  still?: number;
  /** Replicas that a request has ended. */
  crashes?: number;
}

export const notes = new WeakMap<FleetWorld, Notes>();

export function of(world: FleetWorld): Notes {
  const found = notes.get(world);
  assert.ok(found, 'the scenario has no users’ fleet');
  return found;
}

export function replicas(world: FleetWorld): UsersReplica[] {
  const {fleet} = of(world);
  return [...fleet.services, ...fleet.engines];
}
