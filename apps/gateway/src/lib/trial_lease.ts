/** Lease in the store that allows one gateway at a time to try a suspected request. */
import {errorMessage, type Logger} from '@jasminepost/core';
import type {KeyValueStore} from '@jasminepost/key_value';

const TRIAL_PREFIX = 'trials/';
/** Time in which a trial crashes its replica or completes, and all gateways learn of it. */
const TRIAL_MS = 3000;

/** @internal */
export class TrialLease {
  constructor(
    private readonly store: KeyValueStore,
    private readonly self: string,
    private readonly minLeaseMs: number,
    private readonly log: Logger,
  ) {}

  /** Acquires the lease; false while another gateway holds it, or if the store does not confirm. */
  async acquire(fingerprint: string): Promise<boolean> {
    try {
      const lease = await this.store.createLease(Math.max(TRIAL_MS, this.minLeaseMs));
      const outcome = await this.store.write(TRIAL_PREFIX + fingerprint, this.self, 0, lease);
      const granted = outcome.kind === 'written';
      this.log.info('trial lease requested for a suspected request', {fingerprint, granted});
      return granted;
    } catch (thrown) {
      this.log.warn('could not acquire a trial lease', {fingerprint, error: errorMessage(thrown)});
      return false;
    }
  }
}
