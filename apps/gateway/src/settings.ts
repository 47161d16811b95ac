/** Settings of a gateway: those of the platform's file, and flags of its own. */
import {checkDuration} from '@jasminepost/core';
import {readProcessSettings, type ProcessSettings} from '@jasminepost/platform';

const MAX_PORT = 65_535;

/** @internal */
export const GATEWAY_SETTINGS = {
  config: {flag: 'config', help: 'Settings file that the platform writes'},
  meshKey: {flag: 'mesh-key', help: 'Key shared by all processes', secret: true},
  metricsPort: {flag: 'metrics-port', help: 'Port of the metrics page', fallback: '9464'},
  logLevel: {flag: 'log-level', help: 'error, warn, info or debug', fallback: 'info'},
  crossZoneMs: {
    flag: 'cross-zone-ms',
    help: 'Round trip to another availability zone',
    fallback: '3',
  },
} as const;

/** @internal */
export interface GatewaySettings {
  readonly process: ProcessSettings;
  readonly configPath: string;
  readonly meshKey: string;
  readonly metricsPort: number;
  readonly logLevel: string;
  readonly crossZoneMs: number;
}

/**
 * Checks the settings.
 *
 * @throws SettingsError naming the flag or the field.
 * @internal
 */
export function checkGatewaySettings(
  raw: Readonly<Record<keyof typeof GATEWAY_SETTINGS, string>>,
): GatewaySettings {
  return {
    process: readProcessSettings(raw.config),
    configPath: raw.config,
    meshKey: raw.meshKey,
    metricsPort: checkDuration('metrics-port', raw.metricsPort, 1, MAX_PORT),
    logLevel: raw.logLevel,
    crossZoneMs: checkDuration('cross-zone-ms', raw.crossZoneMs, 0, 10_000),
  };
}
