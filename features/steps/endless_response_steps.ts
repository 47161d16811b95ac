/** Steps about replicas that send endless responses. */
import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {BufferBudget, sleep, UpstreamError} from '@jasminepost/core';
import {CompletionEventParser} from '@jasminepost/engine';
import type {EndlessResponse} from '../../stand_ins/users_platform/endless_response.ts';
import {SseEventBuffer} from '../../apps/gateway/src/lib/sse_event_buffer.ts';
import {until} from '../support/fleet_process.ts';
import {usersScenario, replicas} from '../support/users_scenario.ts';
import type {FleetWorld} from '../support/world.ts';

const REQUEST_PATHS: Readonly<Record<string, string>> = {
  order: '/order/7',
  draft: '/draft/7',
  'long draft': '/long/7',
};
const OTHER_CALL_INTERVAL_MS = 200;
const CLOSE_TIMEOUT_MS = 1000;
/** Callers leave a gateway that has not read their request by then. */
const MAX_READ_MS = 1000;

/** Peak resident memory of a process in MB. */
function peakMemoryMb(pid: number): number {
  const match = /^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
  return Number(match![1]) / 1024;
}

When(
  /^the replicas answer a (order|draft|long draft) with "(.*)" without end, while others are served$/,
  async function (this: FleetWorld, request: string, part: EndlessResponse) {
    const state = usersScenario(this);
    const {fleet} = state;
    const otherPath = request === 'order' ? '/draft/7' : '/order/7';
    for (const replica of request === 'order' ? fleet.services : fleet.engines) {
      replica.endlessResponse = part;
    }
    let ended = false;
    const call = fleet.call({path: REQUEST_PATHS[request]}).then(response => {
      ended = true;
      state.answers.push(response);
    });
    while (!ended) {
      const response = await fleet.call({path: otherPath});
      assert.equal(response.status, 200);
      assert.ok(response.tookMs < MAX_READ_MS, `another request took ${response.tookMs} ms`);
      await sleep(OTHER_CALL_INTERVAL_MS);
    }
    await call;
  },
);

When(
  'the first engine to get a request responds with {string} without end',
  function (this: FleetWorld, part: EndlessResponse) {
    const {engines} = usersScenario(this).fleet;
    for (const engine of engines) {
      engine.endlessResponse = part;
      engine.onEndlessResponse = () => {
        for (const each of engines) each.endlessResponse = undefined;
      };
    }
  },
);

When(
  "the first engine's reports have {string} without end for {int} ms",
  async function (this: FleetWorld, part: EndlessResponse, durationMs: number) {
    usersScenario(this).fleet.engines[0].endlessReport = part;
    await sleep(durationMs);
  },
);

Then(
  "the caller's connection has ended within {int} ms, without a complete response",
  function (this: FleetWorld, withinMs: number) {
    const [{status, cut, tookMs}] = usersScenario(this).answers;
    assert.ok(tookMs <= withinMs, String(tookMs));
    assert.ok(cut || status >= 500, `${status}, ${cut ? 'cut' : 'complete'}`);
  },
);

Then("the replica's connection has been closed", async function (this: FleetWorld) {
  await until('a closed connection', CLOSE_TIMEOUT_MS, async () =>
    replicas(this).every(replica => replica.endlessConnections === 0) ? true : undefined,
  );
});

Then(
  'the gateway has used less than {int} MB of memory',
  function (this: FleetWorld, maxMb: number) {
    const peakMb = peakMemoryMb(usersScenario(this).fleet.gateways[0].process.pid);
    assert.ok(peakMb < maxMb, `${peakMb} MB`);
  },
);

Then(
  'the steward has used less than {int} MB of memory',
  function (this: FleetWorld, maxMb: number) {
    const peakMb = peakMemoryMb(usersScenario(this).fleet.stewards[0].pid);
    assert.ok(peakMb < maxMb, `${peakMb} MB`);
  },
);

interface GivenUpEvent {
  readonly bytes: number;
  readonly tookMs: number;
}

