/** Random steward restarts around restores of the store; fencing tokens must increase. */
import fc from 'fast-check';
import {FencingTokenAllocator, type KeyValueStore, type WriteOutcome} from '@jasminepost/key_value';

const UPSTREAM = 'side-1';

export const storeEraSteps = fc.array(
  fc.oneof(
    fc.record({kind: fc.constant('start' as const), orders: fc.nat(3)}),
    fc.record({kind: fc.constant('backup' as const)}),
    fc.record({kind: fc.constant('restore' as const)}),
    // The store is restored after it has written a reservation and before it responds.
    fc.record({kind: fc.constant('restore_during_write' as const)}),
  ),
  {minLength: 4, maxLength: 40},
);

type Entries = Map<string, {value: string; version: number}>;

class RestorableStore implements KeyValueStore {
  era = 1;
  wasRestored = false;
  /** Restores once, after the next write is done and before its response. */
  restoreDuringWrite = false;
  private entries: Entries = new Map();
  private backup: Entries = new Map();
  private version = 0;
  private backupVersion = 0;

  takeBackup(): void {
    this.backup = new Map(this.entries);
    this.backupVersion = this.version;
  }

  restore(): void {
    this.era += 1;
    this.wasRestored = true;
    this.entries = new Map(this.backup);
    this.version = this.backupVersion;
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
    if (this.restoreDuringWrite) this.restore();
    this.restoreDuringWrite = false;
    return Promise.resolve({kind: 'written', version});
  }

  createLease(): Promise<string> {
    return Promise.resolve('1');
  }

  renewLease(): Promise<boolean> {
    return Promise.resolve(true);
  }
}

type Step = (typeof storeEraSteps extends fc.Arbitrary<infer T> ? T : never)[number];

/** True when every fencing token is larger than all before it. */
export async function areFencingTokensIncreasing(steps: readonly Step[]): Promise<boolean> {
  const store = new RestorableStore();
  let lastToken = -1;
  for (const step of steps) {
    switch (step.kind) {
      case 'backup':
        store.takeBackup();
        break;
      case 'restore':
        store.restore();
        break;
      case 'restore_during_write':
        store.restoreDuringWrite = true;
        break;
      case 'start': {
        const allocator = new FencingTokenAllocator(store, UPSTREAM);
        while (!allocator.ready) await allocator.reserveRange();
        for (let i = 0; i < step.orders; i++) {
          const token = allocator.allocate();
          if (token <= lastToken) return false;
          lastToken = token;
        }
      }
    }
  }
  return true;
}
