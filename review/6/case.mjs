/** A release brings a replica of a new software version; short streams end with their connection. */
import {call, createServer, listen, registerReplica, runCase, sleep} from '../tools-2/fleet.mjs';

const FOLDER = 'review/6';
const HOST = 'ficu95.example';
const ZONE = 'akl-a';
const MODEL = 'daka510000';
const STREAM_DEADLINE_MS = 5000;
/** A client leaves a stream after a gap of 2 s, 4 objectives or 8 pauses, whichever is longest. */
const STREAM_GAP_MS = 2400;
const READ_TIMEOUT_MS = 1000;
/** Time after its route's timeout by which a request must have its final answer. */
const LATE_MS = 500;

function startServer(found, replica, answer) {
  const server = createServer((req, res) => {
    const chunks = [];
    req.on('data', chunk => chunks.push(chunk));
    req.on('end', () => {
      if (req.url === '/-/report') return answer(req, res);
      if (req.headers['expect-instance'] !== replica.id) {
        res.writeHead(421, {'instance-id': replica.id, 'content-length': 0}).end();
        return undefined;
      }
      replica.ran += 1;
      return answer(req, res);
    });
  });
  server.keepAliveTimeout = 30_000;
  found.onEnd(() => server.closeAllConnections());
  return listen(server, replica.host);
}

/** Model replica; every stream has one event and ends with its connection. */
async function startEngine(found, id, version) {
  const models = [{name: MODEL, version: 1, adapters: []}];
  const replica = {
    ...{id, version, models, service: 'drafting-models', zone: ZONE, slots: 64},
    ...{host: found.newHost(), born: Date.now(), ran: 0},
  };
  const report = {
    ...{stage: 'unified', models, busy: false, sequence: 0, queueDepth: 0, activeRequests: 0},
    ...{kvUsed: 0, kvTotal: 132_758, handles: 0, born: replica.born, incoming: [], runs: []},
    available: {inMemory: [MODEL], onDisk: [MODEL]},
  };
  replica.port = await startServer(found, replica, (req, res) => {
    if (req.url === '/-/report') {
      const text = JSON.stringify(report);
      res.writeHead(200, {'content-type': 'application/json', 'content-length': text.length});
      res.end(text);
      return;
    }
    const requestId = req.headers['request-id'];
    res.useChunkedEncodingByDefault = false;
    res.writeHead(200, {
      'request-id': requestId,
      'response-signature': `sig.${requestId}`,
      'server-load': '1,0,64',
      'content-type': 'text/event-stream',
      connection: 'close',
    });
    res.end(`id: 1\ndata: ${version} yes\n\n`);
  });
  registerReplica(found, replica);
  found.startSteward(replica);
  return replica;
}

async function startService(found, id) {
  const replica = {id, service: 'index-api', zone: ZONE, host: found.newHost(), born: Date.now()};
  replica.ran = 0;
  replica.port = await startServer(found, replica, (req, res) => {
    const requestId = req.headers['request-id'];
    const headers = {'request-id': requestId, 'response-signature': `sig.${requestId}`};
    res.writeHead(200, {...headers, 'server-load': '1,0,6', 'content-length': 800});
    res.end('a'.repeat(800));
  });
  registerReplica(found, replica);
  return replica;
}

function configure(found) {
  const model = {name: MODEL, weightsMb: 65_100, loadS: 9, diskS: 2, warmS: 0.76};
  const engine = {
    slots: 64,
    kvCapacity: 132_758,
    weightsMb: 220_000,
    adapterSlots: 8,
    loadsPerS: 2.1,
  };
  found.store.put('op/config', {
    version: 3,
    routes: [
      {
        ...{name: 'sales-digest', host: HOST, pathPrefix: '/digest/', kind: 'streaming'},
        ...{service: 'drafting-models', timeoutMs: STREAM_DEADLINE_MS, targetLatencyMs: 600},
        ...{targetGapMs: 250, priority: 0, attempts: 2, canResume: true, sticky: true},
      },
      {
        ...{name: 'index-read', host: HOST, pathPrefix: '/read/', kind: 'safe'},
        ...{service: 'index-api', timeoutMs: READ_TIMEOUT_MS, targetLatencyMs: 150, attempts: 2},
      },
    ],
    services: [
      {name: 'drafting-models', maxConnections: 360, engine: {...engine, models: [model]}},
      {name: 'index-api', maxConnections: 96},
    ],
    limits: {headerBytes: 16_384, bodyBytes: 65_536, headerTimeoutMs: 3000, idleTimeoutMs: 15_000},
  });
}

