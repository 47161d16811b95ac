/** Fencing numbers of one upstream's sidecars: each start takes a range above all earlier ones. */
import type {KeyValueStore} from './key_value_store.ts';

/** Starts that are counted within one era of the service. */
const STARTS_PER_ERA = 1000;
/** Orders that one sidecar process can number. */
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

  /** Reserves a range; throws PlatformError while the service is away. */
  async reserveRange(): Promise<void> {
    const entry = await this.kv.get(this.key());
    const {era} = this.kv;
    // A service that came back from a copy has forgotten starts; the era stands for them.
    const startNumber =
      Math.max(entry === null ? 0 : Number(entry.value), era * STARTS_PER_ERA) + 1;
    const outcome = await this.kv.write(this.key(), String(startNumber), entry?.version ?? 0);
    // A reservation that was answered late must not bring smaller numbers back.
    if (outcome.kind === 'conflict' || startNumber <= this.startNumber || this.kv.era !== era)
      return;
    this.startNumber = startNumber;
    this.nextToken = startNumber * TOKENS_PER_START;
  }

  /** Fencing number for the next order. */
  allocate(): number {
    return this.nextToken++;
  }

  /** True while no later sidecar has reserved a range; throws PlatformError. */
  async isLatest(): Promise<boolean> {
    const entry = await this.kv.get(this.key());
    return entry !== null && Number(entry.value) === this.startNumber;
  }

  private key(): string {
    return `fences/${this.upstream}`;
  }
}
