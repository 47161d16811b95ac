export {
  EngineClient,
  type EngineOrder,
  type EngineState,
  type OrderReply,
} from './lib/engine_client.ts';
export {streamCompletion, type CompletionInput} from './lib/completion_call.ts';
export {CompletionEventParser} from './lib/completion_event_parser.ts';
