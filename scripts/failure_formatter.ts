/** Prints a failed scenario as soon as it fails, so that an aborted run shows its failures too. */
import {Formatter, Status, type IFormatterOptions} from '@cucumber/cucumber';

const MAX_MESSAGE_LINES = 6;

/** Cucumber's message about a scenario that has ended. */
interface Envelope {
  readonly testCaseFinished?: {readonly testCaseStartedId: string};
}

class FailureFormatter extends Formatter {
  constructor(options: IFormatterOptions) {
    super(options);
    options.eventBroadcaster.on('envelope', ({testCaseFinished}: Envelope) => {
      if (testCaseFinished !== undefined) this.onScenarioEnd(testCaseFinished.testCaseStartedId);
    });
  }

  private onScenarioEnd(id: string): void {
    const {pickle, worstTestStepResult} = this.eventDataCollector.getTestCaseAttempt(id);
    const {status, message = ''} = worstTestStepResult;
    if (String(status) === String(Status.PASSED)) {
      this.log('.');
      return;
    }
    const lines = message.split('\n').slice(0, MAX_MESSAGE_LINES).join('\n  ');
    this.log(`\n${status} ${pickle.uri}: ${pickle.name}\n  ${lines}\n`);
  }
}

// Cucumber requires a default export.
export {FailureFormatter as default};
