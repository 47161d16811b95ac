/** `jasminepost questionnaire`: generates a declaration from answers to a questionnaire. */
import {createInterface} from 'node:readline/promises';
import {command, option, optional, string} from 'cmd-ts';
import {DeclarationError, errorMessage} from '@jasminepost/core';
import {
  applyAnswers,
  declarationSchema,
  parseAnswers,
  QUESTIONS,
  type Answers,
  type Declaration,
} from '@jasminepost/operator';
import {readDeclaration, readText, reportInputErrors} from '../lib/input_files.ts';

/** @internal */
export const questionnaireCommand = command({
  name: 'questionnaire',
  description: 'Generate a declaration from answers and print it',
  args: {
    answers: option({
      type: optional(string),
      long: 'answers',
      description: 'File with answers; without it, questions are asked in the terminal',
    }),
    base: option({
      type: optional(string),
      long: 'base',
      description: 'Declaration to which the organisation is added',
    }),
  },
  handler: ({answers: answersFile, base: baseFile}) =>
    reportInputErrors(async () => {
      const base = baseFile === undefined ? emptyDeclaration() : await readDeclaration(baseFile);
      const answers =
        answersFile === undefined
          ? await askAnswers()
          : parseAnswers(answersFile, await readText(answersFile));
      process.stdout.write(`${JSON.stringify(applyAnswers(base, answers), null, 2)}\n`);
    }),
});

function emptyDeclaration(): Declaration {
  return declarationSchema.parse({version: 1, organisations: [], models: []});
}

async function askAnswers(): Promise<Answers> {
  const terminal = createInterface({input: process.stdin, output: process.stderr});
  const answersByField: Record<string, unknown> = {};
  try {
    for (const question of QUESTIONS) {
      const typed = await terminal.question(`${question.text}: `);
      if (typed.trim() !== '') answersByField[question.field] = parseInput(question, typed.trim());
    }
  } finally {
    terminal.close();
  }
  return parseAnswers('(terminal)', JSON.stringify(answersByField));
}

function parseInput(question: (typeof QUESTIONS)[number], typed: string): unknown {
  try {
    return question.parse(typed);
  } catch (thrown) {
    const issue = {path: question.field, found: typed, wanted: errorMessage(thrown)};
    throw new DeclarationError('(terminal)', [issue]);
  }
}
