/** What leases, terms and fences need of a key-value service. */

/** One key with its version; versions of a key only grow. @public */
export interface StoredEntry {
  readonly key: string;
  readonly value: string;
  readonly version: number;
}

/** Result of a conditional write that the service has answered. @public */
export type WriteOutcome =
  | {readonly kind: 'written'; readonly version: number}
  | {readonly kind: 'conflict'; readonly entry: StoredEntry | null};

/**
 * Port to a key-value service with compare-and-swap and leases. Every call may throw
 * PlatformError: `unavailable` when it certainly had no effect, `unknown_outcome` when a write may
 * have been applied.
 *
 * @example
 * const lease = new TermLease(store, 'planner', id, 3000, clock, log, () => 1500);
 * @public
 */
export interface KeyValueStore {
  /**
   * Rises each time that the service comes back from an older copy: what was written since the copy
   * is gone, versions and leases are given out again. 0 where the service does not say.
   */
  readonly era: number;
  /** True once that has happened in this process's time. */
  readonly wasRestored: boolean;
  get(key: string): Promise<StoredEntry | null>;
  /** Writes a key if its version still is `expectVersion` (0: the key is absent). */
  write(key: string, value: string, expectVersion: number, leaseId?: string): Promise<WriteOutcome>;
  /** Creates a lease; its keys vanish `ttlMs` after the last renewal. */
  createLease(ttlMs: number): Promise<string>;
  /** Renews a lease; false when it has expired. */
  renewLease(leaseId: string): Promise<boolean>;
}
