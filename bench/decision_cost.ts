/** Cost of single decisions at the design size. */
import {Histogram, fnv1a32} from '@jasminepost/core';
import {encodeFrame, FrameDecoder, parseMessage} from '@jasminepost/mesh';
import {
  AdmissionQueue,
  chooseReplica,
  planMoves,
  type ModelDemand,
  type ReplicaState,
  type RouteCandidate,
  type Ticket,
} from '@jasminepost/policy';
import {OrganisationDirectory} from '@jasminepost/serving';
import {SeededRandom} from './random.ts';

const REPLICAS = 1000;
const MODELS = 200;
const ZONES = 12;
const SLOTS = 8;
const COPIES_PER_REPLICA = 4;
const SEED = 11;
const LOOKUPS_PER_RUN = 100;

function measure(name: string, runs: number, run: (index: number) => void): void {
  const histogram = new Histogram(name, '');
  for (let i = 0; i < Math.min(runs, 2000); i++) run(i);
  for (let i = 0; i < runs; i++) {
    const startMs = performance.now();
    run(i);
    histogram.recordMs(performance.now() - startMs);
  }
  const quantileUs = (q: number) => (histogram.quantileMs(q) * 1000).toFixed(0).padStart(8);
  process.stdout.write(
    `${name.padEnd(44)} p50${quantileUs(50)} us  p99${quantileUs(99)} us  max${quantileUs(100)} us  (${runs} runs)\n`,
  );
}

function createCandidates(count: number, random: SeededRandom): RouteCandidate[] {
  return Array.from({length: count}, (_, index) => ({
    id: `replica-${index}`,
    idHash: fnv1a32(`replica-${index}`),
    zone: `zone-${index % ZONES}`,
    reportedPaid: Math.floor(random.uniform() * SLOTS),
    reportedTrial: Math.floor(random.uniform() * SLOTS),
    serviceMs: 1000,
    reportedMs: 0,
    ownInFlight: Math.floor(random.uniform() * 3),
    ownAtReport: 1,
    slots: SLOTS,
    isBlocked: () => false,
  }));
}

function createReplicas(random: SeededRandom, planned: boolean): ReplicaState[] {
  return Array.from({length: REPLICAS}, (_, index) => {
    const models = new Set<string>();
    while (planned && models.size < COPIES_PER_REPLICA) {
      models.add(`model-${Math.floor(random.uniform() * MODELS)}`);
    }
    return {
      id: `replica-${index}`,
      zone: `zone-${index % ZONES}`,
      capacityMiB: COPIES_PER_REPLICA,
      slots: SLOTS,
      planned: models,
      ready: models,
      available: true,
    };
  });
}

function createDemands(): ModelDemand[] {
  return Array.from({length: MODELS}, (_, index) => ({
    name: `model-${index}`,
    sizeMiB: 1,
    floor: 2,
    erlangs: 1500 / (index + 3),
    movedMs: Number.NEGATIVE_INFINITY,
  }));
}

function plan(
  replicas: readonly ReplicaState[],
  models: readonly ModelDemand[],
  moveBudget: number,
) {
  return planMoves({
    replicas,
    models,
    nowMs: 0,
    moveBudget,
    minGain: 0.02,
    cooldownMs: 0,
  });
}

/** Prints the cost of each kind of decision. */
export function runDecisionCost(): void {
  const random = new SeededRandom(SEED);
  for (const count of [20, 100, 1000]) {
    const candidates = createCandidates(count, random);
    const req = {
      class: 'paid',
      zone: 'zone-3',
      prefixSavingMs: 30,
      crossZoneMs: 0.5,
      entries: 350,
      nowMs: 500,
      excluded: new Set<string>(),
    } as const;
    measure(`route among ${count} ready replicas`, 20_000, i => {
      chooseReplica(candidates, {...req, prefixHash: i + 1}, random.uniform);
    });
  }
  measure('admit, start and release', 50_000, createAdmissionRun());
  for (const count of [16, 100_000]) measureKeyLookup(count);
  measureMessages();
  const models = createDemands();
  const plannedReplicas = createReplicas(random, true);
  measure('incremental plan, 1,000 replicas, 200 models', 60, () =>
    plan(plannedReplicas, models, 2),
  );
  const emptyReplicas = createReplicas(random, false);
  measure('full plan of 4,000 copies on empty replicas', 3, () =>
    plan(emptyReplicas, models, Number.POSITIVE_INFINITY),
  );
}

function createAdmissionRun(): () => void {
  const limits = {
    slots: SLOTS,
    paidReserve: 0,
    paidMaxWaitMs: 30_000,
    paidRedirectMs: 50,
    trialMaxWaitMs: 250,
  };
  const queue = new AdmissionQueue<Ticket>(limits);
  return () => {
    const ticket: Ticket = {
      class: 'paid',
      deadlineMs: 1e9,
      isolate: false,
      preemptible: false,
      startedMs: 0,
    };
    queue.offer(ticket, 0);
    queue.next(0);
    queue.release(ticket, 1000);
  };
}

/** Lookups of known and unknown keys in turn; one run does many, as one takes microseconds. */
function measureKeyLookup(keys: number): void {
  const apiKeys = Array.from({length: keys}, (_, i) => `api-key-of-a-caller-${i}`);
  const organisation = {name: 'a', apiKeys, priority: undefined, quota: undefined};
  const directory = new OrganisationDirectory([organisation]);
  measure(`${LOOKUPS_PER_RUN} lookups among ${keys} keys`, 2000, run => {
    for (let i = 0; i < LOOKUPS_PER_RUN; i++) {
      directory.find(apiKeys[((run * LOOKUPS_PER_RUN + i) * 7919) % (2 * keys)] ?? `unknown-${i}`);
    }
  });
}

function measureMessages(): void {
  const load = {type: 'load', paid: 5, trial: 2, serviceMs: 900, nextMs: 500} as const;
  const chunk = {
    type: 'chunk',
    attempt: 123_456,
    tag: 3_123_456_789,
    seq: 17,
    events: ['[{"index":0,"delta":{"content":"token"},"finish_reason":null}]'],
    data: new Uint8Array(0),
  } as const;
  for (const message of [load, chunk]) {
    const frame = encodeFrame(message);
    process.stdout.write(`frame of ${message.type}: ${frame.length} bytes\n`);
    measure(`encode ${message.type}`, 50_000, () => encodeFrame(message));
    const decoder = new FrameDecoder();
    measure(`decode and check ${message.type}`, 50_000, () => {
      for (const body of decoder.push(frame)) parseMessage(body);
    });
  }
}
