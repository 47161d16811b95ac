/** Holds the active configuration, which is only ever replaced by a newer generation. */
import type {CounterFamily, Logger} from '@jasminepost/core';
import {parseConfig} from './config_document.ts';
import {ConfigIndex} from './config_index.ts';

/** Outcome of offering a document, as labelled in metrics. @public */
export type ConfigOfferOutcome = 'applied' | 'known' | 'older' | 'conflicting' | 'malformed';

/** @public */
export class ActiveConfig {
  current: ConfigIndex | undefined;
  private readonly listeners: Array<(config: ConfigIndex) => void> = [];

  constructor(
    private readonly offerCounter: CounterFamily<ConfigOfferOutcome>,
    private readonly log: Logger,
  ) {}

  get generation(): number {
    return this.current?.document.generation ?? 0;
  }

  get hash(): string {
    return this.current?.document.hash ?? '';
  }

  onApplied(listener: (config: ConfigIndex) => void): void {
    this.listeners.push(listener);
  }

  /** Applies a document if it is newer than the active one. */
  offer(text: string, source: 'platform' | 'peer'): ConfigOfferOutcome {
    const outcome = this.applyIfNewer(text, source);
    this.offerCounter.increment(outcome);
    return outcome;
  }

  private applyIfNewer(text: string, source: string): ConfigOfferOutcome {
    const parsed = parseConfig(text);
    if (!parsed.ok) {
      this.log.error('configuration malformed', {source, error: parsed.error});
      return 'malformed';
    }
    const offered = parsed.value;
    if (offered.generation < this.generation) return 'older';
    if (offered.generation === this.generation) {
      return offered.hash === this.hash ? 'known' : 'conflicting';
    }
    this.current = new ConfigIndex(offered);
    this.log.info('configuration applied', {generation: offered.generation, source});
    for (const listener of this.listeners) listener(this.current);
    return 'applied';
  }
}
