/** Random series of crash reports that pass through a queue with a byte rate. */
import assert from 'node:assert/strict';
import fc from 'fast-check';
import {
  CrashRecord,
  CrashReportQueue,
  partKey,
  reportBytes,
  type CrashReport,
} from '@jasminepost/policy';

const KEYS = ['request-1', 'request-2', partKey('one'), partKey('two')];
const REPLICAS = 4;
const MAX_INTERVAL_MS = 400;
const BYTES_PER_S = 600;
const SECOND_MS = 1000;
/** Allowance that a queue saves while it has nothing to send. */
const MAX_SAVED_MS = 250;
/** Time in which any series of reports is sent. */
const DRAIN_MS = 60_000;
const MAX_REPORT_BYTES = 1000;

interface ReportedEvent {
  readonly key: number;
  readonly replica: number;
  readonly kind: 'failure' | 'withdrawal' | 'completion';
  readonly afterMs: number;
  /** Number of gateways that report the same. */
  readonly repeats: number;
  readonly takes: boolean;
}

const events = fc.array(
  fc.record({
    key: fc.nat(KEYS.length - 1),
    replica: fc.nat(REPLICAS - 1),
    kind: fc.constantFrom<ReportedEvent['kind']>('failure', 'failure', 'withdrawal', 'completion'),
    afterMs: fc.integer({min: 1, max: MAX_INTERVAL_MS}),
    repeats: fc.integer({min: 1, max: 3}),
    takes: fc.boolean(),
  }),
  {minLength: 1, maxLength: 60},
);

export function checkEvidence(runs: number): void {
  const property = fc.property(events, series => {
    const direct = new CrashRecord('receiver');
    const queued = new CrashRecord('receiver');
    let nowMs = 0;
    play(series, {
      onReport: (report, atMs) => {
        nowMs = atMs;
        apply(direct, report);
      },
      onTaken: reports => reports.forEach(report => apply(queued, report)),
    });
    for (const key of KEYS) {
      const names = (record: CrashRecord) => record.failuresOf(key).map(({replica}) => replica);
      assert.deepEqual(names(queued).sort(), names(direct).sort(), key);
      assert.deepEqual(queued.decide([key], nowMs), direct.decide([key], nowMs), key);
    }
  });
  fc.assert(property, {numRuns: runs});
}

export function checkByteRate(runs: number): void {
  const property = fc.property(events, series => {
    const sent: Array<{readonly atMs: number; readonly bytes: number}> = [];
    play(series, {
      onReport: () => undefined,
      onTaken: (reports, atMs) =>
        reports.forEach(report => sent.push({atMs, bytes: reportBytes(report)})),
    });
    for (const {atMs: fromMs} of sent) {
      const within = sent.filter(({atMs}) => atMs >= fromMs && atMs < fromMs + SECOND_MS);
      const bytes = within.reduce((sum, report) => sum + report.bytes, 0);
      const saved = (BYTES_PER_S * MAX_SAVED_MS) / SECOND_MS;
      assert.ok(bytes <= BYTES_PER_S + saved + MAX_REPORT_BYTES, `${bytes} bytes in a second`);
    }
  });
  fc.assert(property, {numRuns: runs});
}

function play(
  series: readonly ReportedEvent[],
  handlers: {
    onReport(report: CrashReport, atMs: number): void;
    onTaken(reports: readonly CrashReport[], atMs: number): void;
  },
): void {
  const queue = new CrashReportQueue();
  let nowMs = 0;
  for (const event of series) {
    nowMs += event.afterMs;
    for (let repeat = 0; repeat < event.repeats; repeat += 1) {
      const report = toReport(event, nowMs);
      handlers.onReport(report, nowMs);
      queue.add(report);
    }
    if (event.takes) handlers.onTaken(queue.take(nowMs, BYTES_PER_S), nowMs);
  }
  const endMs = nowMs + DRAIN_MS;
  while (!queue.isEmpty && nowMs < endMs) {
    nowMs += MAX_SAVED_MS;
    handlers.onTaken(queue.take(nowMs, BYTES_PER_S), nowMs);
  }
  assert.ok(queue.isEmpty, 'reports were not sent');
}

function toReport({key, replica, kind}: ReportedEvent, nowMs: number): CrashReport {
  const name = `replica-${replica}`;
  const failure = {replica: name, sentMs: nowMs - 100, atMs: nowMs};
  return {
    key: KEYS[key],
    failures: kind === 'failure' ? [failure] : [],
    withdrawn: kind === 'withdrawal' ? [name] : [],
    completedMs: kind === 'completion' ? nowMs : undefined,
  };
}

function apply(record: CrashRecord, {key, failures, withdrawn, completedMs}: CrashReport): void {
  if (completedMs !== undefined) record.complete(key, completedMs);
  for (const replica of withdrawn) record.withdraw(key, replica);
  for (const failure of failures) record.add(key, failure);
}
