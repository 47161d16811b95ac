/** Faults around publishing orders; each says what happens before, midway and after. */
import type {TestFleet} from './test_fleet.ts';

const SLOW_WORK_MS = 600;
const KEY_VALUE_DELAY_MS = 700;

export interface OrderFault {
  before?(fleet: TestFleet): Promise<void>;
  midway?(fleet: TestFleet): Promise<void>;
  after?(fleet: TestFleet): Promise<void>;
}

async function slowServices(fleet: TestFleet): Promise<void> {
  for (const service of fleet.services) await fleet.faults(service.url, {workMs: SLOW_WORK_MS});
}

async function pauseSidecar(fleet: TestFleet): Promise<void> {
  fleet.sidecars[0].process.signal('SIGSTOP');
}

async function continueSidecar(fleet: TestFleet): Promise<void> {
  fleet.sidecars[0].process.signal('SIGCONT');
  // What the paused process had received is worked off now.
  await new Promise(resolve => setTimeout(resolve, 2500));
}

function loseClaimAnswers(count: number): (fleet: TestFleet) => Promise<void> {
  return fleet => fleet.faults(fleet.keyValueUrl, {loseAnswers: count, losePrefix: 'claims/'});
}

function keyValue(faults: Readonly<Record<string, unknown>>): (fleet: TestFleet) => Promise<void> {
  return fleet => fleet.faults(fleet.keyValueUrl, faults);
}

export const ORDER_FAULTS: Readonly<Record<string, OrderFault>> = {
  none: {},
  'lose 1 claim answer': {before: loseClaimAnswers(1)},
  'lose 9 claim answers': {before: loseClaimAnswers(9)},
  'key-value refuses': {
    before: keyValue({outage: 'refuse'}),
    after: keyValue({outage: 'none'}),
  },
  'key-value hangs': {before: keyValue({outage: 'hang'}), after: keyValue({outage: 'none'})},
  'key-value slow': {
    before: keyValue({delayMs: KEY_VALUE_DELAY_MS}),
    after: keyValue({delayMs: 0}),
  },
  'key-value lost midway': {
    before: slowServices,
    midway: keyValue({outage: 'refuse'}),
    after: keyValue({outage: 'none'}),
  },
  'kill sidecar midway': {
    before: slowServices,
    midway: fleet => fleet.sidecars[0].process.kill(),
    after: fleet => fleet.restart(fleet.sidecars[0]),
  },
  'pause sidecar': {before: pauseSidecar, after: continueSidecar},
  'pause sidecar midway': {
    before: slowServices,
    midway: pauseSidecar,
    after: continueSidecar,
  },
  'kill entry midway': {
    before: slowServices,
    midway: fleet => fleet.entries[0].process.kill(),
    after: fleet => fleet.restart(fleet.entries[0]),
  },
  'service cuts': {
    before: async fleet => {
      for (const service of fleet.services) await fleet.faults(service.url, {cut: 100});
    },
  },
  'service refuses': {
    before: async fleet => {
      for (const service of fleet.services) await fleet.faults(service.url, {refuse: 4});
    },
    after: async fleet => {
      for (const service of fleet.services) await fleet.faults(service.url, {refuse: 0});
    },
  },
  'kill service midway': {
    before: slowServices,
    midway: fleet => fleet.services[0].process.kill(),
  },
  'pause and lose': {
    before: async fleet => {
      await loseClaimAnswers(4)(fleet);
      await pauseSidecar(fleet);
    },
    after: continueSidecar,
  },
};
