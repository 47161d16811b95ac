/** Cost of a real entry and a real sidecar among as many fake peers as at the design size. */
import {CounterFamily} from '@jasminepost/core';
import {
  HandshakeAuthenticator,
  MeshClient,
  MeshServer,
  type LinkCloseReason,
} from '@jasminepost/mesh';
import {reportIntervalMs} from '@jasminepost/policy';
import {MESH_KEY, TestFleet} from '../features/support/test_fleet.ts';
import type {FleetMember} from '../features/support/fleet_types.ts';
import {until} from '../features/support/fleet_process.ts';
import {cpuSeconds, residentMiB} from './process_meter.ts';

const SIDECARS = 1000;
const ENTRIES = 350;
const MODELS = 200;
const COPIES_PER_SIDECAR = 4;
const REPORT_BYTES_PER_S = 14_500;
const LINK_TIMEOUT_MS = 60_000;
const SETTLE_MS = 5000;
const WINDOW_MS = 30_000;

const linkFaults = new CounterFamily<LinkCloseReason>('faults', '', 'reason');
const authenticator = new HandshakeAuthenticator(MESH_KEY);

/** Accepts links and sends load reports as a sidecar does. */
async function startFakeSidecar(index: number): Promise<{port: number; server: MeshServer}> {
  const server = new MeshServer(
    {id: `fake-${index}`, incarnation: 1, role: 'sidecar', zone: `zone-${index % 12}`},
    authenticator,
    {
      onLink: link => {
        link.send({
          type: 'status',
          upstream: `fake-${index}`,
          kind: 'engine',
          service: '',
          leaving: false,
          healthy: true,
          models: Array.from(
            {length: COPIES_PER_SIDECAR},
            (_, copy) => `model-${(index * COPIES_PER_SIDECAR + copy) % MODELS}`,
          ),
          adapters: [],
          plannerTerm: 0,
          freeMiB: 0,
          totalMiB: 81_920,
          slots: 8,
        });
      },
      onMessage: () => undefined,
      onLinkLost: () => undefined,
    },
    linkFaults,
  );
  const port = await server.listen({host: '127.0.0.1', port: 0});
  const nextMs = reportIntervalMs(SIDECARS, REPORT_BYTES_PER_S, 500);
  const report = () => {
    server.broadcast({type: 'load', paid: 3, trial: 1, serviceMs: 900, nextMs});
  };
  setTimeout(() => setInterval(report, nextMs).unref(), nextMs * Math.random()).unref();
  return {port, server};
}

async function measure(member: FleetMember, links: number): Promise<void> {
  await until(`${links} links`, LINK_TIMEOUT_MS, async () => {
    const text = await (await fetch(`${member.adminUrl}/metrics`)).text();
    const open = Number(/^jasminepost_links (\d+)$/m.exec(text)?.[1] ?? 0);
    return open >= links ? true : undefined;
  });
  await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
  const readUsage = async () => {
    const text = await (await fetch(`${member.adminUrl}/metrics`)).text();
    const bytes = Number(/^jasminepost_mesh_bytes (\S+)$/m.exec(text)?.[1] ?? 0);
    return {bytes, cpuS: cpuSeconds(member.process.pid)};
  };
  const before = await readUsage();
  await new Promise(resolve => setTimeout(resolve, WINDOW_MS));
  const after = await readUsage();
  const seconds = WINDOW_MS / 1000;
  process.stdout.write(
    `${member.role} with ${links} links: ` +
      `${((100 * (after.cpuS - before.cpuS)) / seconds).toFixed(2)}% of a core, ` +
      `${residentMiB(member.process.pid).toFixed(1)} MiB, ` +
      `${((after.bytes - before.bytes) / seconds).toFixed(0)} mesh bytes/s\n`,
  );
}

/**
 * Prints what an entry and a sidecar cost at the design size, without requests. The real sidecar
 * also has the planner role, with its own links to all sidecars.
 */
export async function runDesignSizeCost(): Promise<void> {
  const args = ['--watch-ms', '30000'];
  const fleet = new TestFleet({
    engines: 1,
    services: 0,
    entries: 1,
    listIntervalMs: 5000,
    entryArgs: args,
    sidecarArgs: args,
  });
  await fleet.start();
  const sidecars = await Promise.all(Array.from({length: SIDECARS}, (_, i) => startFakeSidecar(i)));
  const clients: MeshClient[] = [];
  try {
    await publishFakeSidecars(
      fleet,
      sidecars.map(sidecar => sidecar.port),
    );
    await measure(fleet.entries[0], SIDECARS + 1);
    for (let i = 0; i < ENTRIES - 1; i++)
      clients.push(startFakeEntry(i, fleet.sidecars[0].meshPort));
    await measure(fleet.sidecars[0], ENTRIES);
  } finally {
    for (const client of clients) client.dispose();
    for (const sidecar of sidecars) sidecar.server.close();
    await fleet.stop();
  }
}

function startFakeEntry(index: number, port: number): MeshClient {
  const ignore = () => undefined;
  return new MeshClient(
    {host: '127.0.0.1', port},
    {id: `fake-entry-${index}`, incarnation: 1, role: 'entry', zone: 'zone-0'},
    authenticator,
    {onUp: ignore, onMessage: ignore, onDown: ignore, isAwaitingReply: () => false},
    linkFaults,
  );
}

async function publishFakeSidecars(fleet: TestFleet, ports: readonly number[]): Promise<void> {
  const real = (await (await fetch(`${fleet.listUrl}/v1/instances`)).json()) as {
    readonly instances: readonly unknown[];
  };
  const fakes = ports.map((port, index) => {
    const zone = `zone-${index % 12}`;
    return {id: `fake-${index}`, role: 'sidecar', zone, host: '127.0.0.1', port, state: 'live'};
  });
  const body = JSON.stringify({instances: [...real.instances, ...fakes]});
  await (await fetch(`${fleet.listUrl}/admin/instances`, {method: 'POST', body})).text();
}
