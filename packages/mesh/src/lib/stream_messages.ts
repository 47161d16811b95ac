/** Messages by which gateways learn from stewards at which software version streams began. */
import * as z from 'zod';

/** A longer request id or version can't be told; the stream then depends on the store alone. @public */
export const MAX_STREAM_NAME_LENGTH = 256;

/** @public */
export const MAX_ASKED_STREAMS = 1000;

const requestId = z.string().min(1).max(MAX_STREAM_NAME_LENGTH);
const version = z.string().max(MAX_STREAM_NAME_LENGTH);

/** Tells the steward of the replica that a stream has begun or continued there. @internal */
export const streamBegun = z.object({
  type: z.literal('stream_begun'),
  /** Id of the request that began the stream. */
  requestId,
  version,
});

/** Asks a steward which of these streams it was told about. @internal */
export const streamsAsk = z.object({
  type: z.literal('streams_ask'),
  requestIds: z.array(requestId).max(MAX_ASKED_STREAMS),
});

/** Answers `streams_ask`. @internal */
export const streamsReply = z.object({
  type: z.literal('streams_reply'),
  streams: z
    .array(z.object({requestId, /** Empty when the steward doesn't know the stream. */ version}))
    .max(MAX_ASKED_STREAMS),
});

/** @public */
export type StreamsReplyMessage = z.infer<typeof streamsReply>;
