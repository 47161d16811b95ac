/** Simulates load reports from one steward to gateways, in virtual time. */
import {createLogger, ok} from '@jasminepost/core';
import type {EngineReport} from '@jasminepost/serving';
import {EngineMonitor} from '../../apps/steward/src/lib/engine_monitor.ts';
import {
  LoadSubscriptions,
  type LoadAudience,
} from '../../apps/steward/src/lib/load_subscriptions.ts';

export interface LoadReportRates {
  /** Messages a second that each gateway received, by its audience. */
  readonly perSecond: Readonly<Record<LoadAudience, number>>;
  /** Longest time between two messages, by audience. */
  readonly longestGapMs: Readonly<Record<LoadAudience, number>>;
}

const STEP_MS = 100;
const RENEW_INTERVAL_MS = 1000;
const SUBSCRIPTION_MS = 2500;
const GATEWAYS: ReadonlyArray<{
  id: string;
  zone: string;
  isSender: boolean;
  audience: LoadAudience;
}> = [
  {id: 'g1', zone: 'a', isSender: true, audience: 'near'},
  {id: 'g2', zone: 'b', isSender: true, audience: 'far'},
  {id: 'g3', zone: 'a', isSender: false, audience: 'idle'},
];

/** Simulates `seconds` during which the replica's load changes with every report. */
export async function simulateLoadReports(seconds: number): Promise<LoadReportRates> {
  let nowMs = 0;
  const subscriptions = new LoadSubscriptions('a');
  const receivedMs = new Map<string, number[]>(GATEWAYS.map(({id}) => [id, []]));
  const monitor = new EngineMonitor({
    clock: {monotonicMs: () => nowMs, wallMs: () => nowMs},
    log: createLogger('steward', 'test', 'error'),
    readReport: () => Promise.resolve(ok(reportAt(nowMs))),
    broadcast: () => undefined,
    broadcastTo: audience => {
      for (const {id, zone} of GATEWAYS) {
        if (subscriptions.audienceOf(id, zone, nowMs) === audience) receivedMs.get(id)!.push(nowMs);
      }
    },
    gateways: () => GATEWAYS.length,
    moving: () => '',
    unloading: () => '',
    weightStoreLoads: () => ({term: 0, closed: 0, latestStartsMs: []}),
    onReport: () => undefined,
    onRestart: () => undefined,
  });
  for (; nowMs < seconds * 1000; nowMs += STEP_MS) {
    for (const {id, isSender: sends} of GATEWAYS) {
      if (sends && nowMs % RENEW_INTERVAL_MS === 0) subscriptions.renew(id, SUBSCRIPTION_MS, nowMs);
    }
    await monitor.refresh();
  }
  const outcome = {
    perSecond: {near: 0, far: 0, idle: 0},
    longestGapMs: {near: 0, far: 0, idle: 0},
  };
  for (const {id, audience} of GATEWAYS) {
    const times = receivedMs.get(id)!;
    outcome.perSecond[audience] = times.length / seconds;
    const gaps = times.slice(1).map((atMs, index) => atMs - times[index]);
    outcome.longestGapMs[audience] = Math.max(...gaps);
  }
  return outcome;
}

function reportAt(nowMs: number): EngineReport {
  return {
    leaving: false,
    limitPerS: undefined,
    bornMs: 1,
    models: [],
    busy: false,
    sequence: 0,
    waiting: 0,
    running: Math.floor(nowMs / STEP_MS),
    prefilling: 0,
    kvUsed: 0,
    kvTotal: 1,
    incoming: [],
    copies: {inMemory: [], onDisk: []},
  };
}
