/** Cost of the control traffic of an idle entry or sidecar, for several fleet sizes. */
import {TestFleet} from '../features/support/test_fleet.ts';
import type {FleetMember} from '../features/support/fleet_types.ts';
import {cpuSeconds, residentMiB} from './process_meter.ts';

const SETTLE_MS = 8000;
const WINDOW_MS = 20_000;

interface FleetSize {
  readonly entries: number;
  readonly services: number;
}

const SIZES: readonly FleetSize[] = [
  {entries: 2, services: 8},
  {entries: 2, services: 28},
  {entries: 2, services: 98},
  {entries: 60, services: 10},
];

interface Usage {
  readonly cpuS: number;
  readonly bytes: number;
}

async function usageOf(member: FleetMember): Promise<Usage> {
  const text = await (await fetch(`${member.adminUrl}/metrics`)).text();
  const bytes = Number(/^jasminepost_mesh_bytes (\S+)$/m.exec(text)?.[1] ?? 0);
  return {cpuS: cpuSeconds(member.process.pid), bytes};
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

async function measureRole(
  name: string,
  members: readonly FleetMember[],
  before: readonly Usage[],
): Promise<void> {
  const after = await Promise.all(members.map(usageOf));
  const seconds = WINDOW_MS / 1000;
  const cpu = mean(after.map((usage, i) => (usage.cpuS - before[i].cpuS) / seconds));
  const bytes = mean(after.map((usage, i) => (usage.bytes - before[i].bytes) / seconds));
  const memory = mean(members.map(member => residentMiB(member.process.pid)));
  process.stdout.write(
    `  ${name.padEnd(8)} ${(100 * cpu).toFixed(2).padStart(6)}% of a core ` +
      `${memory.toFixed(1).padStart(7)} MiB ${bytes.toFixed(0).padStart(7)} mesh bytes/s\n`,
  );
}

/** Prints processor time, memory and traffic of idle entries and sidecars. */
export async function runControlCost(): Promise<void> {
  for (const size of SIZES) {
    const fleet = new TestFleet({
      engines: 0,
      services: size.services,
      entries: size.entries,
      sharedService: true,
      keyValueArgs: ['--writes-per-s', '100000', '--reads-per-s', '100000'],
      listIntervalMs: 5000,
      sidecarArgs: ['--watch-ms', '30000'],
      entryArgs: ['--watch-ms', '30000'],
    });
    await fleet.start();
    try {
      await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
      await measureSize(fleet, size);
    } finally {
      await fleet.stop();
    }
  }
}

async function measureSize(fleet: TestFleet, size: FleetSize): Promise<void> {
  const entries = await Promise.all(fleet.entries.map(usageOf));
  const sidecars = await Promise.all(fleet.sidecars.map(usageOf));
  const calls = await keyValueCallCount(fleet);
  await new Promise(resolve => setTimeout(resolve, WINDOW_MS));
  const perS = ((await keyValueCallCount(fleet)) - calls) / (WINDOW_MS / 1000);
  const members = size.entries + size.services;
  process.stdout.write(
    `${size.entries} entries, ${size.services} sidecars: ${perS.toFixed(2)} key-value calls/s, ` +
      `${(perS / members).toFixed(4)} per member\n`,
  );
  await measureRole('entry', fleet.entries, entries);
  await measureRole('sidecar', fleet.sidecars, sidecars);
}

async function keyValueCallCount(fleet: TestFleet): Promise<number> {
  const counters = await fleet.readCounters(fleet.keyValueUrl);
  return Object.values(counters).reduce((sum, count) => sum + count, 0);
}
