export {parseCrashNews, type CrashNewsMessage} from './lib/crash_news.ts';
export type {LimitNewsMessage, PermitAskMessage, PermitGrantMessage} from './lib/limit_messages.ts';
export {diffEngineState, applyEngineChange} from './lib/engine_state_diff.ts';
export {FrameDecoder, encodeFrame, MAX_FRAME_BYTES} from './lib/frame_codec.ts';
export {HandshakeAuthenticator} from './lib/handshake_authenticator.ts';
export {
  parseMessage,
  type AckMessage,
  type CancelMessage,
  type ChunkMessage,
  type ConfigDocumentMessage,
  type ConfigHaveMessage,
  type DemandMessage,
  type EndMessage,
  type EngineChangeMessage,
  type EngineLoadMessage,
  type EngineStateMessage,
  type FailMessage,
  type HeadMessage,
  type LoadMessage,
  type MemberInfo,
  type MemberRole,
  type MeshMessage,
  type ModelDemandMessage,
  type OperatorAskMessage,
  type PlacementMessage,
  type StartMessage,
  type StatusMessage,
  type SuspectMessage,
} from './lib/messages.ts';
export {
  MAX_ASKED_STREAMS,
  MAX_STREAM_NAME_LENGTH,
  type StreamsReplyMessage,
} from './lib/stream_messages.ts';
export type {StoreChangesMessage} from './lib/store_messages.ts';
export {MeshLink, type LinkCloseReason} from './lib/mesh_link.ts';
export {MeshServer, type MeshServerEvents} from './lib/mesh_server.ts';
export {MeshClient, type MeshClientEvents} from './lib/mesh_client.ts';
export {Fleet, type FleetEvents, type Replica, type SidecarAddress} from './lib/fleet.ts';
