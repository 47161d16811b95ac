/** Whether a caller's key admits its request, and how a request without a valid key is answered. */

/** Why a request has no valid key. @public */
export type KeyFault = 'no_key' | 'unknown_key' | 'shared_key';

/** A check that admits the request. @public */
export type AcceptedKey<Organisation> =
  /** The configuration has no organisations. */
  | {readonly kind: 'not_required'}
  /** The route needs no key. */
  | {readonly kind: 'anonymous'}
  | {readonly kind: 'identified'; readonly organisation: Organisation};

/** Result of the check of a request's key against one configuration. @public */
export type KeyCheck<Organisation> =
  AcceptedKey<Organisation> | {readonly kind: 'unidentified'; readonly fault: KeyFault};

/**
 * Combines the check on arrival with that against the configuration by which the request is routed,
 * which may be newer. Handles a key that is removed, and organisations that are added, while the
 * body of the request is read: a request that was accepted stays accepted, as what it was accepted
 * as, and its key is never treated as an ordinary header by either configuration.
 *
 * @param accepted - Undefined when the request was not checked, because it had no route.
 * @example
 * settleKeyCheck({kind: 'identified', organisation}, {kind: 'unidentified', fault: 'unknown_key'});
 * // {kind: 'identified', organisation}
 * @public
 */
export function settleKeyCheck<Organisation>(
  accepted: AcceptedKey<Organisation> | undefined,
  newest: KeyCheck<Organisation>,
): KeyCheck<Organisation> {
  if (accepted === undefined) return newest;
  if (accepted.kind === 'identified' || newest.kind === 'not_required') return accepted;
  return newest.kind === 'unidentified' ? {kind: 'anonymous'} : newest;
}

/** What is known of the age of the active configuration. @public */
export interface ConfigCurrency {
  /** Time since the active configuration was last known to be the newest. */
  readonly ageMs: number;
  /** Time within which a configuration must be in force. */
  readonly applyMs: number;
  /** True when a newer configuration is known to exist that has not been read. */
  readonly isNewerAnnounced: boolean;
}

/**
 * Decides how a request without a valid key is answered. Handles a gateway that is cut off from the
 * store: a key that it does not know may have been added since, so that it asks the caller to come
 * back instead of denying the key.
 *
 * @example
 * rejectionWithoutKey({ageMs: 3200, applyMs: 3000, isNewerAnnounced: false}); // 'config_outdated'
 * @public
 */
export function rejectionWithoutKey({
  ageMs,
  applyMs,
  isNewerAnnounced,
}: ConfigCurrency): 'unauthenticated' | 'config_outdated' {
  return isNewerAnnounced || ageMs >= applyMs ? 'config_outdated' : 'unauthenticated';
}
