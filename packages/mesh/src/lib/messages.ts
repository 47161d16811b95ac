/** Messages between the processes of this system, and their validation. */
import * as z from 'zod';
import {
  COMPLETED_REASONS,
  err,
  MAY_HAVE_RUN_REASONS,
  NOT_RUN_REASONS,
  ok,
  type Result,
} from '@jasminepost/core';
import {crashNews} from './crash_news.ts';
import {limitNews, permitAsk, permitGrant} from './limit_messages.ts';
import {storeChanges, timeEcho} from './store_messages.ts';
import {streamBegun, streamsAsk, streamsReply} from './stream_messages.ts';

const MAX_NAME = 256;
const name = z.string().min(1).max(MAX_NAME);
const count = z.number().int().nonnegative();
const bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array, 'expected bytes');
const headers = z.record(z.string(), z.string());

const memberInfo = z.object({
  id: name,
  /** Increases with each start of the process. */
  incarnation: count,
  role: z.enum(['entry', 'sidecar', 'operator', 'gateway', 'steward']),
  zone: name,
});

const verdict = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('not_run'), reason: z.enum(NOT_RUN_REASONS)}),
  z.object({kind: z.literal('may_have_run'), reason: z.enum(MAY_HAVE_RUN_REASONS)}),
  z.object({kind: z.literal('completed'), reason: z.enum(COMPLETED_REASONS)}),
]);

const challenge = z.object({type: z.literal('challenge'), nonce: name});
const hello = z.object({
  type: z.literal('hello'),
  member: memberInfo,
  wallMs: z.number(),
  nonce: name,
  proof: name,
});
const welcome = z.object({type: z.literal('welcome'), member: memberInfo, proof: name});
const ping = z.object({type: z.literal('ping')});
const pong = z.object({type: z.literal('pong')});

const configHave = z.object({type: z.literal('config_have'), generation: count, hash: z.string()});
const configPull = z.object({type: z.literal('config_pull')});
const configDocument = z.object({type: z.literal('config_document'), document: z.string()});

/** A sidecar's report about its upstream; sent on connect and on change. */
const status = z.object({
  type: z.literal('status'),
  upstream: name,
  kind: z.enum(['engine', 'service']),
  /** Service name; empty for an engine. */
  service: z.string().max(MAX_NAME),
  leaving: z.boolean(),
  healthy: z.boolean(),
  models: z.array(name).max(4096),
  adapters: z.array(name).max(4096),
  /** Term while this sidecar is the planner, otherwise 0. */
  plannerTerm: count,
  freeMiB: count,
  totalMiB: count,
  slots: count,
});

/** A sidecar's load report; also serves as heartbeat. */
const load = z.object({
  type: z.literal('load'),
  /** Requests running or queued. */
  paid: count,
  trial: count,
  /** Mean time that a request occupies a slot. */
  serviceMs: count,
  /** Longest time until the next report. */
  nextMs: count,
});

/** Requests per model that an entry has received since its last report. */
const demand = z.object({
  type: z.literal('demand'),
  paid: z.record(z.string(), count),
  trial: z.record(z.string(), count),
  intervalMs: count,
});

const suspect = z.object({
  type: z.literal('suspect'),
  fingerprint: name,
  crashes: count,
  cleared: z.boolean(),
});

const start = z.object({
  type: z.literal('start'),
  attempt: count,
  /** Random number repeated in the attempt's frames; frames with another tag are ignored. */
  tag: count,
  requestId: name,
  /** Unique across all entries; identifies this attempt in a claim. */
  attemptId: name,
  organisation: name,
  class: z.enum(['paid', 'trial']),
  kind: z.enum(['engine', 'service']),
  /** Model or service name. */
  target: name,
  adapter: z.string().max(MAX_NAME),
  method: name,
  path: z.string().max(8192),
  headers,
  body: bytes,
  fingerprint: name,
  /** Time left for the whole request. */
  remainingMs: count,
  /** Empty when the request is idempotent. */
  idempotencyKey: z.string().max(MAX_NAME),
  /** Upstreams that requests with this fingerprint have crashed; a suspect runs alone. */
  crashes: count,
  /** True when another replica can be tried, so that a full one may redirect the request. */
  hasAlternative: z.boolean(),
  /** Tokens that the caller has already received. */
  resumeTokens: count,
  resumeText: z.string(),
});
const cancel = z.object({type: z.literal('cancel'), attempt: count});
const ack = z.object({type: z.literal('ack'), attempt: count, bytes: count});

