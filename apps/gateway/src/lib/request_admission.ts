/** Checks that precede the queueing of a request, in order. */
import type {CrashGate} from './crash_gate.ts';
import type {QuotaGate} from './quota_gate.ts';
import type {StreamVersionGate} from './stream_version_gate.ts';

/** Retry delay where nothing tells how long a request has to wait. @internal */
export const DEFAULT_RETRY_AFTER_MS = 300;

/** @internal */
export interface AdmissionGates {
  readonly crashGate: CrashGate;
  readonly versionGate: StreamVersionGate;
  readonly quota: QuotaGate;
}

/** Refuses a request as not run; `status` is 429 for a quota and 503 otherwise. @internal */
export type RefuseRequest = (
  reason: string,
  retryAfterMs: number,
  logFields: Readonly<Record<string, unknown>>,
  status?: 429 | 503,
) => void;

/**
 * Admits a request unless it is suspected of crashing replicas, its stream can't continue, or the
 * quota of its organisation is used up. The quota comes last, so that no refused request is charged.
 *
 * @internal
 */
export function admitRequest(
  {crashGate, versionGate, quota}: AdmissionGates,
  onAdmitted: () => void,
  refuse: RefuseRequest,
): void {
  crashGate.check(
    () => {
      const refusal = versionGate.check();
      if (refusal !== undefined) {
        refuse(refusal, DEFAULT_RETRY_AFTER_MS, {version: versionGate.requiredVersion});
        return;
      }
      quota.check(onAdmitted, (retryAfterMs, known) =>
        refuse('quota_exceeded', retryAfterMs, {...known}, 429),
      );
    },
    holdMs => refuse('crashes_replicas', holdMs, {}),
  );
}
