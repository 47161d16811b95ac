/**
 * During a release, a gateway loses power as the platform's store comes back from a copy some
 * seconds old. Clients take their streams up again at the other gateway.
 */
import {connect, createServer as createTcpServer} from 'node:net';
import {call, createServer, listen, registerReplica, runCase, sleep} from '../tools-2/fleet.mjs';

const FOLDER = 'review/7';
const HOST = 'ficu95.example';
const ZONE = 'akl-a';
const MODEL = 'daka510000';
const DEADLINE_MS = 20_000;
/** A client leaves a stream after a gap of 2 s, 4 objectives or 8 pauses, whichever is longest. */
const TARGET_LATENCY_MS = 2000;
const GAP_MS = 4 * TARGET_LATENCY_MS;
const EVENTS = 60;
const EVENT_MS = 150;
const STREAMS = 24;
/** From the copy of the store to the loss of power, and from there to the return of the store. */
const COPY_AGE_MS = 3000;
const STORE_AWAY_MS = 1000;
/** The site file's `node_kill` with `how = "power"`. */
const DARK_MS = 3500;

/** Model replica whose events name its software version; goes on after `Last-Event-Id`. */
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
  const server = createServer((req, res) => {
    req.resume();
    if (req.url === '/-/report') {
      res.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify(report));
      return;
    }
    if (req.headers['expect-instance'] !== id) {
      res.writeHead(421, {'instance-id': id, 'content-length': 0}).end();
      return;
    }
    replica.ran += 1;
    const requestId = req.headers['request-id'];
    res.writeHead(200, {
      'request-id': requestId,
      'response-signature': `sig.${requestId}`,
      'server-load': '1,0,64',
      'content-type': 'text/event-stream',
    });
    let next = Number(req.headers['last-event-id'] ?? 0) + 1;
    const timer = setInterval(() => {
      res.write(`id: ${next}\ndata: ${version} piece ${next}\n\n`);
      next += 1;
      if (next > EVENTS) res.end();
    }, EVENT_MS);
    res.on('close', () => clearInterval(timer));
    res.on('finish', () => clearInterval(timer));
  });
  server.keepAliveTimeout = 30_000;
  found.onEnd(() => server.closeAllConnections());
  replica.port = await listen(server, replica.host);
  registerReplica(found, replica);
  found.startSteward(replica);
  return replica;
}

/** Forwards new connections to a gateway; nothing comes back from a machine without power. */
async function startForwarder(found) {
  const forwarder = {target: undefined, isDark: false, host: found.newHost()};
  const sockets = new Set();
  const server = createTcpServer(client => {
    const {target} = forwarder;
    const gateway = connect(target.port, target.host);
    for (const socket of [client, gateway]) {
      sockets.add(socket);
      socket.on('error', () => undefined);
    }
    client.on('data', data => gateway.write(data));
    client.on('close', () => gateway.destroy());
    gateway.on('data', data => client.write(data));
    gateway.on('close', () => {
      if (!target.isDark) client.destroy();
    });
  });
  forwarder.port = await listen(server, forwarder.host);
  found.onEnd(() => sockets.forEach(socket => socket.destroy()));
  return forwarder;
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
        ...{name: 'region-notes', host: HOST, pathPrefix: '/notes/', kind: 'streaming'},
        ...{service: 'drafting-models', timeoutMs: DEADLINE_MS, targetLatencyMs: TARGET_LATENCY_MS},
        ...{targetGapMs: 250, priority: 0, attempts: 2, canResume: true, sticky: true},
      },
    ],
    services: [
      {name: 'drafting-models', maxConnections: 360, engine: {...engine, models: [model]}},
    ],
    limits: {headerBytes: 16_384, bodyBytes: 65_536, headerTimeoutMs: 3000, idleTimeoutMs: 15_000},
  });
}

