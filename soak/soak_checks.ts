/** Promises that a soak checks, from what callers and replicas have seen. */
import type {UsersFleet} from '../features/support/users_fleet.ts';
import type {SeenRequest} from '../stand_ins/users_platform/replica.ts';
import type {SoakCall} from './soak_load.ts';

/** Statuses that promise that nothing has run. */
const PROMISES: readonly number[] = [408, 421, 429, 503];
const MAX_RUNS = 2;
const EVENT_IDS = '1,2,3,4';
const MAX_MODELS = 2;
/** Requests that may reach a replica from one gateway while it wants none. */
const MAX_UNWANTED = 2;
const MAX_ADAPTERS = 2;
/** Requests beyond a limit that a gateway may send before it hears of it, or behind a harmed link. */
const MAX_OVER_LIMIT = 8;

/**
 * Every broken promise, one line each.
 *
 * @param starts - Gateways that were started again or stood still.
 * @param harms - Links to replicas that were cut or slow.
 */
export function findBroken(
  fleet: UsersFleet,
  calls: readonly SoakCall[],
  starts: number,
  harms: number,
): string[] {
  const runs = new Map<string, SeenRequest[]>();
  for (const run of [...fleet.services, ...fleet.engines].flatMap(replica => replica.runs)) {
    runs.set(run.id, [...(runs.get(run.id) ?? []), run]);
  }
  const known = new Map(calls.map(call => [call.id, call]));
  const broken: string[] = [];
  for (const [id, seen] of runs) {
    const call = known.get(id);
    if (call === undefined) broken.push(`${id}: ran, but no caller sent it`);
    else broken.push(...brokenRuns(call, seen));
  }
  for (const call of calls) broken.push(...brokenAnswer(call, runs.get(call.id) ?? []));
  // A gateway that has started, or was never answered, hears it with its own first request.
  const mostUnwanted = MAX_UNWANTED * (fleet.gateways.length + starts);
  for (const {id, mostUnwanted: unwanted} of [...fleet.services, ...fleet.engines]) {
    if (unwanted > mostUnwanted) broken.push(`${id}: ${unwanted} requests that it did not want`);
  }
  for (const {id, mostOverLimit: over} of [...fleet.services, ...fleet.engines]) {
    if (over > MAX_OVER_LIMIT * (starts + harms)) broken.push(`${id}: ${over} beyond its limit`);
  }
  for (const engine of fleet.engines) {
    const fences = engine.orders.map(order => order.fencingToken);
    if (fences.some((fence, i) => i > 0 && fence <= fences[i - 1])) {
      broken.push(`${engine.id}: order numbers went back`);
    }
    if (new Set(engine.orders.map(order => order.holder)).size > 1) {
      broken.push(`${engine.id}: orders of two holders`);
    }
  }
  return broken;
}

/** Checked all the time: no engine may hold more than its memory and places allow. */
export function overloadedEngines(fleet: UsersFleet): string[] {
  return fleet.engines
    .filter(({models}) => {
      const adapters = [...models.values()].reduce((sum, held) => sum + held.size, 0);
      return models.size > MAX_MODELS || adapters > MAX_ADAPTERS;
    })
    .map(({id}) => `${id}: holds more than its memory or places allow`);
}

function brokenRuns(call: SoakCall, seen: readonly SeenRequest[]): string[] {
  const broken: string[] = [];
  const repeatable = call.kind === 'read' || call.kind === 'long';
  if (seen.length > (repeatable ? MAX_RUNS : 1))
    broken.push(`${call.id}: ran ${seen.length} times`);
  const expected = call.kind === 'read' ? '' : call.body;
  for (const run of seen) {
    if (run.path !== call.path || run.body !== expected) {
      broken.push(`${call.id}: ran with path ${run.path} and body "${run.body}"`);
    }
  }
  return broken;
}

function brokenAnswer(call: SoakCall, seen: readonly SeenRequest[]): string[] {
  const {id, answer, kind} = call;
  if (answer === undefined) return [`${id}: no end`];
  if (call.left || answer.status === 0) return [];
  if (PROMISES.includes(answer.status) && seen.length > 0 && kind !== 'read' && kind !== 'long') {
    return [`${id}: told ${answer.status}, but it has run`];
  }
  if (answer.status !== 200 || answer.cut) return [];
  const signature = String(answer.headers['response-signature'] ?? '');
  if (!signature.endsWith(`.${id}`)) return [`${id}: whole answer with signature "${signature}"`];
  if (kind === 'order' || kind === 'read') {
    return answer.body.endsWith(` to ${id}`) ? [] : [`${id}: answer "${answer.body}"`];
  }
  const events = [...answer.body.matchAll(/^id: (\d+)$/gm)].map(match => match[1]).join(',');
  return events === EVENT_IDS ? [] : [`${id}: whole stream with events ${events}`];
}
