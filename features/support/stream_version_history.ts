/** Simulates streams that begin, releases, kills of gateways, and callers that resume anywhere. */
import fc from 'fast-check';
import {DefaultVersions} from '../../apps/gateway/src/lib/default_versions.ts';
import {
  decideStreamVersion,
  mayBeginUnrecorded,
  nextDefaultVersion,
  STREAM_LIFE_MS,
  type DefaultVersion,
} from '@jasminepost/policy';

const GATEWAYS = 3;
const VERSIONS = ['v1', 'v2', 'v3'];
/** Lease of the previous default, of which a change of the default may take the first part. */
const PREVIOUS_LEASE_MS = 120_000;
/** Longest times for which a gateway may not have noticed a change: in touch, and cut off. */
const MAX_LAG_MS = 10_000;
const MAX_CUT_MS = 300_000;

type VersionEvent = Readonly<
  | {kind: 'start'; gateway: number; version: number; lagMs: number}
  | {kind: 'plan'; replicas: readonly number[]}
  | {kind: 'kill'; gateways: readonly number[]}
  | {kind: 'resume'; stream: number; gateway: number}
>;

const versionEvent: fc.Arbitrary<VersionEvent> = fc.oneof(
  fc.record({
    kind: fc.constant('start' as const),
    gateway: fc.nat(GATEWAYS - 1),
    version: fc.nat(VERSIONS.length - 1),
    lagMs: fc.oneof(fc.nat(MAX_LAG_MS), fc.nat(MAX_CUT_MS)),
  }),
  fc.record({
    kind: fc.constant('plan' as const),
    replicas: fc.array(fc.nat(4), {minLength: VERSIONS.length, maxLength: VERSIONS.length}),
  }),
  fc.record({
    kind: fc.constant('kill' as const),
    gateways: fc.uniqueArray(fc.nat(GATEWAYS - 1), {minLength: 1}),
  }),
  fc.record({
    kind: fc.constant('resume' as const),
    stream: fc.nat(8),
    gateway: fc.nat(GATEWAYS - 1),
  }),
);

/** A gateway starts long after a change of the default, and outlives the previous default's lease. */
export const LATE_GATEWAY_HISTORY: ReadonlyArray<{afterMs: number; event: VersionEvent}> = [
  {afterMs: 0, event: {kind: 'plan', replicas: [1, 0, 0]}},
  {afterMs: 1000, event: {kind: 'plan', replicas: [1, 3, 0]}},
  {afterMs: 40_000, event: {kind: 'start', gateway: 0, version: 1, lagMs: 0}},
  {afterMs: 30_000, event: {kind: 'kill', gateways: [1]}},
  {afterMs: 0, event: {kind: 'resume', stream: 0, gateway: 1}},
  {afterMs: PREVIOUS_LEASE_MS - 30_000, event: {kind: 'start', gateway: 0, version: 1, lagMs: 0}},
  {afterMs: 0, event: {kind: 'resume', stream: 0, gateway: 1}},
];

export const versionHistories = fc.array(
  fc.record({afterMs: fc.oneof(fc.nat(500), fc.nat(5000), fc.nat(60_000)), event: versionEvent}),
  {minLength: 20, maxLength: 120},
);

/** Resumed streams that went on at their version, at another one, and not at all. */
export interface ResumeCounts {
  readonly same: number;
  readonly other: number;
  /** Those that did not, although a default version was known when they began. */
  readonly refused: number;
}

interface Stream {
  readonly id: string;
  readonly version: string;
  readonly atMs: number;
  readonly hadDefault: boolean;
}

/** What one gateway knows of the default version. */
interface GatewayKnowledge {
  readonly defaults: DefaultVersions;
  /** Time of the newest state of the store that it has read. */
  asOfMs: number;
}

const KEY_PREFIX = 'system/stream_versions/models/';
const SERVICE = 'models';

