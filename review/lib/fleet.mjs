/** Starts the project's gateways and stewards beside stand-ins of the platform and of replicas. */
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {MetadataStore} from '../../stand_ins/users_platform/metadata_store.ts';
import {MODEL, Replica, sleep} from './replica.mjs';

export const HOST = 'tables.example';
const ZONE = 'akl-a';
const READY_TIMEOUT_MS = 20_000;
/** Bounds of the site kowhai-hpi. */
export const BOUNDS = {
  seedLagS: 3,
  addrReuseS: 2,
  contactMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  downgradeSlackMs: 250,
  maxStretchMs: 5000,
  budgetRatio: 0.2,
  budgetWindowS: 10,
  budgetSlack: 52,
  recoveryS: 12,
  passMs: 120,
  retryAfterS: 0,
  requireFence: false,
  leaseMs: 3000,
  unfreezeSlackMs: 300,
  ceilingWindowS: 5,
  ceilingOvershoot: 1.1,
};

export class Fleet {
  store = new MetadataStore();
  gateways = [];
  stewards = [];
  replicas = [];
  /** Changes to the routes of the configuration, by route name. */
  routeChanges = {};
  models = [MODEL];
  limits = {
    headerBytes: 16_384,
    bodyBytes: 4_194_304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15_000,
  };
  #root;
  #folder = mkdtempSync(join(tmpdir(), 'review-'));
  #storeAddress;
  #meshPort;
  #version = 1;
  #lastIp = 0;
  #ipPrefix = `127.${1 + (process.pid % 250)}.${1 + Math.floor(Math.random() * 250)}`;

  constructor(root, record) {
    this.#root = root;
    this.record = record;
  }

  async start() {
    this.#storeAddress = await this.store.listen();
    this.#meshPort = await freePort(this.newIp());
    this.configure();
  }

  newIp() {
    this.#lastIp += 1;
    return `${this.#ipPrefix}.${this.#lastIp}`;
  }

  /** Writes the next configuration, as the operator does. */
  configure() {
    const plain = {host: HOST, timeoutMs: 5000, targetLatencyMs: 400, service: 'index-api'};
    const streaming = {
      host: HOST,
      kind: 'streaming',
      timeoutMs: 20_000,
      targetLatencyMs: 8000,
      targetGapMs: 250,
      service: 'drafting-models',
    };
    const routes = [
      {...plain, name: 'publish-order', pathPrefix: '/order/', kind: 'unsafe', attempts: 1},
      {...plain, name: 'index-read', pathPrefix: '/read/', kind: 'safe', attempts: 2},
      {...streaming, name: 'sales-digest', pathPrefix: '/digest/', attempts: 1, canResume: false},
      {...streaming, name: 'region-notes', pathPrefix: '/notes/', attempts: 2, canResume: true},
    ].map(route => ({...route, ...this.routeChanges[route.name]}));
    const engine = {
      slots: 64,
      kvCapacity: 132_758,
      weightsMb: 220_000,
      adapterSlots: 8,
      loadsPerS: 2.1,
      models: this.models.map(name => ({
        name,
        weightsMb: 65_100,
        loadS: 9,
        diskS: 1,
        warmS: 1,
        adapters: 0,
        adapterMb: 0,
      })),
    };
    this.store.put('op/config', {
      version: this.#version++,
      routes,
      services: [
        {name: 'index-api', maxConnections: 96},
        {name: 'drafting-models', maxConnections: 360, engine},
      ],
      limits: this.limits,
    });
  }

  /** Starts a replica and, for a model replica, the steward on its machine. */
  async addReplica(id, {isEngine = false, version = 'v1', steward = isEngine, listed = true} = {}) {
    const service = isEngine ? 'drafting-models' : 'index-api';
    const ip = this.newIp();
    const {record} = this;
    const replica = new Replica(id, {service, ip, zone: ZONE, version, isEngine, record});
    await replica.listen();
    this.replicas.push(replica);
    if (listed) this.list(replica);
    if (steward) {
      const app = `${ip}:${replica.port}`;
      this.stewards.push(this.spawn('steward', `side-${id}`, ip, {app, service}));
    }
    return replica;
  }

