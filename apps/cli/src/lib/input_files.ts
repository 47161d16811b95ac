/** Reads declarations and answers, with errors that name file and path. */
import {readFile} from 'node:fs/promises';
import {DeclarationError, errorMessage} from '@jasminepost/core';
import {parseDeclaration, type Declaration} from '@jasminepost/operator';
import {EXIT_CODES} from './exit_codes.ts';

/** @internal */
export async function readText(file: string): Promise<string> {
  try {
    return await readFile(file, 'utf8');
  } catch (thrown) {
    throw new DeclarationError(file, [
      {path: '(file)', found: errorMessage(thrown), wanted: 'a readable file'},
    ]);
  }
}

/** Reads and checks a declaration. @internal */
export async function readDeclaration(file: string): Promise<Declaration> {
  return parseDeclaration(file, await readText(file));
}

/** Runs a command; a fault in its input ends the process with its own exit code. @internal */
export async function reportInputErrors(run: () => Promise<void>): Promise<void> {
  try {
    await run();
  } catch (thrown) {
    if (!(thrown instanceof DeclarationError)) throw thrown;
    process.stderr.write(`${thrown.message}\n`);
    process.exitCode = EXIT_CODES.invalidInput;
  }
}
