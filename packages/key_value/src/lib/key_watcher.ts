/** Watches one key; continues after outages and lost watches. */
import {backoffMs, sleep} from '@jasminepost/core';
import type {KeyValueClient, KeyValueEntry} from './key_value_client.ts';

const RETRY_BASE_MS = 200;
const RETRY_CAP_MS = 3000;

/** @public */
export class KeyWatcher {
  private readonly abort = new AbortController();
  private failures = 0;
  private seenVersion = 0;

  /**
   * @param waitMs - Duration of one watch; a missed change is noticed after this at the latest.
   */
  constructor(
    private readonly kv: KeyValueClient,
    private readonly key: string,
    private readonly waitMs: number,
    private readonly onEntry: (entry: KeyValueEntry | null) => void,
  ) {}

  /** True while the last call to the service succeeded. */
  get healthy(): boolean {
    return this.failures === 0;
  }

  start(): void {
    void this.run();
  }

  dispose(): void {
    this.abort.abort();
  }

  private async run(): Promise<void> {
    let first = true;
    while (!this.abort.signal.aborted) {
      try {
        const entry = first
          ? await this.kv.get(this.key)
          : await this.kv.watch(this.key, this.seenVersion, this.waitMs, this.abort.signal);
        if (this.abort.signal.aborted) return;
        this.failures = 0;
        if (entry !== undefined) this.applyEntry(entry);
        first = false;
      } catch {
        if (this.abort.signal.aborted) return;
        await sleep(backoffMs(this.failures, RETRY_BASE_MS, RETRY_CAP_MS), this.abort.signal);
        this.failures += 1;
      }
    }
  }

  private applyEntry(entry: KeyValueEntry | null): void {
    const version = entry?.version ?? 0;
    if (version === this.seenVersion && version !== 0) return;
    this.seenVersion = version;
    this.onEntry(entry);
  }
}