  /** Starts a crashed replica again at its address, empty and under a new id. */
  async restartReplica(crashed, id) {
    const {service, ip, zone, version, isEngine, port, events, eventMs, handler} = crashed;
    const {record} = this;
    const replica = new Replica(id, {service, ip, zone, version, isEngine, record});
    Object.assign(replica, {events, eventMs, handler});
    replica.models.clear();
    await replica.listen(port);
    this.replicas.push(replica);
    this.list(replica);
    return replica;
  }

  list(replica, state = 'ready') {
    this.record(`store: servers/${replica.id} ${state} (${replica.version})`);
    this.store.put(`servers/${replica.id}`, replica.entry(state));
  }

  unlist(replica) {
    this.record(`store: servers/${replica.id} removed`);
    this.store.remove(`servers/${replica.id}`);
  }

  async addGateway({memoryMb = 350} = {}) {
    const ip = this.newIp();
    const [port, readyPort] = [await freePort(ip), await freePort(ip)];
    const listenAddrs = {front: `${ip}:${port}`, readyAddr: `${ip}:${readyPort}`};
    const name = `front-${this.gateways.length + 1}`;
    const gateway = {name, ip, port, readyPort};
    gateway.process = this.spawn('gateway', name, ip, {listenAddrs, limits: {memoryMb}});
    this.gateways.push(gateway);
    await this.ready(gateway);
    return gateway;
  }

  /** Starts the ended process of a gateway again, with the same settings. */
  async restart(gateway) {
    const {name, settingsPath} = gateway.process;
    const settings = JSON.parse(readFileSync(settingsPath, 'utf8'));
    writeFileSync(settingsPath, JSON.stringify({...settings, bootstrap: false}));
    this.record(`${name}: started again`);
    gateway.process = this.launch('gateway', name, settingsPath);
    await this.ready(gateway);
  }

