/** A role that at most one process holds at a time, with a term that only grows. */
import {z} from 'zod';
import {errorMessage, RepeatingTask, type Clock, type Logger} from '@jasminepost/core';
import type {KeyValueStore} from './key_value_store.ts';

const MAX_START_DELAY_MS = 150;
/** Terms that are counted within one era of the service. */
const TERMS_PER_ERA = 1_000_000;

const holderSchema = z.object({holder: z.string(), term: z.number().int().positive()});

/**
 * The holder key hangs on a lease; the term key stays, so that a new holder's term is larger.
 * Holding is judged by this process's own monotonic clock from before the renewal was sent,
 * so a holder that was paused knows on waking that it may have lost the role.
 *
 * @public
 */
export class LeaderLease {
  private term = 0;
  /** Term held last, until the store has told that it is over; 0 when there is none. */
  private lastTerm = 0;
  private leaseId = '';
  /** Era of the service in which the role was taken. */
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
    /** Mean time between looks at whether the role is free. */
    private readonly acquireIntervalMs: () => number,
    /** False while this process could not do what the role is for. */
    private readonly isEligible: () => boolean = () => true,
  ) {}

  /** Current term while the role is held, otherwise 0. */
  heldTerm(): number {
    return this.isCurrentEra && this.clock.monotonicMs() < this.heldUntilMs ? this.term : 0;
  }

  /** False while no other process can have held the role before. */
  get hasPredecessor(): boolean {
    return this.mayHavePredecessor;
  }

  /**
   * The held term, and beyond its time the last one for as long as the store does not answer:
   * hardly anybody can have taken the role over then.
   */
  actingTerm(): number {
    const held = this.heldTerm();
    return held > 0 || !this.isCurrentEra ? held : this.lastTerm;
  }

  start(): void {
    this.task.start(Math.random() * MAX_START_DELAY_MS);
  }

  /** Looks at the role now, because it has become free. */
  acquireSoon(): void {
    if (this.heldTerm() === 0) this.task.runSoon();
  }

  /** Takes in that the service came back from an older copy: the role is over. */
  onStoreRestored(): void {
    this.release();
    this.task.runSoon();
  }

  dispose(): void {
    this.task.dispose();
    this.release();
  }

  /** One round; returns the time until the next. */
  private async step(): Promise<number> {
    try {
      if (!this.isEligible()) this.stepDown();
      else if (this.heldTerm() > 0) await this.renew();
      else await this.acquire();
    } catch (thrown) {
      this.log.debug('term lease call failed', {key: this.key, error: errorMessage(thrown)});
    }
    // Jitter keeps processes that started together from asking together.
    const acquireDelayMs = this.acquireIntervalMs() * (0.5 + Math.random());
    return this.heldTerm() > 0 ? this.ttlMs / 3 : acquireDelayMs;
  }

  /** The lease is left to lapse, so that the role has no other holder before its time is over. */
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
    // A lease of an earlier era may be another's by now.
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

  /** Reserves the next term; 0 when another process was quicker. */
  private async reserveTerm(): Promise<number> {
    const entry = await this.kv.get(`${this.key}/term`);
    const stored = entry === null ? 0 : Number(entry.value);
    this.mayHavePredecessor = entry !== null || this.kv.wasRestored;
    // A service that came back from a copy has forgotten terms; the era stands for them.
    const term = Math.max(stored, this.kv.era * TERMS_PER_ERA) + 1;
    const outcome = await this.kv.write(`${this.key}/term`, String(term), entry?.version ?? 0);
    return outcome.kind === 'written' ? term : 0;
  }
}
