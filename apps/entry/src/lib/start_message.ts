/** Builds the message that starts an attempt at a sidecar. */
import type {ValidatedRequest} from '@jasminepost/caller';
import type {StartMessage} from '@jasminepost/mesh';
import {textOfEvents} from './resume_text.ts';

interface AttemptFacts {
  readonly attempt: number;
  readonly tag: number;
  readonly attemptId: string;
  /** Upstreams that the request is known to have crashed. */
  readonly crashes: number;
  readonly nowMs: number;
  readonly hasAlternative: boolean;
  /** Events that the caller already has. */
  readonly delivered: readonly string[];
}

/**
 * @example
 * link.send(startMessage(call, {attempt: 7, attemptId: 'entry-1.9.7', crashes: 0, ...}));
 * @internal
 */
export function startMessage(call: ValidatedRequest, facts: AttemptFacts): StartMessage {
  return {
    type: 'start',
    attempt: facts.attempt,
    tag: facts.tag,
    requestId: call.requestId,
    attemptId: facts.attemptId,
    organisation: call.organisation,
    class: call.class,
    kind: call.kind,
    target: call.target,
    adapter: call.adapter,
    method: call.method,
    path: call.path,
    headers: {...call.headers},
    body: call.body,
    fingerprint: call.fingerprint,
    remainingMs: Math.max(0, Math.round(call.deadlineMs - facts.nowMs)),
    idempotencyKey: call.idempotencyKey,
    crashes: facts.crashes,
    hasAlternative: facts.hasAlternative,
    resumeTokens: facts.delivered.length,
    resumeText: textOfEvents(facts.delivered),
  };
}
