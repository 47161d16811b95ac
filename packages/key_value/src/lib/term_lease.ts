/** A role that at most one process holds at a time, with a term that only grows. */
import {z} from 'zod';
import {messageOf, RepeatingTask, type Clock, type Logger} from '@jasminepost/core';
import type {KeyValueStore} from './key_value_store.ts';

const START_SPREAD_MS = 150;
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
export class TermLease {
  private term = 0;
  /** Term held last, until the store has told that it is over; 0 when there is none. */
  private lastTerm = 0;
  private leaseId = '';
  /** Era of the service in which the role was taken. */
  private era = 0;
  private isSuccessor = false;
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
    private readonly tryIntervalMs: () => number,
    /** False while this process could not do what the role is for. */
    private readonly isFit: () => boolean = () => true,
  ) {}

  /** Current term while the role is held, otherwise 0. */
  heldTerm(): number {
    return this.isOfThisEra && this.clock.monotonicMs() < this.heldUntilMs ? this.term : 0;
  }

  /** False while no other process can have held the role before. */
  get hasPredecessor(): boolean {
    return this.isSuccessor;
  }

  /**
   * The held term, and beyond its time the last one for as long as the store does not answer:
   * hardly anybody can have taken the role over then.
   */
  actingTerm(): number {
    const held = this.heldTerm();
    return held > 0 || !this.isOfThisEra ? held : this.lastTerm;
  }

  start(): void {
    this.task.start(Math.random() * START_SPREAD_MS);
  }

  /** Looks at the role now, because it has become free. */
  lookSoon(): void {
    if (this.heldTerm() === 0) this.task.wake();
  }

  /** Takes in that the service came back from an older copy: the role is over. */
  onNewEra(): void {
    this.release();
    this.task.wake();
  }

  dispose(): void {
    this.task.dispose();
    this.release();
  }

  /** One round; returns the time until the next. */
  private async step(): Promise<number> {
    try {
      if (!this.isFit()) this.giveUp();
      else if (this.heldTerm() > 0) await this.renew();
      else await this.acquire();
    } catch (thrown) {
      this.log.debug('term lease call failed', {key: this.key, error: messageOf(thrown)});
    }
    // Jitter keeps processes that started together from asking together.
    const tryMs = this.tryIntervalMs() * (0.5 + Math.random());
    return this.heldTerm() > 0 ? this.ttlMs / 3 : tryMs;
  }

  /** The lease is left to lapse, so that the role has no other holder before its time is over. */
  private giveUp(): void {
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
    if (alive && this.isOfThisEra) this.heldUntilMs = sentMs + this.ttlMs;
    else this.release();
  }

  private async acquire(): Promise<void> {
    const current = await this.kv.get(`${this.key}/holder`);
    if (current !== null) {
      if (this.lastTerm > 0 && current.value === this.recordOf(this.lastTerm)) await this.renew();
      else this.lastTerm = 0;
      return;
    }
    this.lastTerm = 0;
    const {era} = this.kv;
    const sentMs = this.clock.monotonicMs();
    const leaseId = await this.kv.createLease(this.ttlMs);
    const term = await this.nextTerm();
    if (term === 0) return;
    const outcome = await this.kv.write(`${this.key}/holder`, this.recordOf(term), 0, leaseId);
    // A lease of an earlier era may be another's by now.
    if (outcome.kind === 'conflict' || this.kv.era !== era) return;
    this.era = era;
    this.term = term;
    this.lastTerm = term;
    this.leaseId = leaseId;
    this.heldUntilMs = sentMs + this.ttlMs;
    this.log.info('role acquired', {key: this.key, term});
  }

  private get isOfThisEra(): boolean {
    return this.era === this.kv.era;
  }

  private recordOf(term: number): string {
    return JSON.stringify(holderSchema.parse({holder: this.holder, term}));
  }

  /** Reserves the next term; 0 when another process was quicker. */
  private async nextTerm(): Promise<number> {
    const entry = await this.kv.get(`${this.key}/term`);
    const stored = entry === null ? 0 : Number(entry.value);
    this.isSuccessor = entry !== null || this.kv.hasComeBack;
    // A service that came back from a copy has forgotten terms; the era stands for them.
    const term = Math.max(stored, this.kv.era * TERMS_PER_ERA) + 1;
    const outcome = await this.kv.write(`${this.key}/term`, String(term), entry?.version ?? 0);
    return outcome.kind === 'written' ? term : 0;
  }
}
