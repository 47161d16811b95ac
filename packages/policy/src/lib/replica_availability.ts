/** Whether a process may send requests to a replica, derived from the replica's responses. */
import {assertNever} from '@jasminepost/core';
import {FAILURES_TO_OPEN_CIRCUIT, openDurationMs} from './circuit_breaker.ts';

/**
 * Availability of a replica to one process. `failures` counts consecutive failures, `trips` how often
 * they have tripped it, which determines for how long it gets no requests.
 *
 * @public
 */
export type ReplicaAvailability =
  | {readonly kind: 'open'; readonly failures: number; readonly trips: number}
  /** It keeps failing; it is used only where no other replica is available. */
  | {readonly kind: 'tripped'; readonly untilMs: number; readonly trips: number}
  /** It has requested a pause. */
  | {readonly kind: 'paused'; readonly untilMs: number}
  /** The pause is over, and the first request after it is in progress. */
  | {readonly kind: 'probed'}
  /** It has announced that it is leaving, which is final. */
  | {readonly kind: 'leaving'};

/** @public */
export type AvailabilityEvent =
  | {readonly kind: 'sent'}
  /** The head of a response that is not a refusal has arrived. */
  | {readonly kind: 'taken'}
  | {readonly kind: 'answered'}
  | {readonly kind: 'failed'}
  /** This process gave the request up, which says nothing about the replica. */
  | {readonly kind: 'given_up'}
  | {readonly kind: 'turned_away'; readonly pauseMs: number}
  | {readonly kind: 'said_leaving'};

/** `last_resort`: only if no other replica can take the request. @public */
export type Eligibility = 'yes' | 'last_resort' | 'no';

/** @public */
export const INITIAL_AVAILABILITY: ReplicaAvailability = {kind: 'open', failures: 0, trips: 0};

/**
 * Handles a replica that fails, is full or leaves while its list entry still says that it is ready.
 * The state belongs to an incarnation: it outlives the list entry, which may lapse and come back.
 *
 * | from \ event | sent         | taken   | answered | failed          | given_up | turned_away | said_leaving | entry relisted |
 * | ------------ | ------------ | ------- | -------- | --------------- | -------- | ----------- | ------------ | -------------- |
 * | open         | -            | -       | open     | open or tripped | -        | paused      | leaving      | -              |
 * | tripped      | -            | -       | open     | tripped         | -        | paused      | leaving      | -              |
 * | paused       | probed, late | -       | -        | -               | -        | paused      | leaving      | -              |
 * | probed       | -            | open    | open     | open            | paused   | paused      | leaving      | -              |
 * | leaving      | -            | -       | -        | -               | -        | -           | -            | -              |
 *
 * @example
 * state = nextAvailability(state, {kind: 'turned_away', pauseMs: 1500}, clock.monotonicMs());
 * @public
 */
export function nextAvailability(
  state: ReplicaAvailability,
  event: AvailabilityEvent,
  nowMs: number,
): ReplicaAvailability {
  if (state.kind === 'leaving') return state;
  switch (event.kind) {
    case 'said_leaving':
      return {kind: 'leaving'};
    case 'turned_away':
      return afterRefusal(state, event.pauseMs, nowMs);
    case 'sent':
      return state.kind === 'paused' && state.untilMs <= nowMs ? {kind: 'probed'} : state;
    case 'taken':
      return state.kind === 'probed' ? INITIAL_AVAILABILITY : state;
    case 'answered':
      // A response that was in flight when the pause was requested says nothing about it.
      return state.kind === 'paused' ? state : INITIAL_AVAILABILITY;
    case 'failed':
      return afterFailure(state, nowMs);
    case 'given_up':
      return state.kind === 'probed' ? {kind: 'paused', untilMs: nowMs} : state;
    default:
      return assertNever(event);
  }
}

/** @public */
export function eligibilityOf(state: ReplicaAvailability, nowMs: number): Eligibility {
  switch (state.kind) {
    case 'open':
      return 'yes';
    case 'tripped':
      return state.untilMs > nowMs ? 'last_resort' : 'yes';
    case 'paused':
      return state.untilMs > nowMs ? 'no' : 'yes';
    case 'probed':
    case 'leaving':
      return 'no';
    default:
      return assertNever(state);
  }
}

/** Milliseconds until the pause is over; 0 when there is none. @public */
export function remainingPauseMs(state: ReplicaAvailability, nowMs: number): number {
  return state.kind === 'paused' ? Math.max(0, state.untilMs - nowMs) : 0;
}

function afterRefusal(
  state: ReplicaAvailability,
  pauseMs: number,
  nowMs: number,
): ReplicaAvailability {
  if (pauseMs <= 0) return state.kind === 'probed' ? INITIAL_AVAILABILITY : state;
  const requestedUntilMs = nowMs + pauseMs;
  const untilMs =
    state.kind === 'paused' ? Math.max(state.untilMs, requestedUntilMs) : requestedUntilMs;
  return {kind: 'paused', untilMs};
}

function afterFailure(state: ReplicaAvailability, nowMs: number): ReplicaAvailability {
  switch (state.kind) {
    case 'open': {
      const failures = state.failures + 1;
      if (failures < FAILURES_TO_OPEN_CIRCUIT) return {...state, failures};
      return trip(state.trips, nowMs);
    }
    case 'tripped':
      // A failed probe trips it again at once.
      return trip(state.trips, nowMs);
    case 'probed':
      return {kind: 'open', failures: 1, trips: 0};
    case 'paused':
    case 'leaving':
      return state;
    default:
      return assertNever(state);
  }
}

function trip(trips: number, nowMs: number): ReplicaAvailability {
  return {kind: 'tripped', untilMs: nowMs + openDurationMs(trips), trips: trips + 1};
}
