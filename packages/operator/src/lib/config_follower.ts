/** Follows the configuration from the platform and from peers. */
import type {Disposable, Logger, MetricRegistry} from '@jasminepost/core';
import {KeyWatcher, type KeyValueClient} from '@jasminepost/key_value';
import {CONFIG_KEY} from './config_document.ts';
import {ConfigKeeper, type ConfigOffer} from './config_keeper.ts';
import {ConfigSpreader, type SpreadLink} from './config_spreader.ts';

/** @public */
export class ConfigFollower implements Disposable {
  readonly keeper: ConfigKeeper;
  readonly spreader: ConfigSpreader;
  private readonly watcher: KeyWatcher;

  /**
   * @param watchMs - Length of one watch; bounds the delay of a lost change.
   */
  constructor(
    kv: KeyValueClient,
    watchMs: number,
    metrics: MetricRegistry,
    log: Logger,
    links: () => Iterable<SpreadLink>,
  ) {
    const offers = metrics.counter<ConfigOffer>('config_offers', 'Configurations seen.', 'outcome');
    this.keeper = new ConfigKeeper(offers, log);
    this.spreader = new ConfigSpreader(this.keeper, links);
    this.watcher = new KeyWatcher(kv, CONFIG_KEY, watchMs, entry => {
      if (entry !== null) this.keeper.offer(entry.value, 'platform');
    });
    metrics.gauge('config_generation', 'Generation in force here.', () => this.keeper.generation);
  }

  start(): void {
    this.watcher.start();
  }

  dispose(): void {
    this.watcher.dispose();
    this.spreader.dispose();
  }
}
