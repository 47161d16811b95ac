/** Reads declaration and answers files, with errors that name the file and the path in it. */
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

/** Reads and validates a declaration. @internal */
export async function readDeclaration(file: string): Promise<Declaration> {
  return parseDeclaration(file, await readText(file));
}

/** Runs a command; prints errors in its input and sets the exit code for them. @internal */
export async function reportInputErrors(run: () => Promise<void>): Promise<void> {
  try {
    await run();
  } catch (thrown) {
    if (!(thrown instanceof DeclarationError)) throw thrown;
    process.stderr.write(`${thrown.message}\n`);
    process.exitCode = EXIT_CODES.invalidInput;
  }
}
