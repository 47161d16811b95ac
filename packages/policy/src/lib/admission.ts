/** Admission to one upstream: paid requests first, trial requests in spare capacity. */
import type {NotRunReason, RequestClass} from '@jasminepost/core';

const SERVICE_TIME_WEIGHT = 0.1;
const INITIAL_SERVICE_MS = 1000;

/** A request that is queued or running on the upstream. @public */
export interface Ticket {
  readonly class: RequestClass;
  /** Monotonic time at which the request becomes useless. */
  readonly deadlineMs: number;
  /** True when nothing else may run on the upstream at the same time. */
  readonly isolate: boolean;
  /** True when the request can be stopped now and resumed elsewhere. */
  readonly preemptible: boolean;
  startedMs: number;
}

/** @public */
export interface AdmissionLimits {
  readonly slots: number;
  /** Slots that trial requests leave free for paid ones. */
  readonly paidReserve: number;
  /** Expected wait above which requests of a class are refused, in milliseconds. */
  readonly paidMaxWaitMs: number;
  readonly trialMaxWaitMs: number;
  /** Expected wait above which paid requests are redirected if another replica is left to try. */
  readonly paidRedirectMs: number;
}

/** @public */
export type AdmissionDecision =
  | {readonly kind: 'queued'}
  | {readonly kind: 'refused'; readonly reason: NotRunReason; readonly retryAfterMs: number};

/** Queue of one upstream, without timers: the owner calls `next` when something changes. @public */
export class AdmissionQueue<T extends Ticket> {
  private readonly paid: T[] = [];
  private readonly trial: T[] = [];
  readonly running = new Set<T>();
  private serviceMs = INITIAL_SERVICE_MS;

  constructor(private limits: AdmissionLimits) {}

  setLimits(limits: AdmissionLimits): void {
    this.limits = limits;
  }

  /** Number of requests of a class that are running or queued. */
  occupancy(requestClass: RequestClass): number {
    const queued = requestClass === 'paid' ? this.paid.length : this.trial.length;
    const paid = this.runningPaid();
    return queued + (requestClass === 'paid' ? paid : this.running.size - paid);
  }

  /** Mean time that a request occupies a slot, in milliseconds. */
  get meanServiceMs(): number {
    return this.serviceMs;
  }

  get queued(): number {
    return this.paid.length + this.trial.length;
  }

  /** Expected wait of a new request in milliseconds. */
  expectedWaitMs(requestClass: RequestClass): number {
    const {slots} = this.limits;
    const usable = requestClass === 'paid' ? slots : Math.max(1, slots - this.limits.paidReserve);
    const busy = requestClass === 'paid' ? this.runningPaid() : this.running.size;
    const ahead = requestClass === 'paid' ? this.paid.length : this.queued;
    const excess = busy + ahead + 1 - usable;
    return excess <= 0 ? 0 : (excess / usable) * this.serviceMs;
  }

  /**
   * Queues a request, or refuses it with the time after which to retry.
   *
   * @param hasAlternative - True when another replica is left to try.
   */
  offer(ticket: T, nowMs: number, hasAlternative = false): AdmissionDecision {
    const waitMs = this.expectedWaitMs(ticket.class);
    const limitMs = this.waitLimitMs(ticket.class, hasAlternative);
    if (ticket.deadlineMs <= nowMs) return refused('deadline_passed', 0);
    if (waitMs > limitMs) {
      const reason = ticket.class === 'paid' && hasAlternative ? 'redirected' : 'queue_full';
      return refused(reason, waitMs - limitMs);
    }
    if (nowMs + waitMs > ticket.deadlineMs) return refused('deadline_passed', waitMs);
    insertByDeadline(ticket.class === 'paid' ? this.paid : this.trial, ticket);
    return {kind: 'queued'};
  }

  /** Queues a request regardless of the wait, because a refusal would cut off its response. */
  readmit(ticket: T): AdmissionDecision {
    insertByDeadline(ticket.class === 'paid' ? this.paid : this.trial, ticket);
    return {kind: 'queued'};
  }

  /** Removes the next request to start and counts it as running; undefined when none may start. */
  next(nowMs: number): T | undefined {
    const ticket = this.peek();
    if (ticket === undefined) return undefined;
    const queue = ticket.class === 'paid' ? this.paid : this.trial;
    queue.shift();
    ticket.startedMs = nowMs;
    this.running.add(ticket);
    return ticket;
  }

  /** Trial request to preempt so that a queued paid request can start. */
  preemptionVictim(): T | undefined {
    const waiting = this.paid[0];
    if (waiting === undefined || waiting.isolate) return undefined;
    if (this.running.size < this.limits.slots) return undefined;
    let victim: T | undefined;
    for (const ticket of this.running) {
      const eligible = ticket.class === 'trial' && ticket.preemptible && !ticket.isolate;
      // The newest request loses the least work.
      if (eligible && (victim === undefined || ticket.startedMs > victim.startedMs)) {
        victim = ticket;
      }
    }
    return victim;
  }

  /** Removes a running request; `servedMs` of completed ones updates the wait estimate. */
  release(ticket: T, servedMs?: number): void {
    this.running.delete(ticket);
    if (servedMs !== undefined) {
      this.serviceMs += SERVICE_TIME_WEIGHT * (servedMs - this.serviceMs);
    }
  }

  /** Removes a queued request; false when it is not queued. */
  withdraw(ticket: T): boolean {
    const queue = ticket.class === 'paid' ? this.paid : this.trial;
    const index = queue.indexOf(ticket);
    if (index >= 0) queue.splice(index, 1);
    return index >= 0;
  }

  /** Removes and returns queued requests whose deadline has passed. */
  expire(nowMs: number): T[] {
    const expired = [...this.paid, ...this.trial].filter(t => t.deadlineMs <= nowMs);
    for (const ticket of expired) this.withdraw(ticket);
    return expired;
  }

  /** Removes and returns all queued requests. */
  drainQueue(): T[] {
    return [...this.paid.splice(0), ...this.trial.splice(0)];
  }

  private waitLimitMs(requestClass: RequestClass, hasAlternative: boolean): number {
    if (requestClass === 'trial') return this.limits.trialMaxWaitMs;
    return hasAlternative ? this.limits.paidRedirectMs : this.limits.paidMaxWaitMs;
  }

  private peek(): T | undefined {
    if ([...this.running].some(ticket => ticket.isolate)) return undefined;
    const free = this.limits.slots - this.running.size;
    if (free <= 0) return undefined;
    const head = this.paid[0] ?? this.trialHead(free);
    if (head === undefined) return undefined;
    return head.isolate && this.running.size > 0 ? undefined : head;
  }

  private trialHead(free: number): T | undefined {
    const reserve = Math.min(this.limits.paidReserve, this.limits.slots - 1);
    return free > reserve ? this.trial[0] : undefined;
  }

  private runningPaid(): number {
    let paid = 0;
    for (const ticket of this.running) if (ticket.class === 'paid') paid += 1;
    return paid;
  }
}

function insertByDeadline<T extends Ticket>(queue: T[], ticket: T): void {
  let index = queue.length;
  while (index > 0 && queue[index - 1].deadlineMs > ticket.deadlineMs) index -= 1;
  queue.splice(index, 0, ticket);
}

function refused(reason: NotRunReason, retryAfterMs: number): AdmissionDecision {
  return {kind: 'refused', reason, retryAfterMs: Math.ceil(retryAfterMs)};
}
