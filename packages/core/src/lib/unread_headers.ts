/** Counts headers that nothing reads, and tells of each name once. */
import type {Logger} from './logger.ts';
import type {CounterFamily, MetricRegistry} from './metrics.ts';

/** Names beyond this are counted together. */
const MAX_NAMES = 32;
const OVERFLOW_LABEL = 'others';

/**
 * A header that a peer has begun to send and that no code reads shows here first.
 *
 * @example
 * unread.note(['server-color'], 'i-7f3a');
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

  /** Takes in the names, in lower case, that an answer of `replica` had. */
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
