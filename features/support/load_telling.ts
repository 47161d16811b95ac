/** One steward that tells gateways of its replica's load, in virtual time. */
import {createLogger, ok} from '@jasminepost/core';
import type {EngineReport} from '@jasminepost/serving';
import {EngineMonitor} from '../../apps/steward/src/lib/engine_monitor.ts';
import {
  LoadSubscriptions,
  type LoadAudience,
} from '../../apps/steward/src/lib/load_subscriptions.ts';

export interface LoadTelling {
  /** Messages that each gateway got in a second, by what it is to the replica. */
  readonly perSecond: Readonly<Record<LoadAudience, number>>;
  /** Longest time without a message, likewise. */
  readonly longestGapMs: Readonly<Record<LoadAudience, number>>;
}

const STEP_MS = 100;
const INTEREST_MS = 1000;
const INTEREST_VALID_MS = 2500;
const GATEWAYS: ReadonlyArray<{id: string; zone: string; sends: boolean; is: LoadAudience}> = [
  {id: 'g1', zone: 'a', sends: true, is: 'near'},
  {id: 'g2', zone: 'b', sends: true, is: 'far'},
  {id: 'g3', zone: 'a', sends: false, is: 'idle'},
];

/** Plays `seconds` in which the replica's load changes with every report. */
export async function tellLoads(seconds: number): Promise<LoadTelling> {
  let nowMs = 0;
  const interest = new LoadSubscriptions('a');
  const told = new Map<string, number[]>(GATEWAYS.map(({id}) => [id, []]));
  const watch = new EngineMonitor({
    clock: {monotonicMs: () => nowMs, wallMs: () => nowMs},
    log: createLogger('steward', 'test', 'error'),
    readReport: () => Promise.resolve(ok(reportAt(nowMs))),
    broadcast: () => undefined,
    broadcastTo: audience => {
      for (const {id, zone} of GATEWAYS) {
        if (interest.audienceOf(id, zone, nowMs) === audience) told.get(id)!.push(nowMs);
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
    for (const {id, sends} of GATEWAYS) {
      if (sends && nowMs % INTEREST_MS === 0) interest.renew(id, INTEREST_VALID_MS, nowMs);
    }
    await watch.refresh();
  }
  const outcome = {
    perSecond: {near: 0, far: 0, idle: 0},
    longestGapMs: {near: 0, far: 0, idle: 0},
  };
  for (const {id, is} of GATEWAYS) {
    const times = told.get(id)!;
    outcome.perSecond[is] = times.length / seconds;
    const gaps = times.slice(1).map((atMs, index) => atMs - times[index]);
    outcome.longestGapMs[is] = Math.max(...gaps);
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
