/** Faults injected while a non-idempotent call is made: before, midway and after it. */
import type {TestFleet} from './test_fleet.ts';

const SLOW_WORK_MS = 600;
const KEY_VALUE_DELAY_MS = 700;

export interface OrderFault {
  before?(fleet: TestFleet): Promise<void>;
  midway?(fleet: TestFleet): Promise<void>;
  after?(fleet: TestFleet): Promise<void>;
}

async function slowServices(fleet: TestFleet): Promise<void> {
  for (const service of fleet.services) await fleet.setFaults(service.url, {workMs: SLOW_WORK_MS});
}

async function pauseSidecar(fleet: TestFleet): Promise<void> {
  fleet.sidecars[0].process.signal('SIGSTOP');
}

async function resumeSidecar(fleet: TestFleet): Promise<void> {
  fleet.sidecars[0].process.signal('SIGCONT');
  // Time to process what arrived while the process was stopped.
  await new Promise(resolve => setTimeout(resolve, 2500));
}

function loseClaimResponses(count: number): (fleet: TestFleet) => Promise<void> {
  return fleet => fleet.setFaults(fleet.keyValueUrl, {loseAnswers: count, losePrefix: 'claims/'});
}

function setKeyValueFaults(
  faults: Readonly<Record<string, unknown>>,
): (fleet: TestFleet) => Promise<void> {
  return fleet => fleet.setFaults(fleet.keyValueUrl, faults);
}

export const ORDER_FAULTS: Readonly<Record<string, OrderFault>> = {
  none: {},
  'lose 1 claim answer': {before: loseClaimResponses(1)},
  'lose 9 claim answers': {before: loseClaimResponses(9)},
  'key-value refuses': {
    before: setKeyValueFaults({outage: 'refuse'}),
    after: setKeyValueFaults({outage: 'none'}),
  },
  'key-value hangs': {
    before: setKeyValueFaults({outage: 'hang'}),
    after: setKeyValueFaults({outage: 'none'}),
  },
  'key-value slow': {
    before: setKeyValueFaults({delayMs: KEY_VALUE_DELAY_MS}),
    after: setKeyValueFaults({delayMs: 0}),
  },
  'key-value lost midway': {
    before: slowServices,
    midway: setKeyValueFaults({outage: 'refuse'}),
    after: setKeyValueFaults({outage: 'none'}),
  },
  'kill sidecar midway': {
    before: slowServices,
    midway: fleet => fleet.sidecars[0].process.kill(),
    after: fleet => fleet.restart(fleet.sidecars[0]),
  },
  'pause sidecar': {before: pauseSidecar, after: resumeSidecar},
  'pause sidecar midway': {
    before: slowServices,
    midway: pauseSidecar,
    after: resumeSidecar,
  },
  'kill entry midway': {
    before: slowServices,
    midway: fleet => fleet.entries[0].process.kill(),
    after: fleet => fleet.restart(fleet.entries[0]),
  },
  'service cuts': {
    before: async fleet => {
      for (const service of fleet.services) await fleet.setFaults(service.url, {cut: 100});
    },
  },
  'service refuses': {
    before: async fleet => {
      for (const service of fleet.services) await fleet.setFaults(service.url, {refuse: 4});
    },
    after: async fleet => {
      for (const service of fleet.services) await fleet.setFaults(service.url, {refuse: 0});
    },
  },
  'kill service midway': {
    before: slowServices,
    midway: fleet => fleet.services[0].process.kill(),
  },
  'pause and lose': {
    before: async fleet => {
      await loseClaimResponses(4)(fleet);
      await pauseSidecar(fleet);
    },
    after: resumeSidecar,
  },
};
