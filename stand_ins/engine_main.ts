/** Starts the engine stand-in. */
import {request} from 'undici';
import {parseBoundedInteger, parseHostPort, runProgram} from '@jasminepost/core';
import {EngineStandIn} from './engine.ts';

const SETTINGS = {
  listen: {flag: 'listen', help: 'host:port'},
  totalMiB: {flag: 'total-mib', help: 'Accelerator memory', fallback: '81920'},
  slots: {flag: 'slots', help: 'Concurrent requests', fallback: '8'},
  tokenMs: {flag: 'token-ms', help: 'Time between tokens', fallback: '5'},
  prefillMs: {flag: 'prefill-ms', help: 'Prefill time of an uncached prompt', fallback: '10'},
  reportLagMs: {flag: 'report-lag-ms', help: 'Age of reports', fallback: '100'},
  fencing: {flag: 'fencing', help: 'honoured or ignored', fallback: 'honoured'},
  crashText: {flag: 'crash-text', help: 'Prompt text that crashes the engine', fallback: ''},
  loadMs: {flag: 'load-ms', help: 'Load time without a weight store', fallback: '50'},
  weightStoreUrl: {flag: 'weight-store-url', help: 'URL of the weight store', fallback: ''},
} as const;

/** Adapters are small and loaded from the engine's host, not from the weight store. */
const ADAPTER_LOAD_MS = 10;

void runProgram('stand-in-engine', SETTINGS, async raw => {
  const loadMs = parseBoundedInteger('load-ms', raw.loadMs, 0, 600_000);
  const wait = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms));
  const standIn = new EngineStandIn({
    totalMiB: parseBoundedInteger('total-mib', raw.totalMiB, 1, 1e9),
    slots: parseBoundedInteger('slots', raw.slots, 1, 100_000),
    tokenMs: parseBoundedInteger('token-ms', raw.tokenMs, 0, 60_000),
    prefillMs: parseBoundedInteger('prefill-ms', raw.prefillMs, 0, 60_000),
    reportLagMs: parseBoundedInteger('report-lag-ms', raw.reportLagMs, 0, 60_000),
    honoursFencing: raw.fencing === 'honoured',
    crashText: raw.crashText,
    fetchWeights: async item => {
      if (item.includes('/')) return wait(ADAPTER_LOAD_MS);
      if (raw.weightStoreUrl === '') return wait(loadMs);
      const res = await request(`${raw.weightStoreUrl}/v1/weights/${encodeURIComponent(item)}`);
      await res.body.dump();
    },
  });
  await standIn.http.listen(parseHostPort('listen', raw.listen));
});
