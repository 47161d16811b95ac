/** Command line for operators. */
import {binary, run, subcommands} from 'cmd-ts';
import {errorMessage} from '@jasminepost/core';
import {acceptCommand} from './commands/accept.ts';
import {drainCommand, explainCommand, modelsCommand, statusCommand} from './commands/fleet.ts';
import {questionnaireCommand} from './commands/questionnaire.ts';
import {reviewCommand} from './commands/review.ts';
import {validateCommand} from './commands/validate.ts';
import {EXIT_CODES} from './lib/exit_codes.ts';

const program = subcommands({
  name: 'jasminepost',
  cmds: {
    questionnaire: questionnaireCommand,
    validate: validateCommand,
    review: reviewCommand,
    accept: acceptCommand,
    status: statusCommand,
    models: modelsCommand,
    drain: drainCommand,
    explain: explainCommand,
  },
});

run(binary(program), process.argv).catch((thrown: unknown) => {
  process.stderr.write(`${errorMessage(thrown)}\n`);
  process.exit(EXIT_CODES.failed);
});
