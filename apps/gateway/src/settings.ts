/** Settings of the gateway program. */
import {parseBoundedInteger} from '@jasminepost/core';
import {parseProgramSettings, PROGRAM_SETTINGS, type ProgramSettings} from '@jasminepost/platform';

const MAX_CROSS_ZONE_MS = 10_000;

/** @internal */
export const GATEWAY_SETTINGS = {
  ...PROGRAM_SETTINGS,
  crossZoneMs: {
    flag: 'cross-zone-ms',
    help: 'Round-trip time to another availability zone, in milliseconds',
    fallback: '3',
  },
} as const;

/** @internal */
export interface GatewaySettings extends ProgramSettings {
  readonly crossZoneMs: number;
}

/**
 * Parses and validates the settings.
 *
 * @throws SettingsError that names the malformed flag or field.
 * @internal
 */
export function parseGatewaySettings(
  raw: Readonly<Record<keyof typeof GATEWAY_SETTINGS, string>>,
): GatewaySettings {
  return {
    ...parseProgramSettings(raw),
    crossZoneMs: parseBoundedInteger('cross-zone-ms', raw.crossZoneMs, 0, MAX_CROSS_ZONE_MS),
  };
}
