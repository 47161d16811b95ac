/** The active configuration; it is never replaced by an older one. */
import type {Logger} from '@jasminepost/core';
import {decodeConfig, type StorePosition} from '@jasminepost/platform';
import type {EngineSpec, FleetConfig} from '@jasminepost/serving';

/** @internal */
export class ActiveConfig {
  private config: FleetConfig | undefined;
  private text = '';
  /** Store era in which the active configuration was read. */
  private era = 0;

  /**
   * @param onApplied - Called with each configuration that becomes active.
   */
  constructor(
    private readonly log: Logger,
    private readonly onApplied: (config: FleetConfig) => void,
  ) {}

  /** Version of the active configuration; 0 before the first one. */
  get version(): number {
    return this.config?.version ?? 0;
  }

  get isKnown(): boolean {
    return this.config !== undefined;
  }

  /**
   * Applies a document unless it is malformed or not newer. A store that was restored from an older
   * copy may reissue a version number with different content; such a document is applied too.
   */
  apply(text: string, {era, revision}: StorePosition): void {
    const startedMs = performance.now();
    const decoded = decodeConfig(text);
    if (!decoded.ok) {
      const {error} = decoded;
      this.log.error('configuration malformed, keeping the active one', {error, revision});
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
      organisations: config.organisations?.length,
      chars: text.length,
      tookMs: Math.round(performance.now() - startedMs),
    });
  }

  /** Engine settings of a service; undefined for a plain or unknown one. */
  engineOf(service: string): EngineSpec | undefined {
    return this.config?.services.get(service)?.engine;
  }

  /** Services of the routes whose streams callers may resume. */
  resumableServices(): Iterable<string> {
    const routes = this.config?.routes.filter(({resumable}) => resumable) ?? [];
    return new Set(routes.flatMap(({backends}) => backends.map(({service}) => service)));
  }

  /** All model services with their engine settings. */
  engines(): Array<{readonly service: string; readonly spec: EngineSpec}> {
    return [...(this.config?.services.values() ?? [])].flatMap(({name, engine}) =>
      engine === undefined ? [] : [{service: name, spec: engine}],
    );
  }
}
