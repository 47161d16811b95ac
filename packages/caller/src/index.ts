export {
  HttpFront,
  type CallerBackend,
  type CallerIdentity,
  type FrontLimits,
} from './lib/http_front.ts';
export type {AnswerSink, CallerCall} from './lib/answer_sink.ts';
export {CompletionSink} from './lib/completion_sink.ts';
export {ServiceSink} from './lib/service_sink.ts';
export {failureOf, refusal, type CallerFailure, type RefusalCode} from './lib/caller_failure.ts';
export {readBody, type BodyOutcome} from './lib/body_reader.ts';
export {whenGone} from './lib/response_writer.ts';
