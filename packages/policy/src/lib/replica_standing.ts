/** Whether one process may send requests to a replica, from what the replica has answered. */
import {assertNever} from '@jasminepost/core';
import {FAILURES_TO_OPEN, openTimeMs} from './circuit.ts';

/** Failures in a row, and the times for which such a replica gets no work. @public */
export type ReplicaStanding =
  | {readonly kind: 'open'; readonly failures: number; readonly trips: number}
  /** It keeps failing; it is used only where there is no other. */
  | {readonly kind: 'tripped'; readonly untilMs: number; readonly trips: number}
  /** It has asked for a pause. */
  | {readonly kind: 'paused'; readonly untilMs: number}
  /** The pause is over, and the first request after it is on its way. */
  | {readonly kind: 'probed'}
  /** It has said that it leaves, which holds until it ends. */
  | {readonly kind: 'leaving'};

/** @public */
export type StandingEvent =
  | {readonly kind: 'sent'}
  /** The head of an answer has come that is no refusal. */
  | {readonly kind: 'taken'}
  | {readonly kind: 'answered'}
  | {readonly kind: 'failed'}
  /** The request was given up here, which says nothing of the replica. */
  | {readonly kind: 'given_up'}
  | {readonly kind: 'turned_away'; readonly pauseMs: number}
  | {readonly kind: 'said_leaving'};

/** `last_resort`: only where no other replica can take the request. @public */
export type MayTake = 'yes' | 'last_resort' | 'no';

/** @public */
export const NEW_STANDING: ReplicaStanding = {kind: 'open', failures: 0, trips: 0};

/**
 * Answers a replica that fails, is full or leaves while its list entry says that it is ready.
 *
 * | from \ event | sent         | taken   | answered | failed          | given_up | turned_away | said_leaving |
 * | ------------ | ------------ | ------- | -------- | --------------- | -------- | ----------- | ------------ |
 * | open         | -            | -       | open     | open or tripped | -        | paused      | leaving      |
 * | tripped      | -            | -       | open     | tripped         | -        | paused      | leaving      |
 * | paused       | probed, late | -       | -        | -               | -        | paused      | leaving      |
 * | probed       | -            | open    | open     | open            | paused   | paused      | leaving      |
 * | leaving      | -            | -       | -        | -               | -        | -           | -            |
 *
 * @example
 * standing = nextStanding(standing, {kind: 'turned_away', pauseMs: 1500}, clock.monotonicMs());
 * @public
 */
export function nextStanding(
  standing: ReplicaStanding,
  event: StandingEvent,
  nowMs: number,
): ReplicaStanding {
  if (standing.kind === 'leaving') return standing;
  switch (event.kind) {
    case 'said_leaving':
      return {kind: 'leaving'};
    case 'turned_away':
      return turnedAway(standing, event.pauseMs, nowMs);
    case 'sent':
      return standing.kind === 'paused' && standing.untilMs <= nowMs ? {kind: 'probed'} : standing;
    case 'taken':
      return standing.kind === 'probed' ? NEW_STANDING : standing;
    case 'answered':
      // An answer that was on its way says nothing of the pause asked for since.
      return standing.kind === 'paused' ? standing : NEW_STANDING;
    case 'failed':
      return failed(standing, nowMs);
    case 'given_up':
      return standing.kind === 'probed' ? {kind: 'paused', untilMs: nowMs} : standing;
    default:
      return assertNever(event);
  }
}

/** @public */
export function mayTake(standing: ReplicaStanding, nowMs: number): MayTake {
  switch (standing.kind) {
    case 'open':
      return 'yes';
    case 'tripped':
      return standing.untilMs > nowMs ? 'last_resort' : 'yes';
    case 'paused':
      return standing.untilMs > nowMs ? 'no' : 'yes';
    case 'probed':
    case 'leaving':
      return 'no';
    default:
      return assertNever(standing);
  }
}

/** Milliseconds until a pause is over; 0 when there is none. @public */
export function pauseLeftMs(standing: ReplicaStanding, nowMs: number): number {
  return standing.kind === 'paused' ? Math.max(0, standing.untilMs - nowMs) : 0;
}

function turnedAway(standing: ReplicaStanding, pauseMs: number, nowMs: number): ReplicaStanding {
  if (pauseMs <= 0) return standing.kind === 'probed' ? NEW_STANDING : standing;
  const askedMs = nowMs + pauseMs;
  const untilMs = standing.kind === 'paused' ? Math.max(standing.untilMs, askedMs) : askedMs;
  return {kind: 'paused', untilMs};
}

function failed(standing: ReplicaStanding, nowMs: number): ReplicaStanding {
  switch (standing.kind) {
    case 'open': {
      const failures = standing.failures + 1;
      if (failures < FAILURES_TO_OPEN) return {...standing, failures};
      return trip(standing.trips, nowMs);
    }
    case 'tripped':
      // The failure of a probe trips it again at once.
      return trip(standing.trips, nowMs);
    case 'probed':
      return {kind: 'open', failures: 1, trips: 0};
    case 'paused':
    case 'leaving':
      return standing;
    default:
      return assertNever(standing);
  }
}

function trip(trips: number, nowMs: number): ReplicaStanding {
  return {kind: 'tripped', untilMs: nowMs + openTimeMs(trips), trips: trips + 1};
}
