/** Settings of a gateway. */
import {parseBoundedInteger} from '@jasminepost/core';
import {parseProgramSettings, PROGRAM_SETTINGS, type ProgramSettings} from '@jasminepost/platform';

const MAX_CROSS_ZONE_MS = 10_000;

/** @internal */
export const GATEWAY_SETTINGS = {
  ...PROGRAM_SETTINGS,
  crossZoneMs: {
    flag: 'cross-zone-ms',
    help: 'Round trip to another availability zone',
    fallback: '3',
  },
} as const;

/** @internal */
export interface GatewaySettings extends ProgramSettings {
  readonly crossZoneMs: number;
}

/**
 * Checks the settings.
 *
 * @throws SettingsError naming the flag or the field.
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
