/** Command line of the daemons. */
import {binary, boolean, command, flag, run} from 'cmd-ts';
import {errorMessage} from './errors.ts';
import {createOptions, formatSettings, type SettingSpec} from './settings.ts';

const EXIT_BAD_SETTINGS = 2;

/**
 * Parses flags and environment variables and starts a daemon. An error during the start is printed
 * as one line, and the process exits.
 *
 * @example
 * await runProgram('jasminepost-entry', ENTRY_SETTINGS, raw => startEntry(parse(raw)));
 * @public
 */
export async function runProgram<K extends string>(
  name: string,
  specs: Readonly<Record<K, SettingSpec>>,
  start: (raw: Record<K, string>) => Promise<void>,
): Promise<void> {
  const printSettingsFlag = flag({
    type: boolean,
    long: 'print-settings',
    description: 'Print the effective settings and exit',
  });
  const program = command({
    name,
    args: {...createOptions(specs), printSettings: printSettingsFlag},
    handler: async args => {
      const raw = args as unknown as Record<K, string> & {readonly printSettings: boolean};
      if (raw.printSettings) {
        process.stdout.write(`${formatSettings(specs, raw)}\n`);
        return;
      }
      try {
        await start(raw);
      } catch (thrown) {
        process.stderr.write(`${name}: ${errorMessage(thrown)}\n`);
        process.exit(EXIT_BAD_SETTINGS);
      }
    },
  });
  await run(binary(program), process.argv);
}
