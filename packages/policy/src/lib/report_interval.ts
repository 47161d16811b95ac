/** Chooses report intervals that keep the cost of reports within a budget at any fleet size. */

/** Size of a load report's frame with its TCP and IP headers. */
const REPORT_WIRE_BYTES = 150;

/** Most reports a second that one process should receive; each wakes it once. */
const MAX_REPORTS_PER_S = 40;

/**
 * @param peers - Peers that each process receives reports from or sends them to.
 * @param budgetBytesPerS - Bytes a second that one process may spend on reports.
 * @param minIntervalMs - Shortest interval.
 * @returns Interval in milliseconds.
 * @example
 * reportIntervalMs(1000, 14_500, 500); // 25 s for 1,000 peers
 * @public
 */
export function reportIntervalMs(
  peers: number,
  budgetBytesPerS: number,
  minIntervalMs: number,
): number {
  const byteBudgetIntervalMs = (peers * REPORT_WIRE_BYTES * 1000) / budgetBytesPerS;
  const rateLimitIntervalMs = (peers * 1000) / MAX_REPORTS_PER_S;
  return Math.ceil(Math.max(minIntervalMs, byteBudgetIntervalMs, rateLimitIntervalMs));
}

const MIN_DEMAND_INTERVAL_MS = 10_000;
/** Keeps the demand reports of all entries to the planner below 15 kB/s with 200 models. */
const DEMAND_INTERVAL_MS_PER_ENTRY = 170;

/**
 * Time between an entry's demand reports to the planner, in milliseconds.
 *
 * @example
 * demandIntervalMs(350); // 59,500
 * @public
 */
export function demandIntervalMs(entries: number): number {
  return Math.max(MIN_DEMAND_INTERVAL_MS, entries * DEMAND_INTERVAL_MS_PER_ENTRY);
}
