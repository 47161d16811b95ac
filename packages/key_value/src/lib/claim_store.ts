/**
 * At-most-once claims of non-idempotent requests, kept in the key-value service.
 *
 * States of a key's record: absent -> running(attempt) -> done, or absent -> cancelled -> running.
 * Only the attempt that wrote `running` may execute, a running record is never taken over, and
 * an attempt listed as cancelled can never run. See docs/design/at_most_once.md.
 */
import * as z from 'zod';
import {fnv1a32, PlatformError, type Clock} from '@jasminepost/core';
import type {KeyValueClient, KeyValueEntry} from './key_value_client.ts';
import type {WriteOutcome} from './key_value_store.ts';

const SHARDS = 64;
const MAX_CONFLICTS = 4;
/** Fraction of the claim window after which new claims get a new lease. */
const LEASE_REPLACEMENT_FRACTION = 0.25;

const responseSchema = z.object({
  status: z.number().int(),
  headers: z.record(z.string(), z.string()),
  bodyBase64: z.string(),
});

const recordSchema = z.object({
  state: z.enum(['running', 'done', 'cancelled']),
  fingerprint: z.string(),
  /** Attempt that owns or completed the claim; empty when cancelled. */
  attemptId: z.string(),
  /** Attempts that must never run. */
  cancelled: z.array(z.string()),
  /** Absent when the response was too large to keep. */
  answer: responseSchema.optional(),
});

type ClaimRecord = z.infer<typeof recordSchema>;

/** Response that is replayed when a request is sent again. @public */
export type StoredResponse = z.infer<typeof responseSchema>;

/** A granted claim, as needed to finish or release it. @public */
export interface GrantedClaim {
  readonly key: string;
  readonly version: number;
  readonly record: ClaimRecord;
  /** Time after which the claim may have expired and the request must not start. */
  readonly startBeforeMs: number;
}

/** @public */
export type ClaimOutcome =
  | {readonly kind: 'granted'; readonly claim: GrantedClaim}
  | {readonly kind: 'replay'; readonly answer: StoredResponse | undefined}
  | {readonly kind: 'in_progress'}
  | {readonly kind: 'key_reused'}
  | {readonly kind: 'cancelled'}
  | {readonly kind: 'unavailable'};

/** @public */
export type CancelOutcome =
  | {readonly kind: 'never_runs'}
  | {readonly kind: 'may_have_run'}
  | {readonly kind: 'replay'; readonly answer: StoredResponse | undefined}
  | {readonly kind: 'unknown'};

/** @public */
export class ClaimStore {
  private leaseId = '';
  private leaseCreatedAtMs = Number.NEGATIVE_INFINITY;

  /**
   * @param windowMs - Minimum time for which a key is kept.
   */
  constructor(
    private readonly kv: KeyValueClient,
    private readonly clock: Clock,
    private readonly windowMs: number,
  ) {}

  /**
   * Claims the right to run a request; takes a single write unless there is a conflict.
   *
   * @example
   * const outcome = await claims.claim('kowhai', 'order-7', fingerprint, attemptId);
   * if (outcome.kind === 'granted') await run();
   */
  async claim(
    organisation: string,
    idempotencyKey: string,
    fingerprint: string,
    attemptId: string,
  ): Promise<ClaimOutcome> {
    const key = claimKey(organisation, idempotencyKey);
    const requestedAtMs = this.clock.monotonicMs();
    try {
      const newRecord: ClaimRecord = {state: 'running', fingerprint, attemptId, cancelled: []};
      let current = await this.tryWrite(key, newRecord, 0);
      for (let i = 0; i < MAX_CONFLICTS && current.kind === 'conflict'; i++) {
        const found = parseEntry(current.entry);
        if (found !== null && isClaimedBy(found, attemptId)) {
          return this.grant(key, current.entry!.version, found, requestedAtMs);
        }
        const outcome =
          found === null ? undefined : outcomeForExisting(found, fingerprint, attemptId);
        if (outcome !== undefined) return outcome;
        const next = {...newRecord, cancelled: found?.cancelled ?? []};
        current = await this.tryWrite(key, next, current.entry?.version ?? 0);
        if (current.kind === 'written')
          return this.grant(key, current.version, next, requestedAtMs);
      }
      return current.kind === 'written'
        ? this.grant(key, current.version, newRecord, requestedAtMs)
        : {kind: 'unavailable'};
    } catch (thrown) {
      if (thrown instanceof PlatformError) return {kind: 'unavailable'};
      throw thrown;
    }
  }

  /** Stores the response for replays. A failure leaves the claim running, which is safe. */
  async finish(claim: GrantedClaim, response: StoredResponse | undefined): Promise<void> {
    const record: ClaimRecord = {...claim.record, state: 'done'};
    if (response !== undefined) record.answer = response;
    await this.tryWrite(claim.key, record, claim.version);
  }

  /** Releases a granted claim when the request certainly did not run. */
  async release(claim: GrantedClaim): Promise<void> {
    await this.tryWrite(claim.key, toCancelled(claim.record), claim.version);
  }

