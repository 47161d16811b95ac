/** Starts the programs of the deploy file on loopback, beside the stand-ins of a case. */
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer, request} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {MetadataStore} from '../../stand_ins/users_platform/metadata_store.ts';

/** Bounds of a small deployment, from the settings example in DEPLOY.md. */
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

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

export async function until(what, timeoutMs, check) {
  const endMs = performance.now() + timeoutMs;
  for (;;) {
    const found = await Promise.resolve()
      .then(check)
      .catch(() => undefined);
    if (found) return found;
    if (performance.now() > endMs) throw new Error(`timed out: ${what}`);
    await sleep(25);
  }
}

/** Command of a role, as the deploy file states it. */
function runLine(role) {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const section = text.slice(text.indexOf(`[roles.${role}]`));
  const line = /^run = "(.*)"$/m.exec(section)[1];
  const [program, ...args] = line.split(' ');
  return {program: program === 'node' ? process.execPath : program, args};
}

/** Below the kernel's ephemeral ports, so that outgoing connections take none of these. */
let nextPort = 12_000 + (process.pid % 400) * 40;

async function freePort(host) {
  for (;;) {
    nextPort = nextPort >= 31_900 ? 12_000 : nextPort + 1;
    const port = nextPort;
    const isFree = await new Promise(resolve => {
      const server = createTcpServer();
      server.once('error', () => resolve(false));
      server.listen(port, host, () => server.close(() => resolve(true)));
    });
    if (isFree) return port;
  }
}

/** A run of a case: processes, their settings, and the record of what happened. */
export class Case {
  store = new MetadataStore();
  gateways = [];
  stewards = [];
  hasTrouble = process.env.TROUBLE !== '0';
  #folder = mkdtempSync(join(tmpdir(), 'jasminepost-case-'));
  #lines = [];
  #startedMs = performance.now();
  #children = new Set();
  #closers = [];
  #net = 1 + (process.pid % 250);
  #hosts = 0;
  started = 0;
  #meshPort = 0;
  #storeAddress = '';

  constructor(folder, bounds = {}) {
    this.recordPath = join(folder, 'record.txt');
    this.bounds = {...BOUNDS, ...bounds};
  }

  get nowMs() {
    return Math.round(performance.now() - this.#startedMs);
  }

  record(text) {
    const line = `${String(this.nowMs).padStart(6)} ms  ${text}`;
    this.#lines.push(line);
    process.stdout.write(`${line}\n`);
  }

  /** A loopback address of its own for each machine. */
  newHost() {
    this.#hosts += 1;
    return `127.${this.#net}.7.${this.#hosts}`;
  }

  onEnd(close) {
    this.#closers.push(close);
  }

  async start() {
    this.#storeAddress = await this.store.listen();
    this.#meshPort = await freePort('127.0.0.1');
  }

  async startGateway(zone, {host = this.newHost(), storeAddress = this.#storeAddress} = {}) {
    const gateway = {
      name: `front-${++this.started}`,
      zone,
      host,
      port: await freePort(host),
      readyPort: await freePort(host),
      storeAddress,
    };
    this.gateways.push(gateway);
    this.runGateway(gateway, true);
    return gateway;
  }

  runGateway(gateway, bootstrap) {
    const {name, host, port, readyPort, zone, storeAddress} = gateway;
    gateway.child = this.#run('gateway', name, host, zone, storeAddress, bootstrap, {
      machineClass: 'front',
      serveRoles: ['front'],
      listenAddrs: {front: `${host}:${port}`, readyAddr: `${host}:${readyPort}`},
      limits: {cpuShare: 0.513, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0},
    });
  }

