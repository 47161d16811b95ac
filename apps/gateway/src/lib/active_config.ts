/** The configuration in force; it is never replaced by an older one. */
import type {Logger} from '@jasminepost/core';
import {decodeConfig, type StorePosition} from '@jasminepost/platform';
import type {EngineSpec, FleetConfig} from '@jasminepost/serving';

/** @internal */
export class ActiveConfig {
  private config: FleetConfig | undefined;
  private text = '';
  /** Newest era of the store in which the configuration in force was read. */
  private era = 0;

  /**
   * @param onApplied - Called with each configuration that comes into force.
   */
  constructor(
    private readonly log: Logger,
    private readonly onApplied: (config: FleetConfig) => void,
  ) {}

  /** Version in force; 0 before the first. */
  get version(): number {
    return this.config?.version ?? 0;
  }

  get isKnown(): boolean {
    return this.config !== undefined;
  }

  /**
   * Takes in a document; one that is malformed or not newer changes nothing. A store that came back
   * from a copy may give a version out again, with another content.
   */
  apply(text: string, {era, revision}: StorePosition): void {
    const startedMs = performance.now();
    const decoded = decodeConfig(text);
    if (!decoded.ok) {
      const {error} = decoded;
      this.log.error('configuration malformed, the last one stays', {error, revision});
      return;
    }
    const config = decoded.value;
    const {version} = config;
    const isReissued = version === this.version && era > this.era && text !== this.text;
    if (this.config !== undefined && version <= this.version && !isReissued) return;
    this.config = config;
    this.text = text;
    this.era = era;
    this.onApplied(config);
    this.log.info('configuration in force', {
      version,
      era,
      revision,
      routes: config.routes.length,
      chars: text.length,
      tookMs: Math.round(performance.now() - startedMs),
    });
  }

  /** Undefined for a plain or unknown service. */
  engineOf(service: string): EngineSpec | undefined {
    return this.config?.services.get(service)?.engine;
  }

  /** All model services. */
  engines(): Array<{readonly service: string; readonly spec: EngineSpec}> {
    return [...(this.config?.services.values() ?? [])].flatMap(({name, engine}) =>
      engine === undefined ? [] : [{service: name, spec: engine}],
    );
  }
}
