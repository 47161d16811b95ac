/** Interface to a key-value service, as leases, terms and fencing tokens need it. */

/** One key with its version; the versions of a key only increase. @public */
export interface StoredEntry {
  readonly key: string;
  readonly value: string;
  readonly version: number;
}

/** Result of a conditional write to which the service has responded. @public */
export type WriteOutcome =
  | {readonly kind: 'written'; readonly version: number}
  | {readonly kind: 'conflict'; readonly entry: StoredEntry | null};

/**
 * Key-value service with compare-and-swap and leases. Every call may throw PlatformError:
 * `unavailable` when it certainly had no effect, `unknown_outcome` when a write may have been
 * applied.
 *
 * @example
 * const lease = new LeaderLease(store, 'planner', id, 3000, clock, log, () => 1500);
 * @public
 */
export interface KeyValueStore {
  /**
   * Increases each time the service is restored from an older copy of itself: later writes are
   * lost, and versions and lease ids are assigned again. 0 for a service that does not report it.
   */
  readonly era: number;
  /** True once the service has been restored since this process started. */
  readonly wasRestored: boolean;
  get(key: string): Promise<StoredEntry | null>;
  /** Writes a key if its version still is `expectVersion` (0: the key is absent). */
  write(key: string, value: string, expectVersion: number, leaseId?: string): Promise<WriteOutcome>;
  /** Creates a lease; its keys are deleted `ttlMs` after the last renewal. */
  createLease(ttlMs: number): Promise<string>;
  /** Renews a lease; false when it has expired. */
  renewLease(leaseId: string): Promise<boolean>;
}