  startSteward(replica, storeAddress = this.#storeAddress) {
    const name = `side-${this.stewards.length + 1}`;
    const steward = {name, replica};
    steward.run = () => {
      steward.child = this.#run('steward', name, replica.host, replica.zone, storeAddress, true, {
        machineClass: 'side',
        serveRoles: ['side'],
        app: `${replica.host}:${replica.port}`,
        service: replica.service,
        limits: {cpuShare: 0.54, cores: 1, memoryMb: 282, maxFds: 4096, linkMbps: 2000, diskMb: 0},
      });
    };
    steward.run();
    this.stewards.push(steward);
    return steward;
  }

  #run(role, name, host, zone, storeAddress, bootstrap, extra) {
    const path = join(this.#folder, `${name}.json`);
    const settings = {
      node: name,
      role,
      ip: host,
      zone,
      region: 'loopback',
      internalPorts: [this.#meshPort, this.#meshPort + 15],
      seeds: [],
      bootstrap,
      discovery: 'platform',
      heartbeatMs: 1200,
      zones: {[zone]: 'loopback'},
      bounds: this.bounds,
      platform: {
        address: storeAddress,
        form: 'kv',
        writesPerS: 400,
        readsPerS: 2000,
        historyS: 20,
        valueBytes: 1_048_576,
        ttlMinMs: 1000,
      },
      ...extra,
    };
    writeFileSync(path, JSON.stringify(settings));
    const {program, args} = runLine(role);
    const {PATH, HOME, LANG} = process.env;
    const child = spawn(program, args, {
      env: {PATH, HOME, LANG, JASMINEPOST_CONFIG: path},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.log = '';
    child.stdout.on('data', data => (child.log += data));
    child.stderr.on('data', data => (child.log += data));
    child.exited = new Promise(resolve =>
      child.on('exit', (code, signal) => {
        this.#children.delete(child);
        child.exit = signal ?? String(code);
        resolve(child.exit);
      }),
    );
    this.#children.add(child);
    return child;
  }

  async isReady({host, readyPort}) {
    return (await call({host, port: readyPort, path: '/-/ready', method: 'GET'})).status === 200;
  }

  async untilReady(timeoutMs = 15_000) {
    for (const gateway of this.gateways) {
      await until(`${gateway.name} ready`, timeoutMs, () => this.isReady(gateway));
    }
  }

  /** Ends what the case has started, writes the record, and exits. */
  async end(code) {
    this.record(`exit ${code}`);
    for (const child of this.#children) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    await Promise.all([...this.#children].map(child => child.exited));
    for (const close of this.#closers) close();
    this.store.close();
    rmSync(this.#folder, {recursive: true});
    writeFileSync(this.recordPath, `${this.#lines.join('\n')}\n`);
    process.exit(code);
  }
}

/** Runs a case: 1 if the rule was broken, 0 if it held, 2 if it could not run. */
export async function runCase(folder, bounds, body) {
  const found = new Case(folder, bounds);
  const overdue = setTimeout(() => {
    found.record('the case did not end in time');
    void found.end(2);
  }, 110_000);
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => void found.end(2));
  try {
    const isBroken = await body(found);
    clearTimeout(overdue);
    await found.end(isBroken ? 1 : 0);
  } catch (thrown) {
    found.record(`could not run: ${thrown?.stack ?? thrown}`);
    await found.end(2);
  }
}

/** One request of a client; resolves with what it got, complete or not. */
export function call({
  host,
  port,
  path,
  method = 'POST',
  headers = {},
  body,
  onData,
  agent = false,
  signal,
}) {
  return new Promise(resolve => {
    const got = {status: 0, headers: {}, bytes: 0, text: '', complete: false, error: ''};
    const req = request({host, port, path, method, headers, agent, signal}, res => {
      got.status = res.statusCode;
      got.headers = res.headers;
      res.on('data', chunk => {
        got.bytes += chunk.length;
        if (onData === undefined) got.text += chunk.toString('latin1');
        else onData(chunk, res, got);
      });
      res.on('end', () => {
        got.complete = res.complete;
        resolve(got);
      });
      res.on('error', error => {
        got.error = error.message;
        resolve(got);
      });
    });
    req.on('error', error => {
      got.error = error.message;
      resolve(got);
    });
    req.end(body);
  });
}

/** Registers a replica in the store, again whenever what it says has changed. */
export function registerReplica(found, replica, state = 'ready') {
  found.store.put(`servers/${replica.id}`, {
    service: replica.service,
    address: `${replica.host}:${replica.port}`,
    zone: replica.zone,
    version: replica.version ?? 'v1',
    slots: replica.slots ?? 6,
    state,
    coldRemainingMs: 0,
    sequence: replica.sequence ?? 0,
    born: replica.born,
    ...(replica.models === undefined ? {} : {models: replica.models}),
  });
}

/** Listens on a free port of a host and returns the port. */
export async function listen(server, host) {
  const port = await freePort(host);
  await new Promise(resolve => server.listen(port, host, resolve));
  return port;
}

export {createServer};
