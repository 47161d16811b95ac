/** Messages between our own processes and the checks on what a peer sends. */
import {z} from 'zod';
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

const MAX_NAME = 256;
const name = z.string().min(1).max(MAX_NAME);
const count = z.number().int().nonnegative();
const bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array, 'wanted bytes');
const headers = z.record(z.string(), z.string());

const memberInfo = z.object({
  id: name,
  /** Grows with each start of the process. */
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

/** A sidecar's own account of its upstream; sent on connect and on change. */
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
  /** Lease generation while this sidecar plans placement, otherwise 0. */
  plannerTerm: count,
  freeMiB: count,
  totalMiB: count,
  slots: count,
});

/** Work at the upstream; also the heartbeat. */
const load = z.object({
  type: z.literal('load'),
  /** Requests running or queued. */
  paid: count,
  trial: count,
  /** Mean time one request holds a slot. */
  serviceMs: count,
  /** Longest time until the next report. */
  nextMs: count,
});

/** Requests an entry has seen per model since its last report. */
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
  /** Drawn for each attempt and repeated in its frames: a frame of another attempt is not taken. */
  tag: count,
  requestId: name,
  /** Unique over all entries; names this attempt in a claim. */
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
  /** Upstreams that this fingerprint has crashed; a suspect runs with nothing else. */
  crashes: count,
  /** True when another replica is left to try, so that a full one may pass the request on. */
  hasAlternative: z.boolean(),
  /** Tokens the caller already has. */
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
  /** Position of the first event or byte in this attempt's answer. */
  seq: count,
  /** Choice events of a completion, each as JSON. */
  events: z.array(z.string()),
  /** Raw bytes of a plain answer. */
  data: bytes,
});
const end = z.object({
  type: z.literal('end'),
  attempt: count,
  tag: count,
  /** Total of events or bytes sent. */
  seq: count,
  /** JSON of the usage object; empty when the upstream sent none. */
  usage: z.string(),
});
const fail = z.object({
  type: z.literal('fail'),
  attempt: count,
  tag: count,
  verdict,
  retryAfterMs: count,
});

/** An operator's question or order to one process. */
const operatorAsk = z.object({
  type: z.literal('operator_ask'),
  ask: z.enum(['status', 'explain', 'drain']),
  /** Request id of `explain`. */
  subject: z.string().max(MAX_NAME),
});
const operatorReply = z.object({type: z.literal('operator_reply'), json: z.string()});

/** A steward's account of what its replica holds; sent on connect and on change. */
const engineState = z.object({
  type: z.literal('engine_state'),
  /** False while the replica does not answer. */
  up: z.boolean(),
  /** True when the replica says that it leaves. */
  leaving: z.boolean(),
  /** Most requests a second that the replica takes; 0 when it names no limit. */
  limitPerS: z.number().nonnegative(),
  /** Start of the replica's incarnation, in milliseconds since the Unix epoch. */
  bornMs: z.number(),
  models: z.array(z.object({name, adapters: z.array(name).max(4096)})).max(4096),
  /** Model that is being loaded or unloaded; empty when none is. */
  moving: z.string().max(MAX_NAME),
  inMemory: z.array(name).max(4096),
  onDisk: z.array(name).max(4096),
  /** Highest planner's term that the steward knows; it carries out nothing of an earlier one. */
  term: count,
  /** Placements of that term up to this number won't cause any further order. */
  closed: count,
  /** When loads from the weight store began at the latest, after the sending of this message. */
  loadsBeganMs: z.array(z.number()).max(4096),
});

/** Fields of the state that have changed since the message before on the same link. */
const engineChange = engineState
  .partial()
  .omit({type: true})
  .extend({
    type: z.literal('engine_change'),
    /** Models that are no longer held; `models` has those that are new or have other adapters. */
    gone: z.array(name).max(4096).optional(),
  });

/** Work at a model replica; also the heartbeat. */
const engineLoad = z.object({
  type: z.literal('engine_load'),
  running: count,
  waiting: count,
  /** Running requests without a first event. */
  prefilling: count,
  kvUsed: count,
  kvTotal: count,
  /** Gateways linked to this steward. */
  gateways: count,
  nextMs: count,
});

/** What the planner's gateway has read from the platform's store, for those that don't ask it. */
const storeChanges = z.object({
  type: z.literal('store_changes'),
  /** Era of the store; revisions are compared within one only. */
  era: count,
  /** Revision that the changes follow on. */
  since: count,
  revision: count,
  /** True while entries that lapsed in an outage may still come back. */
  settling: z.boolean(),
  /** Gateways linked to the planner's, with itself. */
  gateways: count,
  /** Revision at which the newest configuration was written; the document is read at the store. */
  configRevision: count.default(0),
  changes: z
    .array(z.object({key: name, revision: count, value: z.string().optional()}))
    .max(65_536),
});

/** Tells a steward that the gateway sends requests to its replica. */
const loadInterest = z.object({
  type: z.literal('load_interest'),
  /** Time for which the gateway wants to know the load closely. */
  validMs: count,
});

/** Tells a steward which replica runs beside it, as the platform lists it. */
const replicaIdentity = z.object({
  type: z.literal('replica_identity'),
  id: name,
  bornMs: z.number(),
});

/** Asks for an adapter, or states that one is in use. */
const adapterWish = z.object({type: z.literal('adapter_wish'), model: name, adapter: name});

/** The planner's order to change what a replica holds. */
const placement = z.object({
  type: z.literal('placement'),
  term: count,
  /** Grows with each placement of the term that goes to the same steward. */
  number: count,
  /** Time after its arrival in which the placement may be carried out. */
  validMs: count,
  /** Empty when nothing is to be unloaded first. */
  unload: z.string().max(MAX_NAME),
  /** Empty when nothing is to be loaded. */
  load: z.string().max(MAX_NAME),
  /** False when only a copy on the replica itself may be used. */
  fromStore: z.boolean(),
});

/** Demand for models that one gateway has seen since its last message to the planner. */
const modelDemand = z.object({
  type: z.literal('model_demand'),
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
  loadInterest,
  placement,
  modelDemand,
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
export type StoreChangesMessage = z.infer<typeof storeChanges>;
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
 * Checks a decoded frame.
 *
 * @returns The message, or the path and text of the first fault.
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

/** Hand-written twin of the `chunk` schema: one runs for every token relayed. */
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
