/** A small complete system on loopback: stand-ins, sidecars and entries as separate processes. */
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {sha256Hex} from '@jasminepost/core';
import type {FleetMember, FleetOptions, UpstreamProcess} from './fleet_types.ts';
import {FleetProcess, freePort, runToEnd, until} from './fleet_process.ts';

export const MESH_KEY = 'loopback-test-mesh-key';
const READY_TIMEOUT_MS = 20_000;

/** API keys of the two organisations that every fleet declares. */
export const PAID_KEY = 'key-of-kowhai';
export const TRIAL_KEY = 'key-of-anga-trial';

type Json = Readonly<Record<string, unknown>>;

export class TestFleet {
  readonly entries: FleetMember[] = [];
  readonly sidecars: FleetMember[] = [];
  readonly engines: UpstreamProcess[] = [];
  readonly services: UpstreamProcess[] = [];
  keyValueUrl = '';
  listUrl = '';
  generation = 0;
  private readonly processes: FleetProcess[] = [];
  private readonly startingServices: Array<Promise<UpstreamProcess>> = [];
  private folder = '';

  constructor(readonly options: FleetOptions) {}

  async start(): Promise<void> {
    this.folder = await mkdtemp(join(tmpdir(), 'jasminepost-'));
    await this.startPlatform();
    const engines = range(this.options.engines).map(i => this.addEngine(i));
    const services = range(this.options.services).map(i => this.addService(i));
    this.sidecars.push(...(await Promise.all([...engines, ...services])));
    const entries = range(this.options.entries).map(i => this.addEntry(i));
    this.entries.push(...(await Promise.all(entries)));
    await this.publishList();
    await this.waitUntilMemoryKnown();
    if (this.options.accept === false) return;
    await this.accept(this.declaration());
    await this.waitUntilServing();
  }

  async stop(): Promise<void> {
    await Promise.all(this.processes.map(process => process.kill()));
    await rm(this.folder, {recursive: true, force: true});
  }

  /** Waits until the instance list has all processes and each engine's memory size is known. */
  private async waitUntilMemoryKnown(): Promise<void> {
    await until('memory of every engine', READY_TIMEOUT_MS, async () => {
      const list = (await (await fetch(`${this.listUrl}/v1/instances`)).json()) as {
        readonly instances: readonly unknown[];
      };
      const engines = this.sidecars.slice(0, this.options.engines);
      const statuses = await Promise.all(engines.map(sidecar => this.status(sidecar)));
      const complete = list.instances.length === this.sidecars.length + this.entries.length;
      return complete && statuses.every(s => Number(s['totalMiB']) > 0) ? true : undefined;
    });
  }

  /** Declaration with a paid and a trial organisation that may use every model and service. */
  declaration(overrides: Json = {}): Json {
    const models = this.models();
    const services = this.options.services > 0 ? ['ledger'] : [];
    const organisation = (name: string, requestClass: string, key: string) => ({
      name,
      class: requestClass,
      keys: [{id: `${name}-1`, sha256: sha256Hex(key)}],
      models,
      services,
      targets: {firstTokenMs: 2000, betweenTokensMs: 100},
      ...this.options.organisation,
    });
    return {
      version: 1,
      organisations: [
        organisation('kowhai', 'paid', PAID_KEY),
        organisation('anga-trial', 'trial', TRIAL_KEY),
      ],
      models: models.map(name => ({
        name,
        weightsMiB: this.options.modelMiB ?? 8192,
        kvFloorMiB: 1024,
        floorCopies: this.options.floorCopies ?? Math.min(2, Math.max(1, this.options.engines)),
        serviceMs: 200,
        adapters: [{name: 'suburbs', sizeMiB: 128}],
      })),
      services: services.map(name => ({
        name,
        nonIdempotent: [{method: 'POST', pathPrefix: '/publish'}],
      })),
      ...overrides,
    };
  }

  /** Models in the declaration. */
  models(): readonly string[] {
    return this.options.engines === 0 ? [] : (this.options.models ?? ['summary']);
  }

  /** Accepts a declaration with the command-line program. */
  async accept(declaration: Json): Promise<void> {
    const result = await this.tryAccept(declaration, this.generation);
    if (result.code !== 0) throw new Error(`accept failed: ${result.output}`);
    this.generation += 1;
  }