/** One try of a client; ends when the stream does, or after a gap. */
async function attempt({host, port}, stream, id, extraHeaders, leftMs) {
  const signal = new AbortController();
  let timer = setTimeout(() => signal.abort(), GAP_MS);
  let text = '';
  const got = await call({
    ...{host, port, path: '/notes/a', body: 'a prompt', signal: signal.signal},
    headers: {
      ...{host: HOST, 'request-id': id, 'deadline-ms': Math.round(leftMs), model: MODEL},
      ...{'token-usage': '1460,120', 'prompt-prefix': stream.prefix},
      ...extraHeaders,
    },
    onData: chunk => {
      clearTimeout(timer);
      timer = setTimeout(() => signal.abort(), GAP_MS);
      text += chunk;
      const events = text.split('\n\n');
      text = events.pop();
      for (const event of events) {
        const [, number, version] = /^id: (\d+)\ndata: (\S+)/.exec(event);
        stream.events.push({number: Number(number), version});
      }
    },
  });
  clearTimeout(timer);
  return got;
}

/** A client with one retry: it takes its stream up again after a broken connection or a gap. */
async function draft(found, forwarder, i) {
  const startedMs = found.nowMs;
  const id = `notes-${100 + i}`;
  const stream = {id, prefix: `5c1e07${10 + i}:210,${100 + i}:1250`, events: [], resumedMs: 0};
  const got = await attempt(forwarder, stream, id, {}, DEADLINE_MS);
  if (got.complete && stream.events.length === EVENTS) return stream;
  stream.resumedMs = found.nowMs;
  const lastEventId = stream.events.at(-1)?.number ?? 0;
  const extra = lastEventId === 0 ? {} : {'last-event-id': lastEventId, resumes: id};
  const leftMs = DEADLINE_MS - (found.nowMs - startedMs);
  const next = await attempt(forwarder, stream, `${id}-again`, extra, leftMs);
  stream.resumedStatus = next.status;
  return stream;
}

function versionsOf({events}) {
  return [...new Set(events.map(({version}) => version))];
}

await runCase(FOLDER, {}, async found => {
  await found.start();
  configure(found);
  const engines = [];
  for (const id of ['i-1', 'i-2', 'i-3']) engines.push(await startEngine(found, id, 'v1'));
  const first = await found.startGateway(ZONE);
  const second = await found.startGateway(ZONE);
  await found.untilReady();
  const forwarder = await startForwarder(found);
  forwarder.target = first;
  await sleep(4000);
  engines.push(await startEngine(found, 'i-4', 'v2'));
  found.record('3 replicas of software version v1; the release has started i-4 with v2');
  await sleep(2000);

  const copy = found.store.takeSnapshot();
  const copiedMs = found.nowMs;
  await sleep(500);
  const drafts = [];
  for (let i = 0; i < STREAMS; i++) {
    drafts.push(draft(found, forwarder, i));
    await sleep(50);
  }
  await sleep(COPY_AGE_MS - 500 - STREAMS * 50);
  if (found.hasTrouble) {
    first.isDark = true;
    first.child.kill('SIGKILL');
    await first.child.exited;
    forwarder.target = second;
    found.store.mode = 'unavailable';
    found.record(`${first.name} loses power; the store is away`);
    await sleep(STORE_AWAY_MS);
    found.store.restoreFrom(copy);
    found.store.mode = 'up';
    found.record(`the store is back from a copy that is ${found.nowMs - copiedMs} ms old`);
    // What the operator and the replicas wrote is written again.
    configure(found);
    for (const engine of engines) registerReplica(found, engine);
    await sleep(DARK_MS - STORE_AWAY_MS);
    found.runGateway(first, false);
    found.record(`${first.name} has power again`);
  }
  let mixed = 0;
  for (const stream of await Promise.all(drafts)) {
    const versions = versionsOf(stream);
    if (versions.length > 1) mixed += 1;
    const resumed =
      stream.resumedMs === 0
        ? 'not resumed'
        : `resumed at ${stream.resumedMs} ms with status ${stream.resumedStatus}`;
    found.record(
      `${stream.id}: ${stream.events.length} events of ${versions.join(' and ')}, ${resumed}` +
        `${versions.length > 1 ? ' <-- two software versions' : ''}`,
    );
  }
  for (const {id, version, ran} of engines) found.record(`${id} (${version}) ran ${ran} requests`);
  found.record(`${mixed} streams hold events of two software versions; more than two break ORDER`);
  return mixed > 2;
});
