/** Random wishes and placements through an order desk to a replica that loses or delays orders. */
import {createLogger, MetricRegistry, sleep, SystemClock} from '@jasminepost/core';
import {FencingTokenAllocator, type KeyValueStore} from '@jasminepost/key_value';
import type {EngineOrder, EngineReport, EngineSpec, OrderOutcome} from '@jasminepost/serving';
import {SeededRandom} from '../../bench/random.ts';
import {OrderExecutor} from '../../apps/steward/src/lib/order_executor.ts';

export type OrderFault = 'carried out' | 'lost' | 'answered too late' | 'carried out late';

export interface OrderHistory {
  overMemory: number;
  overPlaces: number;
  wrongSequence: number;
  carriedOut: number;
  readonly fences: number[];
}

const MODELS = ['m0', 'm1', 'm2', 'm3', 'm4'];
const MODEL_MB = 40;
const ADAPTER_MB = 2;
const WEIGHTS_MB = 100;
const PLACES = 3;
const FAULT_SHARE = 0.4;
const MOVE_MS = 8;
const LATE_MS = 40;

class FakeEngine {
  readonly models = new Map<string, Set<string>>([
    ['m0', new Set()],
    ['m1', new Set()],
  ]);
  sequence = 0;
  busy = false;

  constructor(private readonly history: OrderHistory) {}

  report(): EngineReport {
    return {
      leaving: false,
      limitPerS: undefined,
      bornMs: 1,
      models: [...this.models].map(([name, adapters]) => ({name, adapters: [...adapters]})),
      busy: this.busy,
      sequence: this.sequence,
      waiting: 0,
      running: 0,
      prefilling: 0,
      kvUsed: 0,
      kvTotal: 1,
      incoming: [],
      copies: {inMemory: [], onDisk: MODELS},
    };
  }

  /** Carries an order out if its sequence still holds. */
  take(order: EngineOrder): OrderOutcome {
    if (this.busy || order.expectedSequence !== this.sequence) {
      return {kind: 'refused', status: 409};
    }
    this.sequence += 1;
    this.history.carriedOut += 1;
    if (order.adapter !== '') {
      const adapters = this.models.get(order.model);
      if (order.operation === 'load') adapters?.add(order.adapter);
      else adapters?.delete(order.adapter);
    } else {
      this.busy = true;
      if (order.operation === 'load') this.models.set(order.model, new Set());
      else this.models.delete(order.model);
      setTimeout(() => (this.busy = false), MOVE_MS);
    }
    this.check();
    return {kind: 'accepted'};
  }

  private check(): void {
    let adapters = 0;
    for (const held of this.models.values()) adapters += held.size;
    if (adapters > PLACES) this.history.overPlaces += 1;
    const usedMb = this.models.size * MODEL_MB + adapters * ADAPTER_MB;
    if (usedMb > WEIGHTS_MB) this.history.overMemory += 1;
  }
}

function newHistory(): OrderHistory {
  return {overMemory: 0, overPlaces: 0, wrongSequence: 0, carriedOut: 0, fences: []};
}

/** Plays one history in real time, some hundred milliseconds long. */
export async function runOrderHistory(
  wishes: number,
  placements: number,
  fault: OrderFault,
  seed: number,
): Promise<OrderHistory> {
  const random = new SeededRandom(seed).uniform;
  const history = newHistory();
  const engine = new FakeEngine(history);
  const deliver = async (order: EngineOrder): Promise<OrderOutcome> => {
    if (fault === 'carried out' || random() > FAULT_SHARE) return engine.take(order);
    if (fault === 'answered too late') engine.take(order);
    if (fault === 'carried out late') setTimeout(() => engine.take(order), LATE_MS);
    await sleep(2);
    return {kind: 'unknown', error: 'no answer'};
  };
  const desk = await deskOf(engine, history, deliver);
  for (let i = 0; i < wishes; i++) {
    const held = [...engine.models.keys()];
    const model = held[Math.floor(random() * held.length)] ?? 'm0';
    desk.requestAdapter(model, `a${1 + Math.floor(random() * 6)}`);
    if (i % Math.ceil(wishes / placements) === 0) placeOne(desk, engine, random);
    await sleep(25);
  }
  await sleep(LATE_MS * 2);
  return history;
}

