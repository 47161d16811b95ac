/** Background load: callers that send requests in a loop. */
import {errorMessage} from '@jasminepost/core';
import {complete, isCompleteResponseTo, type CompletionResponse} from './caller.ts';

/** Pause of a caller between two requests. */
const REQUEST_INTERVAL_MS = 5;

export interface LoadOptions {
  readonly callers: number;
  readonly tokens: number;
  readonly key: string;
  /** Requests per caller; without it they continue until stopped. */
  readonly requests?: number;
  /** Chooses the entry for the next request, like the platform's load balancer. */
  url(caller: number): string;
}

export interface LoadResponse {
  readonly prompt: string;
  readonly answer: CompletionResponse | undefined;
  readonly thrown: string;
}

export class LoadRun {
  readonly answers: LoadResponse[] = [];
  private stopped = false;
  private readonly done: Promise<unknown>;

  constructor(private readonly options: LoadOptions) {
    const callers = Array.from({length: options.callers}, (_, i) => this.runCaller(i));
    this.done = Promise.all(callers);
  }

  /** Stops after every caller's current request. */
  async stop(): Promise<void> {
    this.stopped = true;
    await this.done;
  }

  /** Waits until every caller has sent all its requests. */
  async waitUntilDone(): Promise<void> {
    await this.done;
  }

  /** Responses that are missing, incomplete or belong to another request. */
  faults(): string[] {
    return this.answers
      .filter(
        ({prompt, answer}) =>
          answer === undefined || !isCompleteResponseTo(answer, prompt, this.options.tokens),
      )
      .map(({prompt, answer, thrown}) => {
        const code = answer?.error?.code ?? (answer?.cut === true ? 'cut' : '');
        return `${prompt}: ${thrown}${answer?.status ?? ''} ${code} ${answer?.text.slice(0, 60) ?? ''}`;
      });
  }

  private async runCaller(caller: number): Promise<void> {
    const {requests = Number.POSITIVE_INFINITY, tokens, key} = this.options;
    for (let i = 0; i < requests && !this.stopped; i++) {
      const prompt = `caller ${caller} request ${i}`;
      try {
        const url = this.options.url(caller);
        this.answers.push({prompt, answer: await complete({url, key, tokens, prompt}), thrown: ''});
      } catch (thrown) {
        this.answers.push({prompt, answer: undefined, thrown: describe(thrown)});
      }
      await new Promise(resolve => setTimeout(resolve, REQUEST_INTERVAL_MS));
    }
  }
}

function describe(thrown: unknown): string {
  const {cause} = thrown as {readonly cause?: unknown};
  return cause instanceof Error
    ? `${errorMessage(thrown)}: ${cause.message}`
    : errorMessage(thrown);
}