const head = z.object({
  type: z.literal('head'),
  attempt: count,
  tag: count,
  status: z.number().int().min(100).max(599),
  headers,
  replayed: z.boolean(),
});
const chunk = z.object({
  type: z.literal('chunk'),
  attempt: count,
  tag: count,
  /** Position of the first event or byte in this attempt's response. */
  seq: count,
  /** Events of a completion that contain choices, each as JSON. */
  events: z.array(z.string()),
  /** Raw bytes of a response of a plain service. */
  data: bytes,
});
const end = z.object({
  type: z.literal('end'),
  attempt: count,
  tag: count,
  /** Total of events or bytes sent. */
  seq: count,
  /** Usage object as JSON; empty when the upstream sent none. */
  usage: z.string(),
});
const fail = z.object({
  type: z.literal('fail'),
  attempt: count,
  tag: count,
  verdict,
  retryAfterMs: count,
});

/** An operator's request to one process. */
const operatorAsk = z.object({
  type: z.literal('operator_ask'),
  ask: z.enum(['status', 'explain', 'drain']),
  /** Request id for `explain`. */
  subject: z.string().max(MAX_NAME),
});
const operatorReply = z.object({type: z.literal('operator_reply'), json: z.string()});

/** A steward's report of its replica's state; sent on connect and on change. */
const engineState = z.object({
  type: z.literal('engine_state'),
  /** False while the replica does not respond. */
  up: z.boolean(),
  /** True when the replica reports that it is leaving. */
  leaving: z.boolean(),
  /** The replica's rate limit in requests per second; 0 when it has none. */
  limitPerS: z.number().nonnegative(),
  /** Start of the replica's incarnation, in milliseconds since the Unix epoch. */
  bornMs: z.number(),
  models: z.array(z.object({name, adapters: z.array(name).max(4096)})).max(4096),
  /** Model that is being loaded or unloaded; empty if none. */
  moving: z.string().max(MAX_NAME),
  inMemory: z.array(name).max(4096),
  onDisk: z.array(name).max(4096),
  /** Highest planner term known to the steward, which ignores placements of earlier terms. */
  term: count,
  /** Placements of that term up to this number cause no further orders. */
  closed: count,
  /** Latest times at which loads from the weight store began, relative to sending this message. */
  loadsBeganMs: z.array(z.number()).max(4096),
});

/** Fields of the state that have changed since the previous message on the same link. */
const engineChange = engineState
  .partial()
  .omit({type: true})
  .extend({
    type: z.literal('engine_change'),
    /** Models no longer loaded; `models` has those that are new or whose adapters changed. */
    gone: z.array(name).max(4096).optional(),
  });

/** A steward's load report; also serves as heartbeat. */
const engineLoad = z.object({
  type: z.literal('engine_load'),
  running: count,
  waiting: count,
  /** Running requests that have not produced an event yet. */
  prefilling: count,
  kvUsed: count,
  kvTotal: count,
  /** Gateways linked to this steward. */
  gateways: count,
  nextMs: count,
});

/** Subscribes to frequent load reports, as the gateway sends requests to the steward's replica. */
const loadInterest = z.object({
  type: z.literal('load_interest'),
  /** Duration of the subscription. */
  validMs: count,
});

/** Informs a steward of the identity of its replica as listed by the platform. */
const replicaIdentity = z.object({
  type: z.literal('replica_identity'),
  id: name,
  bornMs: z.number(),
});

/** Requests an adapter, or reports that one is in use. */
const adapterWish = z.object({type: z.literal('adapter_wish'), model: name, adapter: name});

