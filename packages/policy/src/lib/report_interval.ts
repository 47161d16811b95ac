/** Spaces load reports so that their traffic stays within a byte budget at any fleet size. */

/** Frame of a load report with its TCP and IP headers. */
const REPORT_WIRE_BYTES = 150;

/**
 * @param peers - Peers that each process receives reports from or sends them to.
 * @param budgetBytesPerS - Bytes a second that one process may spend on reports.
 * @param minMs - Shortest interval.
 * @returns Interval in milliseconds.
 * @example
 * reportIntervalMs(1000, 14_500, 500); // about 10 s for 1,000 peers
 * @public
 */
export function reportIntervalMs(peers: number, budgetBytesPerS: number, minMs: number): number {
  return Math.max(minMs, Math.ceil((peers * REPORT_WIRE_BYTES * 1000) / budgetBytesPerS));
}
