/** Fencing numbers of one upstream's sidecars: each start takes a range above all earlier ones. */
import type {KeyValueStore} from './key_value_store.ts';

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
    const epoch = (entry === null ? 0 : Number(entry.value)) + 1;
    const outcome = await this.kv.write(this.key(), String(epoch), entry?.version ?? 0);
    // A reservation that was answered late must not bring smaller numbers back.
    if (outcome.kind === 'conflict' || epoch <= this.epoch) return;
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
