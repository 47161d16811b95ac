/** Queues crash reports for other processes: merged by key, each fact once, within a byte rate. */
import type {ReplicaFailure} from './crash_record.ts';

/** What a process reports about one key, with times on its own monotonic clock. @public */
export interface CrashReport {
  readonly key: string;
  readonly failures: readonly ReplicaFailure[];
  /** Replica incarnations that turned out to be alive. */
  readonly withdrawn: readonly string[];
  /** Time of the latest completed request with the key; undefined if none is reported. */
  readonly completedMs: number | undefined;
}

/** Encoded sizes without the names of keys and replicas. */
const REPORT_BYTES = 90;
const FAILURE_BYTES = 50;
const WITHDRAWAL_BYTES = 3;
/** Unused allowance that is kept, as time at the current rate. */
const MAX_SAVED_MS = 250;
/** Keys that are remembered, and that may be pending; as many as a `CrashRecord` keeps. */
const MAX_KEYS = 10_000;
/** Reports about a key with so many failures may restrict requests and are sent first. */
const MIN_URGENT_FAILURES = 2;

interface KeyState {
  /** Failure times of replicas that have been reported, including pending ones. */
  readonly failedMs: Map<string, number>;
  /** Withdrawals that have been reported, including pending ones. */
  readonly withdrawn: Set<string>;
  completedMs: number;
  /** True when a completion has been reported since the last failure. */
  isAnswered: boolean;
  readonly pendingFailures: Map<string, ReplicaFailure>;
  readonly pendingWithdrawals: Set<string>;
  isCompletionPending: boolean;
}

/** @public */
export class CrashReportQueue {
  private readonly states = new Map<string, KeyState>();
  private readonly urgent = new Set<string>();
  private readonly ordinary = new Set<string>();
  private allowanceBytes = 0;
  private refilledMs = Number.NEGATIVE_INFINITY;

  get isEmpty(): boolean {
    return this.urgent.size === 0 && this.ordinary.size === 0;
  }

  /** Adds a report; facts that have been added before are dropped. */
  add({key, failures, withdrawn, completedMs}: CrashReport): void {
    const state = this.states.get(key) ?? newState();
    this.states.delete(key);
    this.states.set(key, state);
    if (completedMs !== undefined) addCompletion(state, completedMs);
    for (const replica of withdrawn) addWithdrawal(state, replica);
    for (const failure of failures) addFailure(state, failure);
    this.schedule(key, state);
    if (this.states.size > MAX_KEYS) this.forget(this.states.keys().next().value!);
  }

  /** Removes the reports that may be sent now; those that restrict requests come first. */
  take(nowMs: number, bytesPerS: number): CrashReport[] {
    const elapsedMs = Math.max(0, nowMs - this.refilledMs);
    const maxBytes = (bytesPerS * MAX_SAVED_MS) / 1000;
    this.allowanceBytes = Math.min(maxBytes, this.allowanceBytes + (bytesPerS * elapsedMs) / 1000);
    this.refilledMs = nowMs;
    const taken: CrashReport[] = [];
    for (const keys of [this.urgent, this.ordinary]) {
      for (const key of keys) {
        // A report larger than the allowance is paid for by those after it.
        if (this.allowanceBytes <= 0) return taken;
        const report = takePending(key, this.states.get(key)!);
        keys.delete(key);
        this.allowanceBytes -= reportBytes(report);
        taken.push(report);
      }
    }
    return taken;
  }

  /** Forgets everything, as the receiver has changed. */
  clear(): void {
    this.states.clear();
    this.urgent.clear();
    this.ordinary.clear();
  }

  private schedule(key: string, state: KeyState): void {
    if (!isPending(state)) {
      this.urgent.delete(key);
      this.ordinary.delete(key);
      return;
    }
    if (this.urgent.has(key)) return;
    if (state.failedMs.size < MIN_URGENT_FAILURES) {
      this.ordinary.add(key);
      return;
    }
    this.ordinary.delete(key);
    this.urgent.add(key);
  }

  private forget(key: string): void {
    this.states.delete(key);
    this.urgent.delete(key);
    this.ordinary.delete(key);
  }
}

/**
 * Approximate encoded size of a report.
 *
 * @example
 * const bytes = reports.reduce((sum, report) => sum + reportBytes(report), 0);
 * @public
 */
export function reportBytes({key, failures, withdrawn}: CrashReport): number {
  let bytes = REPORT_BYTES + key.length;
  for (const {replica} of failures) bytes += FAILURE_BYTES + replica.length;
  for (const replica of withdrawn) bytes += WITHDRAWAL_BYTES + replica.length;
  return bytes;
}

function newState(): KeyState {
  return {
    failedMs: new Map(),
    withdrawn: new Set(),
    completedMs: Number.NEGATIVE_INFINITY,
    isAnswered: false,
    pendingFailures: new Map(),
    pendingWithdrawals: new Set(),
    isCompletionPending: false,
  };
}

/** Adds a completion that clears a failure, or that is the first since the last failure. */
function addCompletion(state: KeyState, atMs: number): void {
  const {failedMs, pendingFailures} = state;
  const clears = [...failedMs.values()].some(
    failed => state.completedMs < failed && failed <= atMs,
  );
  if (state.isAnswered && !clears) return;
  state.completedMs = Math.max(state.completedMs, atMs);
  state.isAnswered = true;
  state.isCompletionPending = true;
  for (const [replica, failed] of failedMs) {
    if (failed > state.completedMs) continue;
    failedMs.delete(replica);
    pendingFailures.delete(replica);
  }
}

function addWithdrawal(state: KeyState, replica: string): void {
  state.failedMs.delete(replica);
  state.pendingFailures.delete(replica);
  if (state.withdrawn.has(replica)) return;
  state.withdrawn.add(replica);
  state.pendingWithdrawals.add(replica);
}

function addFailure(state: KeyState, failure: ReplicaFailure): void {
  const {replica, atMs} = failure;
  if (state.failedMs.has(replica) || atMs <= state.completedMs) return;
  state.failedMs.set(replica, atMs);
  state.withdrawn.delete(replica);
  state.isAnswered = false;
  state.pendingFailures.set(replica, failure);
}

function isPending(state: KeyState): boolean {
  return (
    state.isCompletionPending || state.pendingFailures.size > 0 || state.pendingWithdrawals.size > 0
  );
}

function takePending(key: string, state: KeyState): CrashReport {
  const report: CrashReport = {
    key,
    failures: [...state.pendingFailures.values()],
    withdrawn: [...state.pendingWithdrawals],
    completedMs: state.isCompletionPending ? state.completedMs : undefined,
  };
  state.pendingFailures.clear();
  state.pendingWithdrawals.clear();
  state.isCompletionPending = false;
  return report;
}
