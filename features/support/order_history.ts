/** Random adapter requests and placements for a replica that loses or delays orders. */
import {createLogger, MetricRegistry, sleep, SystemClock} from '@jasminepost/core';
import {FencingTokenAllocator, type KeyValueStore} from '@jasminepost/key_value';
import type {EngineOrder, EngineReport, EngineSpec, OrderOutcome} from '@jasminepost/serving';
import {SeededRandom} from '../../bench/random.ts';
import {OrderExecutor} from '../../apps/steward/src/lib/order_executor.ts';

export type DeliveryFault = 'carried out' | 'lost' | 'answered too late' | 'carried out late';

export interface OrderHistory {
  memoryOvercommits: number;
  adapterOvercommits: number;
  wrongSequence: number;
  executed: number;
  readonly fencingTokens: number[];
}

const MODELS = ['m0', 'm1', 'm2', 'm3', 'm4'];
const MODEL_MB = 40;
const ADAPTER_MB = 2;
const WEIGHTS_CAPACITY_MB = 100;
const ADAPTER_SLOTS = 3;
const FAULT_SHARE = 0.4;
const LOAD_MS = 8;
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

  /** Executes an order if its expected sequence is current. */
  execute(order: EngineOrder): OrderOutcome {
    if (this.busy || order.expectedSequence !== this.sequence) {
      return {kind: 'refused', status: 409};
    }
    this.sequence += 1;
    this.history.executed += 1;
    if (order.adapter !== '') {
      const adapters = this.models.get(order.model);
      if (order.operation === 'load') adapters?.add(order.adapter);
      else adapters?.delete(order.adapter);
    } else {
      this.busy = true;
      if (order.operation === 'load') this.models.set(order.model, new Set());
      else this.models.delete(order.model);
      setTimeout(() => (this.busy = false), LOAD_MS);
    }
    this.check();
    return {kind: 'accepted'};
  }

  private check(): void {
    let adapters = 0;
    for (const loaded of this.models.values()) adapters += loaded.size;
    if (adapters > ADAPTER_SLOTS) this.history.adapterOvercommits += 1;
    const usedMb = this.models.size * MODEL_MB + adapters * ADAPTER_MB;
    if (usedMb > WEIGHTS_CAPACITY_MB) this.history.memoryOvercommits += 1;
  }
}

function newHistory(): OrderHistory {
  return {
    memoryOvercommits: 0,
    adapterOvercommits: 0,
    wrongSequence: 0,
    executed: 0,
    fencingTokens: [],
  };
}

/** Runs one history in real time, some hundred milliseconds long. */
export async function runOrderHistory(
  adapterRequests: number,
  placements: number,
  fault: DeliveryFault,
  seed: number,
): Promise<OrderHistory> {
  const random = new SeededRandom(seed).uniform;
  const history = newHistory();
  const engine = new FakeEngine(history);
  const deliver = async (order: EngineOrder): Promise<OrderOutcome> => {
    if (fault === 'carried out' || random() > FAULT_SHARE) return engine.execute(order);
    if (fault === 'answered too late') engine.execute(order);
    if (fault === 'carried out late') setTimeout(() => engine.execute(order), LATE_MS);
    await sleep(2);
    return {kind: 'unknown', error: 'no response'};
  };
  const executor = await newExecutor(engine, history, deliver);
  for (let i = 0; i < adapterRequests; i++) {
    const loaded = [...engine.models.keys()];
    const model = loaded[Math.floor(random() * loaded.length)] ?? 'm0';
    executor.requestAdapter(model, `a${1 + Math.floor(random() * 6)}`);
    if (i % Math.ceil(adapterRequests / placements) === 0)
      placeRandomModel(executor, engine, random);
    await sleep(25);
  }
  await sleep(LATE_MS * 2);
  return history;
}

/**
 * Sends placements of the given terms, each for another model.
 *
 * @returns The models that were loaded.
 */
export async function loadInTerms(terms: readonly number[]): Promise<string[]> {
  const history = newHistory();
  const engine = new FakeEngine(history);
  const executor = await newExecutor(engine, history, order =>
    Promise.resolve(engine.execute(order)),
  );
  for (const [index, term] of terms.entries()) {
    const load = MODELS[2 + index];
    const unload = MODELS[index];
    executor.applyPlacement({
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

/** Allocates fencing tokens after overlapping reservations; the first one's response is last. */
export async function allocateAfterOverlappingReservations(): Promise<number[]> {
  const store = new SingleKeyStore();
  const allocator = new FencingTokenAllocator(store, 'replica');
  store.writeLatencyMs = LATE_MS;
  const first = allocator.reserveRange();
  await sleep(LATE_MS / 4);
  store.writeLatencyMs = 0;
  await allocator.reserveRange();
  const allocated = [allocator.allocate()];
  await first;
  allocated.push(allocator.allocate());
  return allocated;
}

async function newExecutor(
  engine: FakeEngine,
  history: OrderHistory,
  deliver: (order: EngineOrder) => Promise<OrderOutcome>,
): Promise<OrderExecutor> {
  const allocator = new FencingTokenAllocator(new SingleKeyStore(), 'replica');
  await allocator.reserveRange();
  const executor: OrderExecutor = new OrderExecutor({
    clock: new SystemClock(),
    log: createLogger('steward', 'test', 'error'),
    orders: new MetricRegistry().counter('orders', 'Orders', 'outcome'),
    fencingTokens: allocator,
    holder: 'steward-1',
    sendOrder: order => {
      history.fencingTokens.push(order.fencingToken);
      if (order.expectedSequence !== engine.sequence) history.wrongSequence += 1;
      return deliver(order);
    },
    refresh: () => {
      const report = engine.report();
      executor.onReport(report);
      return Promise.resolve(report);
    },
    spec: () => SPEC,
    replicaId: () => 'replica',
    onChanged: () => undefined,
  });
  return executor;
}

let placementCount = 0;

function placeRandomModel(executor: OrderExecutor, engine: FakeEngine, random: () => number): void {
  const loaded = [...engine.models.keys()];
  const absent = MODELS.filter(model => !engine.models.has(model));
  executor.applyPlacement({
    type: 'placement',
    term: 1,
    number: ++placementCount,
    validMs: 4000,
    unload: loaded.length > 1 ? loaded[Math.floor(random() * loaded.length)] : '',
    load: absent[Math.floor(random() * absent.length)],
    fromStore: true,
  });
}

const SPEC: EngineSpec = {
  slots: 8,
  weightsMb: WEIGHTS_CAPACITY_MB,
  adapterSlots: ADAPTER_SLOTS,
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

/** Stores one key: the allocator's reservation. */
class SingleKeyStore implements KeyValueStore {
  readonly era = 0;
  readonly wasRestored = false;
  /** Delay of the response to a write; the write itself is immediate. */
  writeLatencyMs = 0;
  private entry: {key: string; value: string; version: number} | null = null;

  get(): Promise<typeof this.entry> {
    return Promise.resolve(this.entry);
  }

  async write(key: string, value: string): Promise<{kind: 'written'; version: number}> {
    const version = (this.entry?.version ?? 0) + 1;
    this.entry = {key, value, version};
    await sleep(this.writeLatencyMs);
    return {kind: 'written', version};
  }

  createLease(): Promise<string> {
    return Promise.resolve('1');
  }

  renewLease(): Promise<boolean> {
    return Promise.resolve(true);
  }
}
