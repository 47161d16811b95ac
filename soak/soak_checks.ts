/** Guarantees that a soak checks, from what callers and replicas observed. */
import type {UsersFleet} from '../features/support/users_fleet.ts';
import type {RecordedRequest} from '../stand_ins/users_platform/recorded_request.ts';
import type {SoakCall} from './soak_load.ts';

/** Statuses that guarantee that the request has not run. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];
const MAX_RUNS = 2;
const EXPECTED_EVENT_IDS = '1,2,3,4';
const MAX_MODELS = 2;
/** Requests of one gateway that may reach a replica while it accepts none. */
const MAX_UNWANTED = 2;
const MAX_ADAPTERS = 2;
/** Requests above a rate limit from a gateway that does not know it yet, or over a faulty link. */
const MAX_OVER_LIMIT = 8;

/**
 * All violations, one line each.
 *
 * @param gatewayStarts - Number of restarts and pauses of gateways.
 * @param linkFaults - Number of faults of links to replicas, which were held or slow.
 */
export function findViolations(
  fleet: UsersFleet,
  calls: readonly SoakCall[],
  gatewayStarts: number,
  linkFaults: number,
): string[] {
  const runs = new Map<string, RecordedRequest[]>();
  for (const run of [...fleet.services, ...fleet.engines].flatMap(replica => replica.runs)) {
    runs.set(run.id, [...(runs.get(run.id) ?? []), run]);
  }
  const callsById = new Map(calls.map(call => [call.id, call]));
  const violations: string[] = [];
  for (const [id, requestRuns] of runs) {
    const call = callsById.get(id);
    if (call === undefined) violations.push(`${id}: ran, but no caller sent it`);
    else violations.push(...checkRuns(call, requestRuns));
  }
  for (const call of calls) violations.push(...checkResponse(call, runs.get(call.id) ?? []));
  // A gateway that restarted, or got no response yet, learns it from the response to a request.
  const maxUnwanted = MAX_UNWANTED * (fleet.gateways.length + gatewayStarts);
  for (const {id, maxUnwanted: unwanted} of [...fleet.services, ...fleet.engines]) {
    if (unwanted > maxUnwanted)
      violations.push(`${id}: ${unwanted} requests while it accepted none`);
  }
  for (const {id, maxOverLimit: over} of [...fleet.services, ...fleet.engines]) {
    if (over > MAX_OVER_LIMIT * (gatewayStarts + linkFaults))
      violations.push(`${id}: ${over} requests above its rate limit`);
  }
  for (const engine of fleet.engines) {
    const fencingTokens = engine.orders.map(order => order.fencingToken);
    if (fencingTokens.some((token, i) => i > 0 && token <= fencingTokens[i - 1])) {
      violations.push(`${engine.id}: fencing tokens did not increase`);
    }
    if (new Set(engine.orders.map(order => order.holder)).size > 1) {
      violations.push(`${engine.id}: orders from more than one holder`);
    }
  }
  return violations;
}

/** Checked throughout the run: no engine may exceed its memory or its adapter slots. */
export function findOverloadedEngines(fleet: UsersFleet): string[] {
  return fleet.engines
    .filter(({models}) => {
      const adapters = [...models.values()].reduce(
        (sum, loadedAdapters) => sum + loadedAdapters.size,
        0,
      );
      return models.size > MAX_MODELS || adapters > MAX_ADAPTERS;
    })
    .map(({id}) => `${id}: exceeds its memory or adapter slots`);
}

function checkRuns(call: SoakCall, runs: readonly RecordedRequest[]): string[] {
  const violations: string[] = [];
  const isRetryable = call.kind === 'read' || call.kind === 'long';
  if (runs.length > (isRetryable ? MAX_RUNS : 1))
    violations.push(`${call.id}: ran ${runs.length} times`);
  const expectedBody = call.kind === 'read' ? '' : call.body;
  for (const run of runs) {
    if (run.path !== call.path || run.body !== expectedBody) {
      violations.push(`${call.id}: ran with path ${run.path} and body "${run.body}"`);
    }
  }
  return violations;
}

function checkResponse(call: SoakCall, runs: readonly RecordedRequest[]): string[] {
  const {id, response, kind} = call;
  if (response === undefined) return [`${id}: did not end`];
  if (call.disconnects || response.status === 0) return [];
  if (
    NOT_RUN_STATUSES.includes(response.status) &&
    runs.length > 0 &&
    kind !== 'read' &&
    kind !== 'long'
  ) {
    return [`${id}: status ${response.status} means not run, but it ran`];
  }
  if (response.status !== 200 || response.cut) return [];
  const signature = String(response.headers['response-signature'] ?? '');
  if (!signature.endsWith(`.${id}`))
    return [`${id}: complete response with signature "${signature}"`];
  if (kind === 'order' || kind === 'read') {
    return response.body.endsWith(` to ${id}`) ? [] : [`${id}: response "${response.body}"`];
  }
  const events = [...response.body.matchAll(/^id: (\d+)$/gm)].map(match => match[1]).join(',');
  return events === EXPECTED_EVENT_IDS ? [] : [`${id}: complete stream with events ${events}`];
}
