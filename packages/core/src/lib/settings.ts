/** Program settings: each is a flag and an environment variable, and the flag takes precedence. */
import {option, string, type Type} from 'cmd-ts';
import {SettingsError} from './errors.ts';

const ENV_PREFIX = 'JASMINEPOST_';

/** @public */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Declares one setting; `flag` is kebab-case. @internal */
export interface SettingSpec {
  readonly flag: string;
  readonly help: string;
  readonly fallback?: string;
  readonly secret?: boolean;
}

/** Environment variable of a flag: `mesh-key` is `JASMINEPOST_MESH_KEY`. */
function environmentVariableFor(flag: string): string {
  return ENV_PREFIX + flag.toUpperCase().replaceAll('-', '_');
}

type SettingOption = ReturnType<typeof option<Type<string, string>>>;

/**
 * Creates `cmd-ts` options from setting specifications.
 *
 * @example
 * command({name: 'jasminepost-entry', args: createOptions(ENTRY_SETTINGS), handler});
 * @public
 */
export function createOptions<K extends string>(
  specs: Readonly<Record<K, SettingSpec>>,
): Record<K, SettingOption> {
  const options = {} as Record<K, SettingOption>;
  for (const key of Object.keys(specs) as K[]) {
    const spec = specs[key];
    const fallback = spec.fallback;
    options[key] = option({
      type: string,
      long: spec.flag,
      env: environmentVariableFor(spec.flag),
      description: spec.help,
      ...(fallback === undefined ? {} : {defaultValue: () => fallback}),
    });
  }
  return options;
}

/** Settings as JSON with secrets redacted, for `--print-settings`. @public */
export function formatSettings<K extends string>(
  specs: Readonly<Record<K, SettingSpec>>,
  values: Readonly<Record<K, string>>,
): string {
  const shown: Record<string, string> = {};
  for (const key of Object.keys(specs) as K[]) {
    shown[specs[key].flag] = specs[key].secret === true ? '[redacted]' : values[key];
  }
  return JSON.stringify(shown, null, 2);
}

/**
 * Parses `host:port`.
 *
 * @throws SettingsError that names the flag.
 * @public
 */
export function parseHostPort(flag: string, text: string): HostPort {
  const colonIndex = text.lastIndexOf(':');
  const port = Number(text.slice(colonIndex + 1));
  const valid = colonIndex > 0 && Number.isInteger(port) && port >= 0 && port <= 65_535;
  if (!valid) throw new SettingsError(`--${flag}`, JSON.stringify(text), 'host:port');
  return {host: text.slice(0, colonIndex), port};
}

/**
 * Parses an integer within bounds, such as a duration in milliseconds.
 *
 * @throws SettingsError that names the flag.
 * @public
 */
export function parseBoundedInteger(flag: string, text: string, min: number, max: number): number {
  const value = Number(text);
  const valid = text.trim() !== '' && Number.isInteger(value) && value >= min && value <= max;
  if (!valid) {
    throw new SettingsError(`--${flag}`, JSON.stringify(text), `a whole number ${min} to ${max}`);
  }
  return value;
}
