/** Receives configuration changes from the platform and from peers. */
import type {Disposable, Logger, MetricRegistry} from '@jasminepost/core';
import {KeyWatcher, type KeyValueClient} from '@jasminepost/key_value';
import {CONFIG_KEY} from './config_document.ts';
import {ActiveConfig, type ConfigOfferOutcome} from './active_config.ts';
import {ConfigPeerSync, type ConfigPeerLink} from './config_peer_sync.ts';

/** @public */
export class ConfigWatcher implements Disposable {
  readonly activeConfig: ActiveConfig;
  readonly peerSync: ConfigPeerSync;
  private readonly watcher: KeyWatcher;

  /**
   * @param watchMs - Duration of one watch; bounds the delay after a lost notification.
   */
  constructor(
    kv: KeyValueClient,
    watchMs: number,
    metrics: MetricRegistry,
    log: Logger,
    links: () => Iterable<ConfigPeerLink>,
  ) {
    const offerCounter = metrics.counter<ConfigOfferOutcome>(
      'config_offers',
      'Configurations seen.',
      'outcome',
    );
    this.activeConfig = new ActiveConfig(offerCounter, log);
    this.peerSync = new ConfigPeerSync(this.activeConfig, links);
    this.watcher = new KeyWatcher(kv, CONFIG_KEY, watchMs, entry => {
      if (entry !== null) this.activeConfig.offer(entry.value, 'platform');
    });
    metrics.gauge(
      'config_generation',
      'Generation in force here.',
      () => this.activeConfig.generation,
    );
  }

  start(): void {
    this.watcher.start();
  }

  dispose(): void {
    this.watcher.dispose();
    this.peerSync.dispose();
  }
}
