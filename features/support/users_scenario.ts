/** What the scenarios about the users' platform share between their steps. */
import assert from 'node:assert/strict';
import type {UsersReplica} from '../../stand_ins/users_platform/replica.ts';
import type {UsersResponse, UsersFleet} from './users_fleet.ts';
import type {FleetWorld} from './world.ts';

export interface UsersScenario {
  readonly fleet: UsersFleet;
  answers: UsersResponse[];
  pending: Promise<UsersResponse[]>;
  wasUnready: boolean;
  /** Time from the return of the store until a gateway was ready. */
  readyAfterMs?: number;
  /** Calls to the store while its entries changed. */
  storeCalls?: readonly string[];
  /** Gateway that stands still. */
  pausedGateway?: number;
  /** Replicas that a request has ended. */
  crashes?: number;
}

export const usersScenarios = new WeakMap<FleetWorld, UsersScenario>();

export function usersScenario(world: FleetWorld): UsersScenario {
  const found = usersScenarios.get(world);
  assert.ok(found, 'the scenario has no users’ fleet');
  return found;
}

export function replicas(world: FleetWorld): UsersReplica[] {
  const {fleet} = usersScenario(world);
  return [...fleet.services, ...fleet.engines];
}
