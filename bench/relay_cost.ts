/** Cost of relaying through entry and sidecar, compared with direct requests to the same engine. */
import {Histogram} from '@jasminepost/core';
import {PAID_KEY, TestFleet} from '../features/support/test_fleet.ts';
import {cpuSeconds} from './process_meter.ts';

const PAIRS = 300;
const STREAMS = 150;
const TOKENS = 2000;

/** Time until the first event of a streamed completion. */
async function measureFirstTokenMs(url: string, prompt: string): Promise<number> {
  const startMs = performance.now();
  const res = await fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: {authorization: `Bearer ${PAID_KEY}`},
    body: JSON.stringify({
      model: 'summary',
      messages: [{role: 'user', content: prompt}],
      max_tokens: 2,
      stream: true,
    }),
  });
  const reader = (res.body as unknown as ReadableStream<Uint8Array>).getReader();
  await reader.read();
  const elapsedMs = performance.now() - startMs;
  for (let done = false; !done;) done = (await reader.read()).done;
  return elapsedMs;
}

async function readStream(url: string, index: number): Promise<void> {
  const res = await fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: {authorization: `Bearer ${PAID_KEY}`},
    body: JSON.stringify({
      model: 'summary',
      messages: [{role: 'user', content: `stream ${index}`}],
      max_tokens: TOKENS,
      stream: true,
    }),
  });
  await res.arrayBuffer();
}

/** Prints the latency added to the first token, and tokens per processor second of each role. */
export async function runRelayCost(): Promise<void> {
  const fleet = new TestFleet({
    engines: 2,
    services: 0,
    entries: 1,
    engineArgs: ['--prefill-ms', '0', '--token-ms', '1', '--slots', '100'],
  });
  await fleet.start();
  try {
    await measureFirstToken(fleet);
    await measureTokens(fleet);
  } finally {
    await fleet.stop();
  }
}

async function measureFirstToken(fleet: TestFleet): Promise<void> {
  const direct = new Histogram('direct', '');
  const relayed = new Histogram('relayed', '');
  for (let i = 0; i < PAIRS + 50; i++) {
    const directMs = await measureFirstTokenMs(fleet.engines[0].url, `pair ${i}`);
    const relayedMs = await measureFirstTokenMs(fleet.entries[0].url, `pair ${i}`);
    if (i < 50) continue;
    direct.recordMs(directMs);
    relayed.recordMs(relayedMs);
  }
  for (const q of [50, 95, 99]) {
    const addedMs = relayed.quantileMs(q) - direct.quantileMs(q);
    process.stdout.write(
      `first token p${q}: direct ${direct.quantileMs(q).toFixed(2)} ms, ` +
        `relayed ${relayed.quantileMs(q).toFixed(2)} ms, added ${addedMs.toFixed(2)} ms\n`,
    );
  }
}

async function measureTokens(fleet: TestFleet): Promise<void> {
  const roles = [
    {name: 'entry', pid: fleet.entries[0].process.pid},
    {name: 'sidecar 0', pid: fleet.sidecars[0].process.pid},
    {name: 'sidecar 1', pid: fleet.sidecars[1].process.pid},
  ];
  const before = roles.map(role => cpuSeconds(role.pid));
  const startMs = performance.now();
  await Promise.all(Array.from({length: STREAMS}, (_, i) => readStream(fleet.entries[0].url, i)));
  const elapsedS = (performance.now() - startMs) / 1000;
  const tokens = STREAMS * TOKENS;
  process.stdout.write(
    `${STREAMS} streams of ${TOKENS} tokens: ${(tokens / elapsedS).toFixed(0)} tokens/s\n`,
  );
  roles.forEach((role, i) => {
    const usedS = cpuSeconds(role.pid) - before[i];
    const relayedTokens = role.name === 'entry' ? tokens : tokens / 2;
    process.stdout.write(
      `${role.name}: ${usedS.toFixed(2)} processor s, ${(relayedTokens / usedS).toFixed(0)} tokens per processor s\n`,
    );
  });
}
