/**
 * One replica in trouble answers one request with an event that has no end, in small chunks. The
 * gateway is busy with it for so long that it answers nobody in time.
 */
import {runCase} from '../lib/case.mjs';
import {isReady} from '../lib/fleet.mjs';
import {sleep} from '../lib/replica.mjs';

/** Size of a chunk of the endless event. */
const CHUNK_BYTES = 8;
const CHUNKS_AT_ONCE = 8000;
const TIMEOUT_MS = 1000;
/** A request must be answered this long after its route's timeoutMs. */
const SLACK_MS = 500;
/** Least number of requests without an answer by then for which CONFIG counts. */
const MIN_LATE = 8;
const BEFORE_MS = 4000;
const AFTER_MS = 8000;
const REQUEST_INTERVAL_MS = 50;
const READY_INTERVAL_MS = 1000;

await runCase('1', async ({fleet, record, trouble}) => {
  fleet.routeChanges = {
    'index-read': {timeoutMs: TIMEOUT_MS},
    'publish-order': {timeoutMs: TIMEOUT_MS},
  };
  await fleet.start();
  for (const id of ['i-a', 'i-b', 'i-c']) await fleet.addReplica(id);
  const engine = await fleet.addReplica('i-engine', {isEngine: true});
  const gateway = await fleet.addGateway();
  // The gateway is in touch: it and the store are undisturbed for longer than contactMs.
  await sleep(4000);
  if (trouble)
    engine.handler = (request, req) => {
      engine.runs.push(request);
      record(`replica ${engine.id} answers ${request.id} with an event without end`);
      writeEndlessEvent(engine, request, req.socket, bytes =>
        record(`replica ${engine.id}: the caller has closed the connection after ${bytes} bytes`),
      );
      return true;
    };

  const before = await sendRequests(fleet, gateway, 'before', BEFORE_MS);
  record('a client asks for one stream');
  const stream = fleet.call(gateway, {id: 'digest-1', path: '/digest/1'});
  const after = await sendRequests(fleet, gateway, 'after', AFTER_MS);
  await stream;

  record(`before: ${describe(before)}`);
  record(`after: ${describe(after)}`);
  const {overdue, late, asked} = after;
  const isBroken = late >= MIN_LATE && late > overdue / 2 && late > asked / 4;
  return {
    held: !isBroken,
    summary: `${describe(after)} (before: ${describe(before)})`,
  };
});

/** Sends reads and orders, and the platform's readiness checks; counts late answers. */
async function sendRequests(fleet, gateway, name, lengthMs) {
  const calls = [];
  const checks = [];
  const startedMs = performance.now();
  while (performance.now() < startedMs + lengthMs) {
    const path = calls.length % 2 === 0 ? '/read/1' : '/order/1';
    calls.push(fleet.call(gateway, {id: `${name}-${calls.length}`, path}));
    if (performance.now() > startedMs + checks.length * READY_INTERVAL_MS)
      checks.push(isReady(gateway));
    await sleep(REQUEST_INTERVAL_MS);
  }
  const tookMs = (await Promise.all(calls)).map(result => result.tookMs);
  const ready = await Promise.all(checks);
  return {
    asked: tookMs.length,
    overdue: tookMs.filter(ms => ms > TIMEOUT_MS).length,
    late: tookMs.filter(ms => ms > TIMEOUT_MS + SLACK_MS).length,
    notReady: ready.filter(isUp => !isUp).length,
    checks: ready.length,
  };
}

function describe({asked, overdue, late, notReady, checks}) {
  return `${late} of ${asked} requests unanswered ${SLACK_MS} ms after their timeoutMs, ${overdue} at it, ${notReady} of ${checks} readiness checks failed`;
}

/** Writes an event that goes on until the caller closes the connection. */
function writeEndlessEvent(replica, request, socket, onClosed) {
  const lines = Object.entries(replica.ownHeaders(request)).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  socket.write(`HTTP/1.1 200 OK\r\n${lines.join('')}content-type: text/event-stream\r\n`);
  socket.write('transfer-encoding: chunked\r\n\r\n');
  const chunk = `${CHUNK_BYTES.toString(16)}\r\n${'x'.repeat(CHUNK_BYTES)}\r\n`;
  const chunks = chunk.repeat(CHUNKS_AT_ONCE);
  let bytes = 0;
  const timer = setInterval(() => {
    if (socket.writableLength > 0) return;
    socket.write(chunks);
    bytes += chunks.length;
  }, 10);
  socket.on('error', () => undefined);
  socket.on('close', () => {
    clearInterval(timer);
    onClosed(bytes);
  });
}
