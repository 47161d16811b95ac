/** Leader election: at most one process holds a role at a time, with a term that only increases. */
import * as z from 'zod';
import {errorMessage, RepeatingTask, type Clock, type Logger} from '@jasminepost/core';
import type {KeyValueStore} from './key_value_store.ts';

const MAX_START_DELAY_MS = 150;
/** Terms reserved for each store era. */
const TERMS_PER_ERA = 1_000_000;

const holderSchema = z.object({holder: z.string(), term: z.number().int().positive()});

/**
 * The holder key is attached to a lease; the term key is permanent, so that a new holder's term is
 * larger. A process counts the lease's time by its own monotonic clock from before the renewal was
 * sent, so that after a pause it knows that it may have lost the role.
 *
 * @public
 */
export class LeaderLease {
  private term = 0;
  /** Term held last, until the store shows that it has ended; 0 when there is none. */
  private lastTerm = 0;
  private leaseId = '';
  /** Store era in which the role was acquired. */
  private era = 0;
  private mayHavePredecessor = false;
  private heldUntilMs = 0;
  private readonly task = new RepeatingTask(() => this.step());

  constructor(
    private readonly kv: KeyValueStore,
    private readonly key: string,
    private readonly holder: string,
    private readonly ttlMs: number,
    private readonly clock: Clock,
    private readonly log: Logger,
    /** Mean time between attempts to acquire the role. */
    private readonly acquireIntervalMs: () => number,
    /** False while this process is unable to perform the role. */
    private readonly isEligible: () => boolean = () => true,
  ) {}

  /** Current term while the role is held, otherwise 0. */
  heldTerm(): number {
    return this.isCurrentEra && this.clock.monotonicMs() < this.heldUntilMs ? this.term : 0;
  }

  /** False while no other process can have held the role earlier. */
  get hasPredecessor(): boolean {
    return this.mayHavePredecessor;
  }

  /**
   * The held term; after it has expired, the last held term for as long as the store does not
   * respond, because another process is then unlikely to have acquired the role.
   */
  actingTerm(): number {
    const held = this.heldTerm();
    return held > 0 || !this.isCurrentEra ? held : this.lastTerm;
  }

  start(): void {
    this.task.start(Math.random() * MAX_START_DELAY_MS);
  }

  /** Tries to acquire the role without delay, because it has become free. */
  acquireSoon(): void {
    if (this.heldTerm() === 0) this.task.runSoon();
  }

  /** Ends the term, because the store was restored from an older copy of itself. */
  onStoreRestored(): void {
    this.release();
    this.task.runSoon();
  }

  dispose(): void {
    this.task.dispose();
    this.release();
  }

  /** Renews, acquires or gives up the role once; returns the time until the next call. */
  private async step(): Promise<number> {
    try {
      if (!this.isEligible()) this.stepDown();
      else if (this.heldTerm() > 0) await this.renew();
      else await this.acquire();
    } catch (thrown) {
      this.log.debug('leader lease call failed', {key: this.key, error: errorMessage(thrown)});
    }
    // Jitter keeps processes that started together from calling the store together.
    const acquireDelayMs = this.acquireIntervalMs() * (0.5 + Math.random());
    return this.heldTerm() > 0 ? this.ttlMs / 3 : acquireDelayMs;
  }

  /** Leaves the lease to expire, so that no other process holds the role before this term ends. */
  private stepDown(): void {
    if (this.actingTerm() === 0) return;
    this.log.warn('role given up', {key: this.key, term: this.term});
    this.release();
  }

  private release(): void {
    this.heldUntilMs = 0;
    this.lastTerm = 0;
  }

  private async renew(): Promise<void> {
    const sentMs = this.clock.monotonicMs();
    const alive = await this.kv.renewLease(this.leaseId);
    if (alive && this.isCurrentEra) this.heldUntilMs = sentMs + this.ttlMs;
    else this.release();
  }

  private async acquire(): Promise<void> {
    const current = await this.kv.get(`${this.key}/holder`);
    if (current !== null) {
      if (this.lastTerm > 0 && current.value === this.holderRecord(this.lastTerm))
        await this.renew();
      else this.lastTerm = 0;
      return;
    }
    this.lastTerm = 0;
    const {era} = this.kv;
    const sentMs = this.clock.monotonicMs();
    const leaseId = await this.kv.createLease(this.ttlMs);
    const term = await this.reserveTerm();
    if (term === 0) return;
    const outcome = await this.kv.write(`${this.key}/holder`, this.holderRecord(term), 0, leaseId);
    // A lease id of an earlier era may now belong to another process.
    if (outcome.kind === 'conflict' || this.kv.era !== era) return;
    this.era = era;
    this.term = term;
    this.lastTerm = term;
    this.leaseId = leaseId;
    this.heldUntilMs = sentMs + this.ttlMs;
    this.log.info('role acquired', {key: this.key, term});
  }

  private get isCurrentEra(): boolean {
    return this.era === this.kv.era;
  }

  private holderRecord(term: number): string {
    return JSON.stringify(holderSchema.parse({holder: this.holder, term}));
  }

  /** Reserves the next term; 0 when another process reserved it first. */
  private async reserveTerm(): Promise<number> {
    const entry = await this.kv.get(`${this.key}/term`);
    const stored = entry === null ? 0 : Number(entry.value);
    this.mayHavePredecessor = entry !== null || this.kv.wasRestored;
    // A restored service has lost terms; the era places new ones above them.
    const term = Math.max(stored, this.kv.era * TERMS_PER_ERA) + 1;
    const outcome = await this.kv.write(`${this.key}/term`, String(term), entry?.version ?? 0);
    return outcome.kind === 'written' ? term : 0;
  }
}
