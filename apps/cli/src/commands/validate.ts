/** `jasminepost validate FILE`: validates a declaration. */
import {command, positional, string} from 'cmd-ts';
import {readDeclaration, reportInputErrors} from '../lib/input_files.ts';

/** @internal */
export const validateCommand = command({
  name: 'validate',
  description: 'Validate a declaration file',
  args: {file: positional({type: string, displayName: 'file'})},
  handler: ({file}) =>
    reportInputErrors(async () => {
      const declaration = await readDeclaration(file);
      const {organisations, models, services} = declaration;
      process.stdout.write(
        `${file}: valid: ${organisations.length} organisations, ${models.length} models, ` +
          `${services.length} services\n`,
      );
    }),
});
