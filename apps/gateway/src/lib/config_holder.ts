/** The configuration in force; it is never replaced by an older one. */
import type {Logger} from '@jasminepost/core';
import {decodeConfig} from '@jasminepost/platform';
import type {EngineSpec, FleetConfig} from '@jasminepost/serving';

/** @internal */
export class ConfigHolder {
  private config: FleetConfig | undefined;

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

  /** Takes in a document; one that is malformed or not newer changes nothing. */
  take(text: string, revision: number): void {
    const decoded = decodeConfig(text);
    if (!decoded.ok) {
      const {error} = decoded;
      this.log.error('configuration malformed, the last one stays', {error, revision});
      return;
    }
    const config = decoded.value;
    if (this.config !== undefined && config.version <= this.config.version) return;
    this.config = config;
    this.onApplied(config);
    const {version, routes} = config;
    this.log.info('configuration in force', {version, revision, routes: routes.length});
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
