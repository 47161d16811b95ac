/** Command line of a daemon: settings in, a running program or one clear error out. */
import {binary, boolean, command, flag, run} from 'cmd-ts';
import {messageOf} from './errors.ts';
import {optionsFrom, printSettings, type SettingSpec} from './settings.ts';

const EXIT_BAD_SETTINGS = 2;

/**
 * Parses flags and environment variables and starts a daemon.
 *
 * @example
 * await runProgram('jasminepost-entry', ENTRY_SETTINGS, raw => startEntry(check(raw)));
 * @public
 */
export async function runProgram<K extends string>(
  name: string,
  specs: Readonly<Record<K, SettingSpec>>,
  start: (raw: Record<K, string>) => Promise<void>,
): Promise<void> {
  const printFlag = flag({
    type: boolean,
    long: 'print-settings',
    description: 'Print the settings in force and stop',
  });
  const program = command({
    name,
    args: {...optionsFrom(specs), printSettings: printFlag},
    handler: async args => {
      const raw = args as unknown as Record<K, string> & {readonly printSettings: boolean};
      if (raw.printSettings) {
        process.stdout.write(`${printSettings(specs, raw)}\n`);
        return;
      }
      try {
        await start(raw);
      } catch (thrown) {
        process.stderr.write(`${name}: ${messageOf(thrown)}\n`);
        process.exit(EXIT_BAD_SETTINGS);
      }
    },
  });
  await run(binary(program), process.argv);
}