  async tryAccept(
    declaration: Json,
    expectGeneration: number,
    author = 'operator',
  ): Promise<{readonly code: number; readonly output: string}> {
    const file = await this.writeFile(`declaration-${Math.random()}.json`, declaration);
    return this.cli([
      'accept',
      file,
      '--expect-generation',
      String(expectGeneration),
      '--author',
      author,
      ...this.keyValueFlags(),
      ...this.fleetFlags(),
    ]);
  }

  cli(args: readonly string[]): Promise<{readonly code: number; readonly output: string}> {
    return runToEnd('jasminepost', args);
  }

  async writeFile(name: string, content: unknown): Promise<string> {
    const file = join(this.folder, name);
    await writeFile(file, typeof content === 'string' ? content : JSON.stringify(content));
    return file;
  }

  keyValueFlags(): string[] {
    return ['--key-value-url', this.keyValueUrl];
  }

  fleetFlags(): string[] {
    return ['--instance-list-url', this.listUrl, '--mesh-key', MESH_KEY];
  }

  /** Waits until every entry can serve every model and service. */
  async waitUntilServing(): Promise<void> {
    const models = this.models();
    await until('every model served', READY_TIMEOUT_MS, async () => {
      const statuses = await Promise.all(this.sidecars.map(s => this.status(s)));
      const copies = (model: string) =>
        statuses.filter(s => (s['models'] as string[]).includes(model)).length;
      const floor = this.options.floorCopies ?? Math.min(2, this.options.engines);
      const ready = statuses.every(s => s['ready'] === true);
      return ready && models.every(m => copies(m) >= floor) ? true : undefined;
    });
    await until('every entry linked', READY_TIMEOUT_MS, async () => {
      const statuses = await Promise.all(this.entries.map(e => this.status(e)));
      const live = this.sidecars.filter(s => s.process.running).length;
      const ready = statuses.every(s => s['ready'] === true && Number(s['replicas']) >= live);
      return ready ? true : undefined;
    });
    // The last status frame may not have reached an entry yet.
    await new Promise(resolve => setTimeout(resolve, 100));
  }

  async status(member: FleetMember): Promise<Json> {
    return (await (await fetch(`${member.adminUrl}/status`)).json()) as Json;
  }

  /** Sums a counter over the running members, by label value. */
  async sumCounter(members: readonly FleetMember[], name: string): Promise<Record<string, number>> {
    const sums: Record<string, number> = {};
    for (const member of members) {
      if (!member.process.running) continue;
      const text = await (await fetch(`${member.adminUrl}/metrics`)).text();
      for (const match of text.matchAll(
        new RegExp(`^jasminepost_${name}\\{\\w+="([^"]*)"\\} (\\S+)$`, 'gm'),
      )) {
        sums[match[1]] = (sums[match[1]] ?? 0) + Number(match[2]);
      }
    }
    return sums;
  }

  async setFaults(url: string, faults: Json): Promise<void> {
    const res = await fetch(`${url}/admin/faults`, {method: 'POST', body: JSON.stringify(faults)});
    await res.text();
  }

  async readCounters(url: string): Promise<Record<string, number>> {
    return (await (await fetch(`${url}/admin/counters`)).json()) as Record<string, number>;
  }

  /** Publishes the live and leaving members; the instance list shows them after its lag. */
  async publishList(): Promise<void> {
    const instances = [...this.entries, ...this.sidecars]
      .filter(member => member.listed)
      .map(({id, role, zone, meshPort, state}) => {
        return {id, role, zone, host: '127.0.0.1', port: meshPort, state};
      });
    const body = JSON.stringify({instances});
    await (await fetch(`${this.listUrl}/admin/instances`, {method: 'POST', body})).text();
  }

  private async addEngine(index: number): Promise<FleetMember> {
    const port = await freePort();
    const args = ['--listen', `127.0.0.1:${port}`, ...(this.options.engineArgs ?? [])];
    const url = `http://127.0.0.1:${port}`;
    const process = this.launch('stand_in_engine', args);
    await process.ready(`${url}/health`);
    this.engines[index] = {id: `engine-${index}`, url, program: 'stand_in_engine', args, process};
    const sidecar = await this.newSidecar(`sidecar-${index}`, zoneOf(index), url, [
      '--upstream-kind',
      'engine',
    ]);
    return sidecar;
  }

  private async addService(index: number): Promise<FleetMember> {
    const {url} = await this.serviceAt(this.options.sharedService === true ? 0 : index);
    const sidecar = await this.newSidecar(`ledger-${index}`, zoneOf(index), url, [
      '--upstream-kind',
      'service',
      '--service',
      'ledger',
    ]);
    return sidecar;
  }

