/** Fencing numbers of stewards that start again around returns of the store from a copy. */
import fc from 'fast-check';
import {FencingTokenAllocator, type KeyValueStore, type WriteOutcome} from '@jasminepost/key_value';

const UPSTREAM = 'side-1';

export const eraSteps = fc.array(
  fc.oneof(
    fc.record({kind: fc.constant('start' as const), orders: fc.nat(3)}),
    fc.record({kind: fc.constant('copy' as const)}),
    fc.record({kind: fc.constant('come_back' as const)}),
    // The store comes back while a start waits for the answer to its reservation.
    fc.record({kind: fc.constant('come_back_in_write' as const)}),
  ),
  {minLength: 4, maxLength: 40},
);

type Entries = Map<string, {value: string; version: number}>;

class CopiedStore implements KeyValueStore {
  era = 1;
  wasRestored = false;
  /** Comes back once, after the next write and before its answer. */
  comesBackInWrite = false;
  private entries: Entries = new Map();
  private copied: Entries = new Map();
  private version = 0;
  private copiedVersion = 0;

  copy(): void {
    this.copied = new Map(this.entries);
    this.copiedVersion = this.version;
  }

  comeBack(): void {
    this.era += 1;
    this.wasRestored = true;
    this.entries = new Map(this.copied);
    this.version = this.copiedVersion;
  }

  get(key: string): Promise<{key: string; value: string; version: number} | null> {
    const found = this.entries.get(key);
    return Promise.resolve(found === undefined ? null : {key, ...found});
  }

  write(key: string, value: string, expectVersion: number): Promise<WriteOutcome> {
    const found = this.entries.get(key);
    if ((found?.version ?? 0) !== expectVersion) {
      const entry = found === undefined ? null : {key, ...found};
      return Promise.resolve({kind: 'conflict', entry});
    }
    const version = ++this.version;
    this.entries.set(key, {value, version});
    if (this.comesBackInWrite) this.comeBack();
    this.comesBackInWrite = false;
    return Promise.resolve({kind: 'written', version});
  }

  createLease(): Promise<string> {
    return Promise.resolve('1');
  }

  renewLease(): Promise<boolean> {
    return Promise.resolve(true);
  }
}

type Step = (typeof eraSteps extends fc.Arbitrary<infer T> ? T : never)[number];

/** True when each order has a larger number than all before it. */
export async function fencesGrow(steps: readonly Step[]): Promise<boolean> {
  const store = new CopiedStore();
  let last = -1;
  for (const step of steps) {
    switch (step.kind) {
      case 'copy':
        store.copy();
        break;
      case 'come_back':
        store.comeBack();
        break;
      case 'come_back_in_write':
        store.comesBackInWrite = true;
        break;
      case 'start': {
        const counter = new FencingTokenAllocator(store, UPSTREAM);
        while (!counter.ready) await counter.reserveRange();
        for (let i = 0; i < step.orders; i++) {
          const fence = counter.allocate();
          if (fence <= last) return false;
          last = fence;
        }
      }
    }
  }
  return true;
}