  /**
   * Prevents an attempt whose outcome is unknown from starting, unless it has already started.
   *
   * @example
   * const outcome = await claims.cancel('kowhai', 'order-7', fingerprint, attemptId);
   * if (outcome.kind === 'never_runs') retryElsewhere();
   */
  async cancel(
    organisation: string,
    idempotencyKey: string,
    fingerprint: string,
    attemptId: string,
  ): Promise<CancelOutcome> {
    const key = claimKey(organisation, idempotencyKey);
    const cancelled = [attemptId];
    try {
      let record: ClaimRecord = {state: 'cancelled', fingerprint, attemptId: '', cancelled};
      let version = 0;
      for (let i = 0; i < MAX_CONFLICTS; i++) {
        const outcome = await this.tryWrite(key, record, version);
        if (outcome.kind === 'written') return {kind: 'never_runs'};
        const found = parseEntry(outcome.entry);
        if (found === null) {
          version = 0;
          continue;
        }
        if (found.cancelled.includes(attemptId)) return {kind: 'never_runs'};
        if (found.attemptId === attemptId) return outcomeForOwnClaim(found);
        record = {...found, cancelled: [...found.cancelled, attemptId]};
        version = outcome.entry!.version;
      }
      return {kind: 'unknown'};
    } catch (thrown) {
      if (thrown instanceof PlatformError) return {kind: 'unknown'};
      throw thrown;
    }
  }

  /**
   * Releases a claim that may have been written, as the outcome of its write is unknown. Only the
   * process that would have run the attempt may call this, once it is certain never to run it.
   */
  async releaseUnconfirmed(
    organisation: string,
    idempotencyKey: string,
    fingerprint: string,
    attemptId: string,
  ): Promise<boolean> {
    const outcome = await this.cancel(organisation, idempotencyKey, fingerprint, attemptId);
    if (outcome.kind !== 'may_have_run') return outcome.kind === 'never_runs';
    try {
      const entry = await this.kv.get(claimKey(organisation, idempotencyKey));
      const found = parseEntry(entry);
      if (entry === null || found === null || !isClaimedBy(found, attemptId)) return false;
      const released = await this.tryWrite(entry.key, toCancelled(found), entry.version);
      return released.kind === 'written';
    } catch (thrown) {
      if (thrown instanceof PlatformError) return false;
      throw thrown;
    }
  }

  private grant(
    key: string,
    version: number,
    record: ClaimRecord,
    requestedAtMs: number,
  ): ClaimOutcome {
    const startBeforeMs = requestedAtMs + this.windowMs;
    return {kind: 'granted', claim: {key, version, record, startBeforeMs}};
  }

  /** Writes a record; when the response is lost, reads the key to learn the outcome. */
  private async tryWrite(
    key: string,
    record: ClaimRecord,
    expectVersion: number,
  ): Promise<WriteOutcome> {
    const value = JSON.stringify(record);
    const leaseId = await this.currentLease();
    try {
      return await this.kv.write(key, value, expectVersion, leaseId);
    } catch (thrown) {
      const isUnknownOutcome =
        thrown instanceof PlatformError && thrown.fault === 'unknown_outcome';
      if (!isUnknownOutcome) throw thrown;
    }
    const entry = await this.kv.get(key);
    if (entry !== null && entry.value === value && entry.version > expectVersion) {
      return {kind: 'written', version: entry.version};
    }
    // The first write may still arrive, but applying the same conditional write twice is harmless.
    return this.kv.write(key, value, expectVersion, leaseId);
  }

  private async currentLease(): Promise<string> {
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.leaseCreatedAtMs < this.windowMs * LEASE_REPLACEMENT_FRACTION)
      return this.leaseId;
    this.leaseId = await this.kv.createLease(this.windowMs * (1 + 2 * LEASE_REPLACEMENT_FRACTION));
    this.leaseCreatedAtMs = nowMs;
    return this.leaseId;
  }
}

function claimKey(organisation: string, idempotencyKey: string): string {
  const shard = fnv1a32(`${organisation}/${idempotencyKey}`) % SHARDS;
  return `claims/${shard}/${organisation}/${idempotencyKey}`;
}

function parseEntry(entry: KeyValueEntry | null): ClaimRecord | null {
  return entry === null ? null : recordSchema.parse(JSON.parse(entry.value));
}

/** When the response to a write was lost, a repeated write conflicts with the attempt's own. */
function isClaimedBy(found: ClaimRecord, attemptId: string): boolean {
  return found.state === 'running' && found.attemptId === attemptId;
}

/** Outcome for a new attempt when a record exists; undefined when it may replace the record. */
function outcomeForExisting(
  found: ClaimRecord,
  fingerprint: string,
  attemptId: string,
): ClaimOutcome | undefined {
  if (found.fingerprint !== fingerprint) return {kind: 'key_reused'};
  if (found.cancelled.includes(attemptId)) return {kind: 'cancelled'};
  switch (found.state) {
    case 'running':
      return {kind: 'in_progress'};
    case 'done':
      return {kind: 'replay', answer: found.answer};
    case 'cancelled':
      return undefined;
  }
}

function toCancelled(record: ClaimRecord): ClaimRecord {
  const cancelled = [...record.cancelled, record.attemptId];
  return {state: 'cancelled', fingerprint: record.fingerprint, attemptId: '', cancelled};
}

function outcomeForOwnClaim(found: ClaimRecord): CancelOutcome {
  return found.state === 'done' ? {kind: 'replay', answer: found.answer} : {kind: 'may_have_run'};
}