  /** Starts the stand-in service of an index, once. */
  private serviceAt(index: number): Promise<UpstreamProcess> {
    this.startingServices[index] ??= this.startService(index);
    return this.startingServices[index];
  }

  private async startService(index: number): Promise<UpstreamProcess> {
    const port = await freePort();
    const args = ['--listen', `127.0.0.1:${port}`];
    const url = `http://127.0.0.1:${port}`;
    const process = this.launch('stand_in_service', args);
    await process.ready(`${url}/health`);
    this.services[index] = {
      id: `service-${index}`,
      url,
      program: 'stand_in_service',
      args,
      process,
    };
    return this.services[index];
  }

  private async addEntry(index: number): Promise<FleetMember> {
    const [port, admin, mesh] = await Promise.all([freePort(), freePort(), freePort()]);
    const id = `entry-${index}`;
    const process = this.launch('jasminepost-entry', [
      ...this.commonArgs(id, zoneOf(index), admin, mesh),
      '--listen',
      `127.0.0.1:${port}`,
      '--drain-notice-ms',
      '300',
      ...(this.options.entryArgs ?? []),
    ]);
    const member: FleetMember = {
      id,
      zone: zoneOf(index),
      role: 'entry',
      meshPort: mesh,
      adminUrl: `http://127.0.0.1:${admin}`,
      url: `http://127.0.0.1:${port}`,
      process,
      listed: true,
      state: 'live',
    };
    await process.ready(`${member.adminUrl}/healthz`);
    return member;
  }

  /** Restarts the member's program with the same arguments. */
  async restart(member: FleetMember): Promise<void> {
    await member.process.kill();
    member.process = this.launch(member.process.program, member.process.args);
    await member.process.ready(`${member.adminUrl}/healthz`);
  }

  async restartUpstream(upstream: UpstreamProcess): Promise<void> {
    await upstream.process.kill();
    upstream.process = this.launch(upstream.program, upstream.args);
    await upstream.process.ready(`${upstream.url}/health`);
  }

  launch(program: string, args: readonly string[]): FleetProcess {
    const process = new FleetProcess(program, args);
    this.processes.push(process);
    return process;
  }

  private async startPlatform(): Promise<void> {
    const [keyValue, list] = await Promise.all([freePort(), freePort()]);
    this.keyValueUrl = `http://127.0.0.1:${keyValue}`;
    this.listUrl = `http://127.0.0.1:${list}`;
    const keyValueProcess = this.launch('stand_in_key_value', [
      '--listen',
      `127.0.0.1:${keyValue}`,
      ...(this.options.keyValueArgs ?? []),
    ]);
    const listProcess = this.launch('stand_in_instance_list', [
      '--listen',
      `127.0.0.1:${list}`,
      '--lag-ms',
      String(this.options.listLagMs ?? 200),
    ]);
    await Promise.all([
      keyValueProcess.ready(`${this.keyValueUrl}/admin/counters`),
      listProcess.ready(`${this.listUrl}/v1/instances`),
    ]);
  }

  private async newSidecar(
    id: string,
    zone: string,
    upstreamUrl: string,
    args: readonly string[],
  ): Promise<FleetMember> {
    const [admin, mesh] = await Promise.all([freePort(), freePort()]);
    const process = this.launch('jasminepost-sidecar', [
      ...this.commonArgs(id, zone, admin, mesh),
      '--upstream-url',
      upstreamUrl,
      '--max-order-delay-ms',
      '1500',
      '--loads-per-s',
      '50',
      ...args,
      ...(this.options.sidecarArgs ?? []),
    ]);
    const member: FleetMember = {
      id,
      zone,
      role: 'sidecar',
      meshPort: mesh,
      adminUrl: `http://127.0.0.1:${admin}`,
      url: upstreamUrl,
      process,
      listed: true,
      state: 'live',
    };
    await process.ready(`${member.adminUrl}/healthz`);
    return member;
  }

  private commonArgs(id: string, zone: string, admin: number, mesh: number): string[] {
    return [
      '--id',
      id,
      '--zone',
      zone,
      '--admin',
      `127.0.0.1:${admin}`,
      '--mesh',
      `127.0.0.1:${mesh}`,
      '--list-interval-ms',
      String(this.options.listIntervalMs ?? 200),
      ...this.keyValueFlags(),
      ...this.fleetFlags(),
    ];
  }
}

function range(count: number): number[] {
  return Array.from({length: count}, (_, index) => index);
}

function zoneOf(index: number): string {
  return `zone-${'abc'[index % 3]}`;
}
