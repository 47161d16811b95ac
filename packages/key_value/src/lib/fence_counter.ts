/** Fencing numbers of one upstream's sidecars: each start takes a range above all earlier ones. */
import type {KeyValueStore} from './key_value_store.ts';

/** Starts that are counted within one era of the service. */
const STARTS_PER_ERA = 1000;
/** Orders that one sidecar process can number. */
const ORDERS_PER_START = 1_000_000;

/** @public */
export class FenceCounter {
  private next = 0;
  private epoch = 0;

  constructor(
    private readonly kv: KeyValueStore,
    private readonly upstream: string,
  ) {}

  /** True once a range has been reserved. */
  get ready(): boolean {
    return this.epoch > 0;
  }

  /** Reserves a range; throws PlatformError while the service is away. */
  async reserve(): Promise<void> {
    const entry = await this.kv.get(this.key());
    const {era} = this.kv;
    // A service that came back from a copy has forgotten starts; the era stands for them.
    const epoch = Math.max(entry === null ? 0 : Number(entry.value), era * STARTS_PER_ERA) + 1;
    const outcome = await this.kv.write(this.key(), String(epoch), entry?.version ?? 0);
    // A reservation that was answered late must not bring smaller numbers back.
    if (outcome.kind === 'conflict' || epoch <= this.epoch || this.kv.era !== era) return;
    this.epoch = epoch;
    this.next = epoch * ORDERS_PER_START;
  }

  /** Fencing number for the next order. */
  take(): number {
    return this.next++;
  }

  /** True while no later sidecar has reserved a range; throws PlatformError. */
  async isNewest(): Promise<boolean> {
    const entry = await this.kv.get(this.key());
    return entry !== null && Number(entry.value) === this.epoch;
  }

  private key(): string {
    return `fences/${this.upstream}`;
  }
}