/** A gateway that has just started, with the clock of the series. */
function startGateway(monotonicMs: () => number): GatewayKnowledge {
  const ignore = () => undefined;
  const defaults = new DefaultVersions({
    store: {createLease: async () => '', write: async () => ({kind: 'ok', version: 0}) as never},
    clock: {monotonicMs, wallMs: monotonicMs},
    log: {info: ignore, warn: ignore, error: ignore} as never,
    isPlanner: () => false,
    resumableServices: () => [],
    versionsOf: () => new Map(),
  });
  return {defaults, asOfMs: Number.NEGATIVE_INFINITY};
}

export function playVersionHistory(
  events: ReadonlyArray<{readonly afterMs: number; readonly event: VersionEvent}>,
): ResumeCounts {
  const counts = {same: 0, other: 0, refused: 0};
  const changes: Array<{readonly atMs: number; readonly found: DefaultVersion}> = [];
  const records = new Map<string, string>();
  const streams: Stream[] = [];
  const memories = Array.from({length: GATEWAYS}, () => new Map<string, string>());
  /** What the store holds at a time: the previous default is deleted when its lease ends. */
  const storedAt = (atMs: number): DefaultVersion | undefined => {
    const last = changes.findLast(change => change.atMs <= atMs);
    if (last === undefined) return undefined;
    const {current, previous} = last.found;
    return {current, previous: atMs < last.atMs + PREVIOUS_LEASE_MS ? previous : undefined};
  };
  let nowMs = 0;
  const gateways = Array.from({length: GATEWAYS}, () => startGateway(() => nowMs));
  /** A gateway's default version once it has read the store as of a time. */
  const knownAt = (gateway: number, atMs: number): DefaultVersion | undefined => {
    const known = gateways[gateway];
    if (atMs >= known.asOfMs) {
      known.asOfMs = atMs;
      const found = storedAt(atMs);
      const revision = changes.findLastIndex(change => change.atMs <= atMs) + 1;
      const parts = Object.entries({current: found?.current, previous: found?.previous});
      known.defaults.applyRange(SERVICE, {
        era: 0,
        revision,
        changes: parts
          .filter(([, version]) => version !== undefined)
          .map(([part, version]) => {
            const value = JSON.stringify({version, changes: revision});
            return {key: KEY_PREFIX + part, revision, value};
          }),
      });
    }
    return known.defaults.of(SERVICE);
  };
  for (const {afterMs, event} of events) {
    nowMs += afterMs;
    switch (event.kind) {
      case 'start': {
        const version = VERSIONS[event.version];
        const id = `stream-${streams.length}`;
        const found = knownAt(event.gateway, nowMs - event.lagMs);
        if (!mayBeginUnrecorded(found, version, event.lagMs)) records.set(id, version);
        memories[event.gateway].set(id, version);
        streams.push({id, version, atMs: nowMs, hadDefault: found !== undefined});
        break;
      }
      case 'plan': {
        const found = storedAt(nowMs);
        const replicas = new Map(VERSIONS.map((version, i) => [version, event.replicas[i]]));
        const next = nextDefaultVersion(found, replicas);
        if (next === undefined) break;
        changes.push({atMs: nowMs, found: {current: next, previous: found?.current}});
        break;
      }
      case 'kill':
        for (const gateway of event.gateways) {
          memories[gateway].clear();
          gateways[gateway] = startGateway(() => nowMs);
        }
        break;
      case 'resume': {
        const stream = streams.at(-1 - event.stream);
        if (stream === undefined || nowMs - stream.atMs > STREAM_LIFE_MS) break;
        const decision = decideStreamVersion({
          recorded: records.get(stream.id),
          defaultVersion: knownAt(event.gateway, nowMs),
          areRecordsComplete: true,
        });
        const version =
          memories[event.gateway].get(stream.id) ??
          (decision.kind === 'version' ? decision.version : undefined);
        if (version === undefined) counts.refused += stream.hadDefault ? 1 : 0;
        else if (version === stream.version) counts.same += 1;
        else counts.other += 1;
      }
    }
  }
  return counts;
}
