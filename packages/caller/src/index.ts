export {
  CallerHttpServer,
  type CallerBackend,
  type CallerIdentity,
  type CallerHttpServerLimits,
} from './lib/caller_http_server.ts';
export type {ResponseSink, ValidatedRequest} from './lib/response_sink.ts';
export {CompletionSink} from './lib/completion_sink.ts';
export {ServiceSink} from './lib/service_sink.ts';
export {
  errorResponseFor,
  rejectionResponse,
  type ErrorResponse,
  type RejectionCode,
} from './lib/error_response.ts';
export {announcedBytes, readBody, type BodyMemory, type BodyReadResult} from './lib/body_reader.ts';
export {onCallerDisconnect} from './lib/response_writer.ts';
export {RequestSequence, type RequestSequenceEvents} from './lib/request_sequence.ts';
