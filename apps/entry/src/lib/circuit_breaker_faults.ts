/** Verdicts that a replica's circuit breaker counts as failures. */
import type {Verdict} from '@jasminepost/core';

/** Reasons that point to a fault of the replica, not of the request. @internal */
export const CIRCUIT_BREAKER_FAULTS: ReadonlySet<Verdict['reason']> = new Set<Verdict['reason']>([
  'connect_failed',
  'link_lost',
  'not_written',
  'upstream_crashed',
  'upstream_cut',
  'upstream_refused',
  'upstream_unhealthy',
]);
