/** Processor time and memory of other processes, from /proc. */
import {readFileSync} from 'node:fs';

const TICKS_PER_S = 100;
const PAGE_BYTES = 4096;

/** Processor seconds that a process has used. */
export function cpuSeconds(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_S;
}

/** Resident memory in MiB. */
export function residentMiB(pid: number): number {
  const pages = Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]);
  return (pages * PAGE_BYTES) / 2 ** 20;
}
