/** Counts response headers that no code reads, and logs each name once. */
import type {Logger} from './logger.ts';
import type {CounterFamily, MetricRegistry} from './metrics.ts';

/** Distinct names that are counted; further names share one label value. */
const MAX_NAMES = 32;
const OVERFLOW_LABEL = 'others';

/**
 * Makes it visible when replicas begin to send a header that no code reads.
 *
 * @example
 * unread.record(['server-color'], 'i-7f3a');
 * @public
 */
export class UnreadHeaderCounter {
  private readonly counts: CounterFamily<string>;
  private readonly names = new Set<string>();

  constructor(
    registry: MetricRegistry,
    private readonly log: Logger,
  ) {
    this.counts = registry.counter(
      'unread_headers',
      'Headers of replicas that are not read',
      'name',
    );
  }

  /** Records unread header names, in lower case, of a response from `replica`. */
  record(names: readonly string[], replica: string): void {
    for (const name of names) {
      const isKnown = this.names.has(name);
      const isNew = !isKnown && this.names.size < MAX_NAMES;
      this.counts.increment(isKnown || isNew ? name : OVERFLOW_LABEL);
      if (!isNew) continue;
      this.names.add(name);
      this.log.warn('header is not read', {name, replica});
    }
  }
}