/** The planner's instruction to load or unload models of a replica. */
const placement = z.object({
  type: z.literal('placement'),
  term: count,
  /** Increases with each placement sent to the same steward in this term. */
  number: count,
  /** Time after arrival within which the placement may be executed. */
  validMs: count,
  /** Model to unload first; empty if none. */
  unload: z.string().max(MAX_NAME),
  /** Model to load; empty if none. */
  load: z.string().max(MAX_NAME),
  /** False when only weights cached on the replica may be used. */
  fromStore: z.boolean(),
});

/** Demand for models at one gateway since its last message to the planner. */
const modelDemand = z.object({
  type: z.literal('model_demand'),
  /** Time of sending on the gateway's monotonic clock, returned in `time_echo`. */
  sentMs: z.number().optional(),
  models: z
    .array(z.object({name, requests: count, urgent: count, prefillMs: count, waiting: count}))
    .max(4096),
});

const anyMessage = z.discriminatedUnion('type', [
  challenge,
  hello,
  welcome,
  ping,
  pong,
  configHave,
  configPull,
  configDocument,
  status,
  load,
  demand,
  suspect,
  crashNews,
  start,
  cancel,
  ack,
  head,
  chunk,
  end,
  fail,
  operatorAsk,
  operatorReply,
  engineState,
  engineChange,
  engineLoad,
  replicaIdentity,
  adapterWish,
  storeChanges,
  timeEcho,
  loadInterest,
  placement,
  modelDemand,
  streamBegun,
  streamsAsk,
  streamsReply,
  limitNews,
  permitAsk,
  permitGrant,
]);

/** @public */
export type MeshMessage = z.infer<typeof anyMessage>;
/** @public */
export type MemberInfo = z.infer<typeof memberInfo>;
/** @public */
export type MemberRole = MemberInfo['role'];
/** @public */
export type ConfigHaveMessage = z.infer<typeof configHave>;
/** @public */
export type ConfigDocumentMessage = z.infer<typeof configDocument>;
/** @public */
export type OperatorAskMessage = z.infer<typeof operatorAsk>;
/** @public */
export type StatusMessage = z.infer<typeof status>;
/** @public */
export type LoadMessage = z.infer<typeof load>;
/** @public */
export type DemandMessage = z.infer<typeof demand>;
/** @public */
export type SuspectMessage = z.infer<typeof suspect>;
/** @public */
export type StartMessage = z.infer<typeof start>;
/** @public */
export type CancelMessage = z.infer<typeof cancel>;
/** @public */
export type AckMessage = z.infer<typeof ack>;
/** @public */
export type HeadMessage = z.infer<typeof head>;
/** @public */
export type ChunkMessage = z.infer<typeof chunk>;
/** @public */
export type EndMessage = z.infer<typeof end>;
/** @public */
export type FailMessage = z.infer<typeof fail>;
/** @public */
export type EngineChangeMessage = z.infer<typeof engineChange>;
/** @public */
export type EngineStateMessage = z.infer<typeof engineState>;
/** @public */
export type EngineLoadMessage = z.infer<typeof engineLoad>;
/** @public */
export type ModelDemandMessage = z.infer<typeof modelDemand>;
/** @public */
export type PlacementMessage = z.infer<typeof placement>;

/**
 * Validates a decoded frame.
 *
 * @returns The message, or the path and text of the first issue.
 * @example
 * const parsed = parseMessage(body);
 * if (!parsed.ok) link.cut('message_malformed');
 * @public
 */
export function parseMessage(body: unknown): Result<MeshMessage, string> {
  if (isChunk(body)) return ok(body);
  const parsed = anyMessage.safeParse(body);
  if (parsed.success) return ok(parsed.data);
  const issue = parsed.error.issues[0];
  return err(issue === undefined ? 'malformed' : `${issue.path.join('.')}: ${issue.message}`);
}

/** Fast equivalent of the `chunk` schema: it runs for every token relayed. */
function isChunk(body: unknown): body is ChunkMessage {
  if (typeof body !== 'object' || body === null) return false;
  const message = body as Partial<ChunkMessage>;
  return (
    message.type === 'chunk' &&
    Number.isInteger(message.attempt) &&
    Number.isInteger(message.tag) &&
    Number.isInteger(message.seq) &&
    message.data instanceof Uint8Array &&
    Array.isArray(message.events) &&
    message.events.every(event => typeof event === 'string')
  );
}
