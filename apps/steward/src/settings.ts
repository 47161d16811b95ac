/** Settings of the steward program. */
import {SettingsError, type HostPort} from '@jasminepost/core';
import {parseProgramSettings, PROGRAM_SETTINGS, type ProgramSettings} from '@jasminepost/platform';

/** @internal */
export const STEWARD_SETTINGS = PROGRAM_SETTINGS;

/** @internal */
export interface StewardSettings extends ProgramSettings {
  /** Address of the local model replica. */
  readonly replica: HostPort;
}

/**
 * Parses and validates the raw settings.
 *
 * @throws SettingsError that names the malformed flag or field.
 * @internal
 */
export function parseStewardSettings(
  raw: Readonly<Record<keyof typeof STEWARD_SETTINGS, string>>,
): StewardSettings {
  const settings = parseProgramSettings(raw);
  const {replica} = settings.process;
  if (replica === undefined) throw new SettingsError('app', 'nothing', 'host:port');
  return {...settings, replica};
}
