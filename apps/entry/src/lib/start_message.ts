/** Builds the message that starts an attempt at a sidecar. */
import type {ValidatedRequest} from '@jasminepost/caller';
import type {StartMessage} from '@jasminepost/mesh';
import {textOfEvents} from './resume_text.ts';

interface AttemptDetails {
  readonly attempt: number;
  readonly tag: number;
  readonly attemptId: string;
  /** Number of upstream crashes that the request is suspected of. */
  readonly crashes: number;
  readonly nowMs: number;
  readonly hasAlternative: boolean;
  /** Events already delivered to the caller; the engine continues after them. */
  readonly deliveredEvents: readonly string[];
}

/**
 * Combines a caller's request with the details of one attempt.
 *
 * @example
 * link.send(startMessage(call, {attempt: 7, attemptId: 'entry-1.9.7', crashes: 0, ...}));
 * @internal
 */
export function buildStartMessage(
  request: ValidatedRequest,
  attempt: AttemptDetails,
): StartMessage {
  return {
    type: 'start',
    attempt: attempt.attempt,
    tag: attempt.tag,
    requestId: request.requestId,
    attemptId: attempt.attemptId,
    organisation: request.organisation,
    class: request.class,
    kind: request.kind,
    target: request.target,
    adapter: request.adapter,
    method: request.method,
    path: request.path,
    headers: {...request.headers},
    body: request.body,
    fingerprint: request.fingerprint,
    remainingMs: Math.max(0, Math.round(request.deadlineMs - attempt.nowMs)),
    idempotencyKey: request.idempotencyKey,
    crashes: attempt.crashes,
    hasAlternative: attempt.hasAlternative,
    resumeTokens: attempt.deliveredEvents.length,
    resumeText: textOfEvents(attempt.deliveredEvents),
  };
}
