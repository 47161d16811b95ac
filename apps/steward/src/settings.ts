/** Settings of a steward: those of the platform's file, and flags of its own. */
import {checkDuration, SettingsError, type HostPort} from '@jasminepost/core';
import {readProcessSettings, type ProcessSettings} from '@jasminepost/platform';

const MAX_PORT = 65_535;

/** @internal */
export const STEWARD_SETTINGS = {
  config: {flag: 'config', help: 'Settings file that the platform writes'},
  meshKey: {flag: 'mesh-key', help: 'Key shared by all processes', secret: true},
  metricsPort: {flag: 'metrics-port', help: 'Port of the metrics page', fallback: '9464'},
  logLevel: {flag: 'log-level', help: 'error, warn, info or debug', fallback: 'info'},
} as const;

/** @internal */
export interface StewardSettings {
  readonly process: ProcessSettings;
  /** The replica beside this process. */
  readonly replica: HostPort;
  readonly meshKey: string;
  readonly metricsPort: number;
  readonly logLevel: string;
}

/**
 * Checks the settings.
 *
 * @throws SettingsError naming the flag or the field.
 * @internal
 */
export function checkStewardSettings(
  raw: Readonly<Record<keyof typeof STEWARD_SETTINGS, string>>,
): StewardSettings {
  const process = readProcessSettings(raw.config);
  if (process.replica === undefined) throw new SettingsError('app', 'nothing', 'host:port');
  return {
    process,
    replica: process.replica,
    meshKey: raw.meshKey,
    metricsPort: checkDuration('metrics-port', raw.metricsPort, 1, MAX_PORT),
    logLevel: raw.logLevel,
  };
}