const givenUpEvents = new WeakMap<FleetWorld, GivenUpEvent>();
/** Bytes after which the stand-in stops, whether or not the event was given up. */
const LONGEST_EVENT_BYTES = 4_194_304;

When(
  "an engine's event without an end arrives in pieces of {int} bytes",
  function (this: FleetWorld, pieceBytes: number) {
    const parser = new CompletionEventParser();
    const piece = Buffer.alloc(pieceBytes, 'x');
    const startedMs = performance.now();
    let bytes = 0;
    try {
      parser.push(Buffer.from('data: '));
      for (; bytes < LONGEST_EVENT_BYTES; bytes += pieceBytes) parser.push(piece);
    } catch (thrown) {
      assert.ok(thrown instanceof UpstreamError, String(thrown));
    }
    givenUpEvents.set(this, {bytes, tookMs: performance.now() - startedMs});
  },
);

Then(
  'it is given up after at most {int} bytes, within {int} ms',
  function (this: FleetWorld, maxBytes: number, withinMs: number) {
    const {bytes, tookMs} = givenUpEvents.get(this)!;
    assert.ok(bytes <= maxBytes, `${bytes} bytes`);
    assert.ok(tookMs <= withinMs, `${tookMs} ms`);
  },
);

Then(
  'in {int} random series of pieces the events of a completion are the same',
  function (numRuns: number) {
    const texts = ['a', 'Tāmaki', 'two\nlines', '🜚'];
    const lineEnd = fc.constantFrom('\n', '\r\n');
    fc.assert(
      fc.property(
        fc.array(fc.constantFrom(...texts), {minLength: 1, maxLength: 8}),
        lineEnd,
        fc.array(fc.integer({min: 1, max: 40}), {minLength: 1}),
        (parts, end, sizes) => {
          const choices = parts.map(text => [{delta: {content: text}}]);
          const events = choices.map(
            choice => `data: ${JSON.stringify({choices: choice})}${end}${end}`,
          );
          const body = Buffer.from(`${events.join('')}data: [DONE]${end}${end}`);
          const parser = new CompletionEventParser();
          const received: string[] = [];
          let done = false;
          for (let at = 0, i = 0; at < body.length; i++) {
            const size = sizes[i % sizes.length];
            const parsed = parser.push(body.subarray(at, at + size));
            received.push(...parsed.events);
            done ||= parsed.done;
            at += size;
          }
          assert.ok(done);
          assert.deepEqual(
            received,
            choices.map(choice => JSON.stringify(choice)),
          );
        },
      ),
      {numRuns, seed: 20261205},
    );
  },
);

const MB = 1_048_576;
const LONG_PIECE = Buffer.alloc(32_768, 'x');
const lostEvents = new WeakMap<FleetWorld, number>();

Then(
  'in {int} random series of pieces the incomplete events of {int} streams take at most {int} MB',
  function (this: FleetWorld, numRuns: number, streams: number, maxMb: number) {
    let lost = 0;
    // Each step feeds a random stream; one in ten streams is sound and gets an event in two pieces.
    const steps = fc.array(fc.nat(streams - 1), {minLength: 2000, maxLength: 3000});
    fc.assert(
      fc.property(steps, order => {
        const budget = new BufferBudget(maxMb * MB);
        const buffers = Array.from(
          {length: streams},
          () => new SseEventBuffer(budget, () => undefined),
        );
        for (const [step, stream] of order.entries()) {
          if (stream % 10 > 0) buffers[stream].push(LONG_PIECE);
          else {
            const before = buffers[stream].push(Buffer.from(`id: ${step}\ndata: `));
            const event = buffers[stream].push(Buffer.from('a\n\n'));
            if (before.length > 0 || event.length === 0) lost += 1;
          }
          const held = buffers.reduce((sum, buffer) => sum + buffer.bufferedBytes, 0);
          assert.ok(held <= maxMb * MB, `${held} bytes`);
        }
      }),
      {numRuns, seed: 20261205},
    );
    lostEvents.set(this, lost);
  },
);

Then('no sound stream of these series has lost an event', function (this: FleetWorld) {
  assert.equal(lostEvents.get(this), 0);
});
