/** State shared between the steps of scenarios about the users' platform. */
import assert from 'node:assert/strict';
import type {UsersReplica} from '../../stand_ins/users_platform/replica.ts';
import type {UsersResponse, UsersFleet} from './users_fleet.ts';
import type {FleetWorld} from './world.ts';

export interface UsersScenario {
  readonly fleet: UsersFleet;
  answers: UsersResponse[];
  pending: Promise<UsersResponse[]>;
  wasUnready: boolean;
  /** Time from the recovery of the store until a gateway was ready. */
  readyAfterMs?: number;
  /** Calls to the store while entries changed. */
  storeCalls?: readonly string[];
  /** Index of the gateway that is paused, stopped or killed; steps send it no requests. */
  pausedGateway?: number;
  /** Number of replicas that a request has crashed. */
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
