/** Verdicts that count against a replica's circuit. */
import type {Verdict} from '@jasminepost/core';

/** Reasons that speak against the replica rather than against the request. @internal */
export const CIRCUIT_BREAKER_FAULTS: ReadonlySet<Verdict['reason']> = new Set<Verdict['reason']>([
  'connect_failed',
  'link_lost',
  'not_written',
  'upstream_crashed',
  'upstream_cut',
  'upstream_refused',
  'upstream_unhealthy',
]);
