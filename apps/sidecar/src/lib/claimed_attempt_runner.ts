/** Runs a non-idempotent attempt under a claim, so that it runs at most once in the whole fleet. */
import {
  backoffMs,
  completed,
  assertNever,
  mayHaveRun,
  errorMessage,
  notRun,
  sleep,
  type Clock,
  type Logger,
  type Verdict,
} from '@jasminepost/core';
import type {ClaimStore, GrantedClaim} from '@jasminepost/key_value';
import type {Attempt} from './attempt.ts';
import type {SidecarMetrics} from './sidecar_metrics.ts';

const RELEASE_TRIES = 8;
const RELEASE_BACKOFF_BASE_MS = 200;
const RELEASE_BACKOFF_CAP_MS = 10_000;

/** @internal */
export class ClaimedAttemptRunner {
  constructor(
    private readonly claims: ClaimStore,
    private readonly clock: Clock,
    private readonly metrics: SidecarMetrics,
    private readonly log: Logger,
  ) {}

  async run(attempt: Attempt): Promise<Verdict> {
    const {organisation, idempotencyKey, fingerprint, attemptId} = attempt.startMessage;
    const outcome = await this.claims.claim(organisation, idempotencyKey, fingerprint, attemptId);
    this.metrics.claims.increment(outcome.kind);
    switch (outcome.kind) {
      case 'granted':
        return this.runGranted(attempt, outcome.claim);
      case 'replay':
        return outcome.answer === undefined
          ? completed('replayed')
          : attempt.replay(outcome.answer);
      case 'in_progress':
        return mayHaveRun('prior_attempt_unresolved');
      case 'key_reused':
        return notRun('key_reused');
      case 'cancelled':
        return notRun('cancelled_before_claim');
      case 'unavailable':
        void this.releaseUnconfirmedClaim(attempt);
        return notRun('claim_store_unavailable');
      default:
        return assertNever(outcome);
    }
  }

  private async runGranted(attempt: Attempt, claim: GrantedClaim): Promise<Verdict> {
    const nowMs = this.clock.monotonicMs();
    // The process may have paused until the claim lapsed; another attempt may then hold the key.
    if (nowMs >= Math.min(attempt.deadlineMs, claim.startBeforeMs)) {
      await this.releaseClaim(claim);
      return notRun('deadline_passed');
    }
    const verdict = await attempt.run();
    if (verdict.kind === 'not_run') await this.releaseClaim(claim);
    if (verdict.kind === 'completed') await this.storeResponse(attempt, claim);
    return verdict;
  }

  private async storeResponse(attempt: Attempt, claim: GrantedClaim): Promise<void> {
    try {
      await this.claims.finish(claim, attempt.storedResponse());
    } catch (thrown) {
      this.metrics.claims.increment('store_failed');
      this.log.warn('response not stored', {key: claim.key, error: errorMessage(thrown)});
    }
  }

  private async releaseClaim(claim: GrantedClaim): Promise<void> {
    try {
      await this.claims.release(claim);
    } catch (thrown) {
      this.log.warn('claim not released', {key: claim.key, error: errorMessage(thrown)});
    }
  }

  /** Releases a claim whose write was reported as failed but may have been applied. */
  private async releaseUnconfirmedClaim(attempt: Attempt): Promise<void> {
    const {organisation, idempotencyKey, fingerprint, attemptId} = attempt.startMessage;
    for (let i = 0; i < RELEASE_TRIES; i++) {
      await sleep(backoffMs(i, RELEASE_BACKOFF_BASE_MS, RELEASE_BACKOFF_CAP_MS));
      if (
        await this.claims.releaseUnconfirmed(organisation, idempotencyKey, fingerprint, attemptId)
      ) {
        this.metrics.claims.increment('withdrawn');
        return;
      }
    }
  }
}
