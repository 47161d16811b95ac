/** The one leave in the fleet to try a suspected request; it lapses by itself. */
import {errorMessage, type Logger} from '@jasminepost/core';
import type {KeyValueStore} from '@jasminepost/key_value';

const TRIAL_PREFIX = 'trials/';
/** The copy has ended its replica or has been answered by then, and the others know. */
const TRIAL_MS = 3000;

/** @internal */
export class TrialLease {
  constructor(
    private readonly store: KeyValueStore,
    private readonly self: string,
    private readonly minLeaseMs: number,
    private readonly log: Logger,
  ) {}

  /** Takes the leave; false while another gateway has it, or when the store does not say so. */
  async acquire(fingerprint: string): Promise<boolean> {
    try {
      const lease = await this.store.createLease(Math.max(TRIAL_MS, this.minLeaseMs));
      const outcome = await this.store.write(TRIAL_PREFIX + fingerprint, this.self, 0, lease);
      const granted = outcome.kind === 'written';
      this.log.info('trial of a suspected request', {fingerprint, granted});
      return granted;
    } catch (thrown) {
      this.log.warn('trial not granted', {fingerprint, error: errorMessage(thrown)});
      return false;
    }
  }
}
