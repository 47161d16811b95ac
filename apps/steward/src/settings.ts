/** Settings of a steward. */
import {SettingsError, type HostPort} from '@jasminepost/core';
import {parseProgramSettings, PROGRAM_SETTINGS, type ProgramSettings} from '@jasminepost/platform';

/** @internal */
export const STEWARD_SETTINGS = PROGRAM_SETTINGS;

/** @internal */
export interface StewardSettings extends ProgramSettings {
  /** The replica beside this process. */
  readonly replica: HostPort;
}

/**
 * Checks the settings.
 *
 * @throws SettingsError naming the flag or the field.
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
