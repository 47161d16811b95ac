/** Settings of the gateway program. */
import {parseBoundedInteger, SettingsError} from '@jasminepost/core';
import {parseProgramSettings, PROGRAM_SETTINGS, type ProgramSettings} from '@jasminepost/platform';

const MAX_CROSS_ZONE_MS = 10_000;
const MAX_CROSS_ZONE_MS_PER_MB = 1_000_000;

/** @internal */
export const GATEWAY_SETTINGS = {
  ...PROGRAM_SETTINGS,
  crossZoneMs: {
    flag: 'cross-zone-ms',
    help: 'Round-trip time to another availability zone, in milliseconds',
    fallback: '3',
  },
  crossZoneMsPerMb: {
    flag: 'cross-zone-ms-per-mb',
    help: 'Milliseconds of wait that a request must save for each megabyte sent between zones',
    fallback: '2000',
  },
  zoneOverflow: {
    flag: 'zone-overflow',
    help: 'on: the share of requests that leaves the zone follows the load; off: at a fixed cost',
    fallback: 'off',
  },
} as const;

/** @internal */
export interface GatewaySettings extends ProgramSettings {
  readonly crossZoneMs: number;
  readonly crossZoneMsPerMb: number;
  readonly zoneOverflow: boolean;
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
    crossZoneMsPerMb: parseBoundedInteger(
      'cross-zone-ms-per-mb',
      raw.crossZoneMsPerMb,
      0,
      MAX_CROSS_ZONE_MS_PER_MB,
    ),
    zoneOverflow: parseSwitch('zone-overflow', raw.zoneOverflow),
  };
}

function parseSwitch(flag: string, text: string): boolean {
  if (text !== 'on' && text !== 'off') {
    throw new SettingsError(`--${flag}`, JSON.stringify(text), 'on or off');
  }
  return text === 'on';
}
