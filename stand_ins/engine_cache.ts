/** Prefix cache of the engine stand-in: bounded, with events that come late and with gaps. */

const CAPACITY = 64;
/** Every so-many-th event is lost. */
const LOST_EVENT_INTERVAL = 7;

export interface CacheEvent {
  readonly seq: number;
  readonly kind: 'stored' | 'evicted';
  readonly prefix: string;
}

interface LoggedEvent extends CacheEvent {
  readonly atMs: number;
}

export class EngineCache {
  private readonly prefixes = new Set<string>();
  private readonly events: LoggedEvent[] = [];
  private nextSeq = 1;

  constructor(private readonly eventLagMs: number) {}

  /** True when the prefix was cached; it is cached afterwards. */
  touch(prefix: string): boolean {
    const hit = this.prefixes.delete(prefix);
    this.prefixes.add(prefix);
    if (!hit) this.log('stored', prefix);
    if (this.prefixes.size > CAPACITY) {
      const oldest = this.prefixes.values().next().value!;
      this.prefixes.delete(oldest);
      this.log('evicted', oldest);
    }
    return hit;
  }

  has(prefix: string): boolean {
    return this.prefixes.has(prefix);
  }

  /** Events after a sequence number; a gap in the numbers is a lost event. */
  eventsAfter(seq: number, nowMs: number): CacheEvent[] {
    return this.events
      .filter(event => event.seq > seq && event.atMs + this.eventLagMs <= nowMs)
      .filter(event => event.seq % LOST_EVENT_INTERVAL !== 0)
      .map(({seq: number, kind, prefix}) => ({seq: number, kind, prefix}));
  }

  private log(kind: CacheEvent['kind'], prefix: string): void {
    this.events.push({seq: this.nextSeq++, kind, prefix, atMs: performance.now()});
  }
}