  spawn(role, name, ip, extra) {
    const path = join(this.#folder, `${name}.json`);
    const machineClass = role === 'gateway' ? 'front' : 'side';
    const {address, ...settings} = {
      address: this.#storeAddress,
      node: name,
      role,
      machineClass,
      ip,
      zone: ZONE,
      region: 'nz-north',
      internalPorts: [this.#meshPort, this.#meshPort + 15],
      bootstrap: true,
      discovery: 'platform',
      heartbeatMs: 1200,
      listenAddrs: {},
      limits: {memoryMb: role === 'gateway' ? 350 : 282},
      bounds: BOUNDS,
      ...extra,
    };
    const platform = {address, form: 'kv', ttlMinMs: 1000, historyS: 20, valueBytes: 1_048_576};
    writeFileSync(path, JSON.stringify({...settings, platform}));
    return this.launch(role, name, path);
  }

  /** Starts a program with the command of the deploy file. */
  launch(role, name, settingsPath) {
    const deploy = readFileSync(join(this.#root, 'deploy/system.toml'), 'utf8');
    const section = deploy.split(`[roles.${role}]`)[1];
    const [program, ...args] = /run = "([^"]+)"/.exec(section)[1].split(' ');
    const {PATH, HOME, LANG = 'C.UTF-8'} = process.env;
    const child = spawn(program, args, {
      cwd: this.#root,
      env: {PATH, HOME, LANG, JASMINEPOST_CONFIG: settingsPath},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const started = {name, settingsPath, child, pid: child.pid, log: [], exit: undefined};
    const append = data => started.log.push(data.toString('utf8'));
    child.stdout.on('data', append);
    child.stderr.on('data', append);
    started.exited = new Promise(resolve => {
      child.on('exit', (code, signal) => {
        started.exit = signal ?? code;
        this.record(`${name}: process ended (${started.exit})`);
        resolve();
      });
    });
    return started;
  }

  async signal(gateway, signal) {
    this.record(`${gateway.name}: ${signal}`);
    gateway.process.child.kill(signal);
  }

  async ready(gateway) {
    const untilMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < untilMs) {
      if (gateway.process.exit !== undefined) break;
      if (await isReady(gateway)) return;
      await sleep(25);
    }
    throw new Error(`${gateway.name} is not ready: ${gateway.process.log.join('').slice(-2000)}`);
  }

  /** Sends a request like a client; resolves once the answer or the connection has ended. */
  call(gateway, {id, path, method, headers = {}, body = '', onEvents, agent, onSocket}) {
    const isStream = path.startsWith('/notes/') || path.startsWith('/digest/');
    const verb = method ?? (path.startsWith('/read/') ? 'GET' : 'POST');
    const sentMs = performance.now();
    const result = {
      id,
      gateway: gateway.name,
      sentMs,
      status: 0,
      headers: {},
      body: '',
      cut: false,
    };
    this.record(`client sends ${id} ${verb} ${path} to ${gateway.name} ${note(headers)}`);
    return new Promise(resolve => {
      const finish = cut => {
        if (result.tookMs !== undefined) return;
        result.cut = cut;
        result.tookMs = Math.round(performance.now() - sentMs);
        const end = cut ? 'connection ended early' : 'complete';
        const bytes = Buffer.byteLength(result.body);
        this.record(`client got ${id}: ${result.status}, ${bytes} bytes, ${end}`);
        resolve(result);
      };
      const req = request({
        host: gateway.ip,
        port: gateway.port,
        method: verb,
        path,
        agent: agent ?? false,
        headers: {
          host: HOST,
          'request-id': id,
          'deadline-ms': isStream ? 20_000 : 5000,
          ...(isStream
            ? {model: MODEL, 'token-usage': '100,80', 'prompt-prefix': `${id}:100`}
            : {}),
          ...headers,
        },
      });
      req.on('socket', socket => onSocket?.(socket, req));
      req.on('response', res => {
        Object.assign(result, {status: res.statusCode, headers: res.headers});
        res.on('data', chunk => {
          result.body += chunk.toString('utf8');
          onEvents?.(result, req);
        });
        res.on('end', () => finish(!res.complete));
        res.on('error', () => finish(true));
        res.on('aborted', () => finish(true));
      });
      req.on('error', () => finish(true));
      req.end(verb === 'GET' ? undefined : body);
    });
  }

  /** Ends all processes that it has started. */
  async stop() {
    const processes = [...this.gateways.map(({process: started}) => started), ...this.stewards];
    for (const {child, exit} of processes) {
      if (exit !== undefined) continue;
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    await Promise.all(processes.map(({exited}) => exited));
    for (const replica of this.replicas) replica.close();
    this.store.close();
    rmSync(this.#folder, {recursive: true, force: true});
  }
}

export async function isReady({ip, readyPort}) {
  return new Promise(resolve => {
    const req = request({host: ip, port: readyPort, path: '/-/ready', agent: false}, res => {
      res.resume();
      resolve(res.statusCode === 200);
    });
    req.setTimeout(1000, () => req.destroy());
    req.on('error', () => resolve(false));
    req.end();
  });
}

/** Events of a stream as [id, software version that made it]. */
export function eventsOf({body}) {
  return [...body.matchAll(/id: (\d+)\ndata: (\S+) /g)].map(([, id, version]) => [
    Number(id),
    version,
  ]);
}

/** A port that is free at the address. */
async function freePort(host) {
  for (;;) {
    const port = 10_000 + Math.floor(Math.random() * 20_000);
    const isFree = await new Promise(resolve => {
      const server = createServer();
      server.once('error', () => resolve(false));
      server.listen(port, host, () => server.close(() => resolve(true)));
    });
    if (isFree) return port;
  }
}

function note(headers) {
  const named = ['last-event-id', 'resumes'].filter(name => headers[name] !== undefined);
  return named.map(name => `${name}=${headers[name]}`).join(' ');
}
