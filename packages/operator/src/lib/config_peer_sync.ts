/**
 * Exchanges the configuration between peers, so that an outage of the key-value service or a
 * failed watch does not delay it. Peers announce their generation; a peer with an older one pulls
 * the document.
 */
import type {MeshMessage} from '@jasminepost/mesh';
import type {ActiveConfig} from './active_config.ts';

/** Delay before a pull, within which the watch usually delivers the document anyway. */
const PULL_DELAY_MS = 400;

/** @public */
export interface ConfigPeerLink {
  send(message: MeshMessage): boolean;
}

/** @public */
export class ConfigPeerSync {
  private pullTimer: NodeJS.Timeout | undefined;

  /**
   * @param links - All connected links.
   */
  constructor(
    private readonly activeConfig: ActiveConfig,
    private readonly links: () => Iterable<ConfigPeerLink>,
  ) {
    activeConfig.onApplied(() => {
      for (const link of this.links()) this.announce(link);
    });
  }

  /** Announces the active generation to a peer. */
  announce(link: ConfigPeerLink): void {
    const {generation, hash} = this.activeConfig;
    if (generation > 0) link.send({type: 'config_have', generation, hash});
  }

  /** Handles a configuration message; returns false for other message types. */
  receive(link: ConfigPeerLink, message: MeshMessage): boolean {
    switch (message.type) {
      case 'config_have':
        if (message.generation > this.activeConfig.generation)
          this.schedulePull(link, message.generation);
        return true;
      case 'config_pull': {
        const document = this.activeConfig.current?.document.text;
        if (document !== undefined) link.send({type: 'config_document', document});
        return true;
      }
      case 'config_document':
        this.activeConfig.offer(message.document, 'peer');
        return true;
      default:
        return false;
    }
  }

  dispose(): void {
    clearTimeout(this.pullTimer);
  }

  private schedulePull(link: ConfigPeerLink, generation: number): void {
    if (this.activeConfig.generation === 0) {
      link.send({type: 'config_pull'});
      return;
    }
    if (this.pullTimer !== undefined) return;
    this.pullTimer = setTimeout(
      () => {
        this.pullTimer = undefined;
        if (generation > this.activeConfig.generation) link.send({type: 'config_pull'});
      },
      PULL_DELAY_MS * (0.5 + Math.random()),
    );
  }
}
