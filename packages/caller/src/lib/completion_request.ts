/** Validates the fields of a completion request that the system uses. */
import * as z from 'zod';
import {err, ok, type Result} from '@jasminepost/core';

const completionSchema = z.object({
  model: z.string().min(1),
  messages: z.array(z.looseObject({role: z.string(), content: z.unknown().optional()})).min(1),
  stream: z.boolean().optional(),
  stream_options: z.looseObject({include_usage: z.boolean().optional()}).nullish(),
  n: z.number().int().positive().nullish(),
  tools: z.array(z.unknown()).nullish(),
  logprobs: z.boolean().nullish(),
});

/** @internal */
export interface CompletionRequest {
  readonly model: string;
  readonly stream: boolean;
  readonly includeUsage: boolean;
  /** Messages as JSON; its beginning is the key for prefix affinity. */
  readonly prompt: string;
  /** True for a plain text response with one choice; only such a response can be resumed. */
  readonly resumable: boolean;
}

/** @returns The request, or the path and message of the first validation error. @internal */
export function parseCompletionRequest(body: Uint8Array): Result<CompletionRequest, string> {
  let raw: unknown;
  try {
    raw = JSON.parse(Buffer.from(body).toString('utf8'));
  } catch {
    return err('body: wanted a JSON document');
  }
  const parsed = completionSchema.safeParse(raw);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    return err(`${issue?.path.join('.') || 'body'}: ${issue?.message ?? 'malformed'}`);
  }
  const req = parsed.data;
  return ok({
    model: req.model,
    stream: req.stream === true,
    includeUsage: req.stream_options?.include_usage === true,
    prompt: JSON.stringify(req.messages),
    resumable: (req.n ?? 1) === 1 && (req.tools ?? []).length === 0 && req.logprobs !== true,
  });
}
