/** Checks the keys of callers' requests against the active configuration. */
import type {Logger} from '@jasminepost/core';
import {parseCallerKey, type CallerIdentity} from '@jasminepost/platform';
import type {AcceptedKey, KeyCheck} from '@jasminepost/policy';
import {OrganisationDirectory, type Organisation, type Route} from '@jasminepost/serving';

/** Names of organisations in one log line, which must stay short. */
const MAX_LOGGED_NAMES = 10;

/** Who sent an accepted request. @internal */
export interface AcceptedCaller {
  /** Undefined for an anonymous request, and without organisations. */
  readonly organisation: Organisation | undefined;
  /** Priority of the organisation; undefined without one. */
  readonly priority: number | undefined;
  /** What replicas are told; undefined when the caller's own headers are passed through. */
  readonly identity: CallerIdentity | undefined;
}

/** @internal */
export function acceptedCaller(key: AcceptedKey<Organisation>): AcceptedCaller {
  if (key.kind !== 'identified') {
    const identity = key.kind === 'anonymous' ? {organisation: undefined} : undefined;
    return {organisation: undefined, priority: undefined, identity};
  }
  const {organisation} = key;
  const {name, priority = 0} = organisation;
  return {organisation, priority, identity: {organisation: name}};
}

/** @internal */
export class KeyGate {
  /** Undefined without organisations. */
  private directory: OrganisationDirectory | undefined;

  /** Replaces the organisations, once for each configuration. */
  applyOrganisations(organisations: readonly Organisation[] | undefined, log: Logger): void {
    this.directory = organisations && new OrganisationDirectory(organisations);
    const names = this.directory?.organisationsWithSharedKeys ?? [];
    if (names.length === 0) return;
    log.warn('keys of several organisations identify none of them', {
      organisations: names.slice(0, MAX_LOGGED_NAMES).join(','),
      count: names.length,
    });
  }

  /** @param rawHeaders - Alternating names and values, as received. */
  check(route: Route, rawHeaders: readonly string[]): KeyCheck<Organisation> {
    if (this.directory === undefined) return {kind: 'not_required'};
    if (route.anonymous) return {kind: 'anonymous'};
    const key = parseCallerKey(rawHeaders);
    if (key === undefined) return {kind: 'unidentified', fault: 'no_key'};
    const found = this.directory.find(key);
    if (found.kind === 'found') return {kind: 'identified', organisation: found.organisation};
    const fault = found.kind === 'shared' ? 'shared_key' : 'unknown_key';
    return {kind: 'unidentified', fault};
  }
}