/** Asks for a stream, and leaves when nothing comes for too long. */
async function draft(found, {host, port}, id) {
  const startedMs = found.nowMs;
  let signal = new AbortController();
  const stream = {id, events: 0, ending: 'complete', version: ''};
  let timer = setTimeout(() => signal.abort(), STREAM_GAP_MS);
  const got = await call({
    ...{host, port, path: '/digest/a', body: 'a prompt', signal: signal.signal},
    headers: {
      ...{host: HOST, 'request-id': id, 'deadline-ms': STREAM_DEADLINE_MS, model: MODEL},
      ...{
        'token-usage': '1460,2',
        'prompt-prefix': `5c1e07${id.slice(-2)}:210,${id.slice(6)}:1250`,
      },
    },
    onData: chunk => {
      clearTimeout(timer);
      timer = setTimeout(() => signal.abort(), STREAM_GAP_MS);
      stream.events += chunk.toString().split('\n\n').length - 1;
      stream.version = /data: (\S+)/.exec(chunk.toString())?.[1] ?? stream.version;
    },
  });
  clearTimeout(timer);
  if (signal.signal.aborted) stream.ending = 'left by the client';
  else if (!got.complete) stream.ending = `cut (${got.error})`;
  return {...stream, status: got.status, tookMs: found.nowMs - startedMs};
}

/** Sends a plain request, and notes whether it has an answer at its timeout and half a second later. */
async function read(found, {name, host, port}, id) {
  const atMs = found.nowMs;
  const signal = new AbortController();
  const timer = setTimeout(() => signal.abort(), READ_TIMEOUT_MS + LATE_MS);
  const got = await call({
    ...{host, port, method: 'GET', path: '/read/a', signal: signal.signal},
    headers: {host: HOST, 'request-id': id, 'deadline-ms': READ_TIMEOUT_MS},
  });
  clearTimeout(timer);
  return {
    id,
    name,
    atMs,
    status: got.status,
    tookMs: found.nowMs - atMs,
    isLate: signal.signal.aborted,
  };
}

await runCase(FOLDER, {}, async found => {
  await found.start();
  configure(found);
  for (const id of ['a-1', 'a-2']) await startService(found, id);
  const engines = [];
  for (const id of ['i-1', 'i-2', 'i-3']) engines.push(await startEngine(found, id, 'v1'));
  await found.startGateway(ZONE);
  await found.startGateway(ZONE);
  await found.untilReady();
  // The planner's gateway makes v1 the default, and the gateways link to the stewards.
  await sleep(4000);
  found.record('fleet ready; 3 replicas of software version v1');
  if (found.hasTrouble) {
    engines.push(await startEngine(found, 'i-4', 'v2'));
    found.record('the release starts i-4 with software version v2');
  }
  await sleep(2000);
  const drafts = [];
  const reads = [];
  const endMs = found.nowMs + 15_000;
  for (let i = 0; found.nowMs < endMs; i++) {
    const gateway = found.gateways[i % 2];
    if (i < 40) drafts.push(draft(found, gateway, `draft-${100 + i}`));
    reads.push(read(found, gateway, `read-${i}`));
    await sleep(100);
  }
  for (const {id, status, events, ending, version, tookMs} of await Promise.all(drafts)) {
    found.record(
      `${id}: status ${status}, ${events} event of ${version}, ${ending} after ${tookMs} ms`,
    );
  }
  let overdue = 0;
  let late = 0;
  for (const {id, name, atMs, status, tookMs, isLate} of await Promise.all(reads)) {
    if (tookMs >= READ_TIMEOUT_MS) overdue += 1;
    if (isLate) late += 1;
    const outcome = isLate ? 'no answer half a second past its timeout' : `status ${status}`;
    if (tookMs >= READ_TIMEOUT_MS) found.record(`${id} at ${name}, sent at ${atMs} ms: ${outcome}`);
  }
  for (const {id, version, ran} of engines) found.record(`${id} (${version}) ran ${ran} streams`);
  found.record(
    `${reads.length} reads: ${overdue} unanswered at their timeout, ${late} half a second later`,
  );
  return overdue >= 8 && late > overdue / 2;
});
