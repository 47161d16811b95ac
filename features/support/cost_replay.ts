/** Simulates gateways that choose among model replicas of different pace, in virtual time. */
import type {ReplicaClient} from '@jasminepost/platform';
import {chooseEngine, INITIAL_AVAILABILITY, NO_RATE_LIMIT} from '@jasminepost/policy';
import {SeededRandom} from '../../bench/random.ts';
import {VirtualClock} from '../../bench/virtual_clock.ts';
import {Attempt} from '../../apps/gateway/src/lib/attempt.ts';
import type {GatewayContext} from '../../apps/gateway/src/lib/gateway_context.ts';
import {PrefillEstimator} from '../../apps/gateway/src/lib/prefill_estimator.ts';
import {Replica} from '../../apps/gateway/src/lib/replica.ts';
import {recordFirstEvent} from '../../apps/gateway/src/lib/response_head.ts';

/** @returns Factor of the usual time at a replica: as it works, and as it reports. */
export type PaceOf = (
  replica: number,
  nowMs: number,
) => {readonly actual: number; readonly reported: number | undefined};

export interface CostOutcome {
  /** Requests sent to each replica after the warm-up. */
  readonly sent: number[];
  /** Times to the first event of these requests. */
  readonly firstEventMs: number[];
  /** Most requests of one replica without a first event at one time. */
  maxQueued: number;
}

const GATEWAYS = 27;
const REPLICAS = 34;
const WARM_UP_MS = 20_000;
const END_MS = 60_000;
/** Each replica has two of the models. */
const MODELS = 17;
const COPIES = 4;
const REPORT_INTERVAL_MS = 100;
/** Prefill of a token at the usual pace. */
const MS_PER_TOKEN = 0.055;
const MODEL = 'draft';
const SLOTS = 32;

/** A replica registration; its id has the given number. */
export function simulatedReplica(index: number): Replica {
  const models = [{name: MODEL, version: 1, adapters: []}];
  const listed = {
    ...{id: `r${index}`, key: '', service: 'models', address: {host: '', port: 1}, zone: 'a'},
    ...{softwareVersion: '', slots: SLOTS, leaving: false, bornMs: 0, models},
    copies: {inMemory: [], onDisk: []},
  };
  const learned = {availability: INITIAL_AVAILABILITY, limit: NO_RATE_LIMIT};
  return new Replica(listed, {} as ReplicaClient, learned, () => undefined);
}

function copiesOf(model: number): number[] {
  return Array.from({length: COPIES}, (_, copy) => (2 * model + 7 * copy) % REPLICAS);
}

/** Request of the given size for `chooseEngine`. */
export function requestOf(estimator: PrefillEstimator, tokens: number) {
  return {
    ...{zone: 'a', prefixHash: 0, adapterHash: 0, prefixSavingMs: 0, tokens, maxBacklogMs: 220},
    prefillMs: estimator.estimateMs(MODEL, tokens),
  };
}

/**
 * Runs the simulation; it is deterministic for a seed.
 *
 * @param perS - Requests per second to all gateways together.
 */
export function replayCosts(paceOf: PaceOf, perS: number, seed: number): CostOutcome {
  const clock = new VirtualClock();
  const random = new SeededRandom(seed);
  const outcome: CostOutcome = {
    sent: Array<number>(REPLICAS).fill(0),
    firstEventMs: [],
    maxQueued: 0,
  };
  const work = Array.from({length: REPLICAS}, () => ({freeAtMs: 0, queued: 0, running: 0}));
  const gateways = Array.from({length: GATEWAYS}, () => {
    const estimator = new PrefillEstimator();
    const ctx = {
      clock: {monotonicMs: () => clock.nowMs},
      estimator,
      metrics: {firstEvent: {recordMs: () => undefined}},
      generations: {scheduleDispatch: () => undefined},
    } as unknown as GatewayContext;
    return {ctx, estimator, replicas: work.map((_, index) => simulatedReplica(index))};
  });

  const arrive = () => {
    clock.after(random.exponential(1000 / perS), arrive);
    const tokens = Math.round(300 + random.exponential(1200));
    const model = Math.floor(random.uniform() * MODELS);
    send(Math.floor(random.uniform() * GATEWAYS), model, tokens, clock.nowMs);
  };
  const send = (from: number, model: number, tokens: number, arrivedMs: number) => {
    const {ctx, estimator, replicas} = gateways[from];
    const nowMs = clock.nowMs;
    const holders = copiesOf(model);
    const candidates = holders
      .map(index => replicas[index])
      .map(found => found.asEngineCandidate('', MODEL, SLOTS, nowMs));
    const choice = chooseEngine(candidates, requestOf(estimator, tokens));
    if (choice.kind !== 'chosen') {
      clock.after(20, () => send(from, model, tokens, arrivedMs));
      return;
    }
    const index = holders[choice.index];
    const replica = replicas[index];
    const prefillMs = estimator.estimateMs(MODEL, tokens);
    const attempt = new Attempt(replica, nowMs, tokens, prefillMs);
    const state = work[index];
    const durationMs = (15 + tokens * MS_PER_TOKEN) * paceOf(index, nowMs).actual;
    state.freeAtMs = Math.max(nowMs, state.freeAtMs) + durationMs;
    state.queued += 1;
    state.running += 1;
    const isCounted = arrivedMs >= WARM_UP_MS;
    if (isCounted) {
      outcome.sent[index] += 1;
      outcome.maxQueued = Math.max(outcome.maxQueued, state.queued);
    }
    clock.after(state.freeAtMs - nowMs, () => {
      state.queued -= 1;
      const {reported} = paceOf(index, clock.nowMs);
      const load = {running: state.running, waiting: 0, slots: SLOTS, pace: reported};
      replica.onResponseLoad(load, clock.nowMs);
      const generation = {model: MODEL, adapter: '', tokensIn: tokens, maxTokensOut: 0, parts: []};
      recordFirstEvent(ctx, attempt, arrivedMs, generation);
      if (isCounted) outcome.firstEventMs.push(clock.nowMs - arrivedMs);
      clock.after(300, () => {
        attempt.end();
        state.running -= 1;
      });
    });
  };
  const report = () => {
    for (const [index, {queued, running}] of work.entries()) {
      const message = {
        ...{type: 'engine_load' as const, running, waiting: 0, prefilling: queued},
        ...{kvUsed: 0, kvTotal: 1e6, gateways: GATEWAYS, nextMs: REPORT_INTERVAL_MS},
      };
      for (const {replicas} of gateways) replicas[index].onLoad(message, clock.nowMs);
    }
  };
  clock.every(REPORT_INTERVAL_MS, report);
  arrive();
  clock.runUntil(END_MS);
  return outcome;
}