/** Sends placements of the given terms, each for another model; returns what was loaded. */
export async function placeInTerms(terms: readonly number[]): Promise<string[]> {
  const history = newHistory();
  const engine = new FakeEngine(history);
  const desk = await deskOf(engine, history, order => Promise.resolve(engine.take(order)));
  for (const [index, term] of terms.entries()) {
    const load = MODELS[2 + index];
    const unload = MODELS[index];
    desk.applyPlacement({
      type: 'placement',
      term,
      number: 1,
      validMs: 4000,
      unload,
      load,
      fromStore: true,
    });
    await sleep(LATE_MS * 8);
  }
  return [...engine.models.keys()].filter(model => model !== 'm0' && model !== 'm1');
}

/** Takes numbers after two overlapping reservations, of which the first is answered last. */
export async function reserveTwice(): Promise<number[]> {
  const store = new OneValueStore();
  const fence = new FencingTokenAllocator(store, 'replica');
  store.answerMs = LATE_MS;
  const first = fence.reserveRange();
  await sleep(LATE_MS / 4);
  store.answerMs = 0;
  await fence.reserveRange();
  const taken = [fence.allocate()];
  await first;
  taken.push(fence.allocate());
  return taken;
}

async function deskOf(
  engine: FakeEngine,
  history: OrderHistory,
  deliver: (order: EngineOrder) => Promise<OrderOutcome>,
): Promise<OrderExecutor> {
  const fence = new FencingTokenAllocator(new OneValueStore(), 'replica');
  await fence.reserveRange();
  const desk: OrderExecutor = new OrderExecutor({
    clock: new SystemClock(),
    log: createLogger('steward', 'test', 'error'),
    orders: new MetricRegistry().counter('orders', 'Orders', 'outcome'),
    fencingTokens: fence,
    holder: 'steward-1',
    sendOrder: order => {
      history.fences.push(order.fencingToken);
      if (order.expectedSequence !== engine.sequence) history.wrongSequence += 1;
      return deliver(order);
    },
    refresh: () => {
      const report = engine.report();
      desk.onReport(report);
      return Promise.resolve(report);
    },
    spec: () => SPEC,
    replicaId: () => 'replica',
    onChanged: () => undefined,
  });
  return desk;
}

let placed = 0;

function placeOne(desk: OrderExecutor, engine: FakeEngine, random: () => number): void {
  const held = [...engine.models.keys()];
  const absent = MODELS.filter(model => !engine.models.has(model));
  desk.applyPlacement({
    type: 'placement',
    term: 1,
    number: ++placed,
    validMs: 4000,
    unload: held.length > 1 ? held[Math.floor(random() * held.length)] : '',
    load: absent[Math.floor(random() * absent.length)],
    fromStore: true,
  });
}

const SPEC: EngineSpec = {
  slots: 8,
  weightsMb: WEIGHTS_MB,
  adapterSlots: PLACES,
  loadsPerS: 1,
  models: new Map(
    MODELS.map(name => [
      name,
      {
        name,
        weightsMb: MODEL_MB,
        adapters: 6,
        adapterMb: ADAPTER_MB,
        storeLoadS: 1,
        diskLoadS: 1,
        memoryLoadS: 1,
      },
    ]),
  ),
};

/** Holds the fence's one key. */
class OneValueStore implements KeyValueStore {
  readonly era = 0;
  readonly wasRestored = false;
  /** Time that the answer to a write takes; the write itself is done at once. */
  answerMs = 0;
  private entry: {key: string; value: string; version: number} | null = null;

  get(): Promise<typeof this.entry> {
    return Promise.resolve(this.entry);
  }

  async write(key: string, value: string): Promise<{kind: 'written'; version: number}> {
    const version = (this.entry?.version ?? 0) + 1;
    this.entry = {key, value, version};
    await sleep(this.answerMs);
    return {kind: 'written', version};
  }

  createLease(): Promise<string> {
    return Promise.resolve('1');
  }

  renewLease(): Promise<boolean> {
    return Promise.resolve(true);
  }
}
