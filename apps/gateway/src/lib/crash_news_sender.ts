/** Sends crash reports within a byte rate, so that other messages need not wait behind them. */
import type {Clock} from '@jasminepost/core';
import type {CrashNewsMessage} from '@jasminepost/mesh';
import {CrashReportQueue, type CrashReport, type ReplicaFailure} from '@jasminepost/policy';

/**
 * Bytes of crash reports that all gateways together may send to the planner's, and the planner's
 * to all others: half of a link of 10 Mbit/s.
 */
export const FLEET_REPORT_BYTES_PER_S = 600_000;
/** Reports of this time are sent in one message. */
const BATCH_MS = 50;

type RequestNews = CrashNewsMessage['requests'][number];

/** @internal */
export class CrashNewsSender {
  private readonly queue = new CrashReportQueue();
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param bytesPerS - Byte rate of one receiver's messages.
   * @param send - Called with the next message.
   */
  constructor(
    private readonly clock: Clock,
    private readonly bytesPerS: () => number,
    private readonly send: (message: CrashNewsMessage) => void,
  ) {}

  get isEmpty(): boolean {
    return this.queue.isEmpty;
  }

  add({requests}: CrashNewsMessage): void {
    const nowMs = this.clock.monotonicMs();
    for (const request of requests) this.queue.add(toReport(request, nowMs));
    this.schedule();
  }

  /** Starts again with these reports, for a receiver that may know none. */
  restart(known: CrashNewsMessage): void {
    this.queue.clear();
    this.add(known);
  }

  dispose(): void {
    clearTimeout(this.timer);
    this.queue.clear();
  }

  private schedule(): void {
    if (this.queue.isEmpty) return;
    this.timer ??= setTimeout(() => this.flush(), BATCH_MS);
  }

  private flush(): void {
    this.timer = undefined;
    const nowMs = this.clock.monotonicMs();
    const reports = this.queue.take(nowMs, this.bytesPerS());
    if (reports.length > 0) {
      this.send({type: 'crash_news', requests: reports.map(report => fromReport(report, nowMs))});
    }
    this.schedule();
  }
}

/**
 * Converts times to ages, because the monotonic clocks of gateways are unrelated.
 *
 * @internal
 */
export function toEnding(
  {replica, sentMs, atMs}: ReplicaFailure,
  nowMs: number,
): RequestNews['endings'][number] {
  return {
    replica,
    sentAgoMs: Math.max(0, nowMs - sentMs),
    agoMs: Math.max(0, nowMs - atMs),
  };
}

function toReport(
  {fingerprint, endings, withdrawn, served, completedAgoMs = 0}: RequestNews,
  nowMs: number,
): CrashReport {
  return {
    key: fingerprint,
    failures: endings.map(({replica, sentAgoMs, agoMs}) => ({
      replica,
      sentMs: nowMs - sentAgoMs,
      atMs: nowMs - agoMs,
    })),
    withdrawn,
    completedMs: served ? nowMs - completedAgoMs : undefined,
  };
}

function fromReport(
  {key, failures, withdrawn, completedMs}: CrashReport,
  nowMs: number,
): RequestNews {
  return {
    fingerprint: key,
    endings: failures.map(failure => toEnding(failure, nowMs)),
    withdrawn: [...withdrawn],
    served: completedMs !== undefined,
    ...(completedMs === undefined ? {} : {completedAgoMs: Math.max(0, nowMs - completedMs)}),
  };
}
