/**
 * Spreads the configuration between peers, so that an outage of the key-value service or a lost
 * watch does not hold it up. Only the generation is announced; who lacks it pulls the document.
 */
import type {MeshMessage} from '@jasminepost/mesh';
import type {ActiveConfig} from './active_config.ts';

/** The platform's own watch usually delivers within this time, which saves the pull. */
const PULL_DELAY_MS = 400;

/** @public */
export interface ConfigPeerLink {
  send(message: MeshMessage): boolean;
}

/** @public */
export class ConfigPeerSync {
  private pullTimer: NodeJS.Timeout | undefined;

  /**
   * @param links - All links that are up.
   */
  constructor(
    private readonly activeConfig: ActiveConfig,
    private readonly links: () => Iterable<ConfigPeerLink>,
  ) {
    activeConfig.onApplied(() => {
      for (const link of this.links()) this.announce(link);
    });
  }

  /** Tells a new peer what is in force here. */
  announce(link: ConfigPeerLink): void {
    const {generation, hash} = this.activeConfig;
    if (generation > 0) link.send({type: 'config_have', generation, hash});
  }

  /** Handles a configuration message; false when it is of another kind. */
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
