/** Bounded prefix cache of the engine stand-in; its events are delayed, and some are lost. */

const CAPACITY = 64;
/** Events whose number is a multiple of this are lost. */
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

  /** Caches the prefix; returns whether it was cached before. */
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

  /** Events after a sequence number; a gap in the numbers means lost events. */
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
