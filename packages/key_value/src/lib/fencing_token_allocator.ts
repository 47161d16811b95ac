/** Fencing tokens of one upstream's sidecars: each start gets a range above all earlier ones. */
import type {KeyValueStore} from './key_value_store.ts';

/** Start numbers reserved for each store era. */
const STARTS_PER_ERA = 1000;
/** Size of the range that each start reserves. */
const TOKENS_PER_START = 1_000_000;

/** @public */
export class FencingTokenAllocator {
  private nextToken = 0;
  private startNumber = 0;

  constructor(
    private readonly kv: KeyValueStore,
    private readonly upstream: string,
  ) {}

  /** True once a range has been reserved. */
  get ready(): boolean {
    return this.startNumber > 0;
  }

  /** Reserves a range; throws PlatformError while the service is unavailable. */
  async reserveRange(): Promise<void> {
    const entry = await this.kv.get(this.key());
    const {era} = this.kv;
    // A restored service has lost start numbers; the era places new ones above them.
    const startNumber =
      Math.max(entry === null ? 0 : Number(entry.value), era * STARTS_PER_ERA) + 1;
    const outcome = await this.kv.write(this.key(), String(startNumber), entry?.version ?? 0);
    // A reservation whose response arrives late must not lower the tokens.
    if (outcome.kind === 'conflict' || startNumber <= this.startNumber || this.kv.era !== era)
      return;
    this.startNumber = startNumber;
    this.nextToken = startNumber * TOKENS_PER_START;
  }

  /** Fencing token for the next order. */
  allocate(): number {
    return this.nextToken++;
  }

  /** True while no later start has reserved a range; throws PlatformError. */
  async isLatest(): Promise<boolean> {
    const entry = await this.kv.get(this.key());
    return entry !== null && Number(entry.value) === this.startNumber;
  }

  private key(): string {
    return `fences/${this.upstream}`;
  }
}
