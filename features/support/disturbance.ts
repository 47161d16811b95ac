/** Faults of processes and the store in the midst of a scenario. */
import assert from 'node:assert/strict';
import {sleep} from '@jasminepost/core';
import {usersScenario} from './users_scenario.ts';
import type {FleetWorld} from './world.ts';

/** By then a gateway holds the planner role; gateways learn of each other through it. */
export const PLANNER_ELECTION_MS = 2400;
/** When a disturbance of a process or the store begins, and how long it lasts. */
const DISTURBANCE_DELAY_MS = 3000;
const DISTURBANCE_DURATION_MS = 4000;

/** Starts a fault after a delay and ends it; steps send no requests to `pausedGateway`. */
export async function runDisturbance(world: FleetWorld, disturbance: string): Promise<void> {
  const state = usersScenario(world);
  const {fleet} = state;
  await sleep(DISTURBANCE_DELAY_MS);
  const planner = fleet.plannerIndex();
  const index = disturbance.startsWith('another') ? (planner + 1) % fleet.gateways.length : planner;
  const {process} = fleet.gateways[index];
  switch (disturbance.replace(/^(the planner's|another) gateway /, '')) {
    case 'is stopped and started':
    case 'is killed and started':
      state.pausedGateway = index;
      if (disturbance.includes('killed')) await process.kill();
      process.signal('SIGTERM');
      await process.exited;
      await sleep(DISTURBANCE_DURATION_MS);
      fleet.restartGateway(index);
      await sleep(PLANNER_ELECTION_MS);
      state.pausedGateway = undefined;
      return;
    case 'stands still for 4 s':
      state.pausedGateway = index;
      process.signal('SIGSTOP');
      await sleep(DISTURBANCE_DURATION_MS);
      process.signal('SIGCONT');
      state.pausedGateway = undefined;
      return;
    case 'the stewards are killed':
      for (const steward of fleet.stewards) await steward.kill();
      return;
    case 'the store is away':
      fleet.store.mode = 'unavailable';
      await sleep(DISTURBANCE_DURATION_MS);
      fleet.store.mode = 'up';
      return;
    default:
      assert.fail(disturbance);
  }
}
