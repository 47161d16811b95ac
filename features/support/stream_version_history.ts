/**
 * Simulates streams that begin, releases, kills of gateways, restores of the store from older copies,
 * and callers that resume anywhere.
 */
import fc from 'fast-check';
import type {StoreChange} from '@jasminepost/platform';
import {DefaultVersions} from '../../apps/gateway/src/lib/default_versions.ts';
import {
  decideStreamVersion,
  mayBeginUnrecorded,
  nextDefaultVersion,
  STREAM_LIFE_MS,
  StreamVersions,
  type DefaultVersion,
} from '@jasminepost/policy';

const GATEWAYS = 3;
const VERSIONS = ['v1', 'v2', 'v3'];
/** Lease of the previous default, of which a change of the default may take the first part. */
const PREVIOUS_LEASE_MS = 120_000;
/** Longest times for which a gateway may not have noticed a change: in touch, and cut off. */
const MAX_LAG_MS = 10_000;
const MAX_CUT_MS = 300_000;
/** Age of the copy from which the store is restored. */
const MAX_COPY_AGE_MS = 8000;

type VersionEvent = Readonly<
  | {kind: 'start'; gateway: number; version: number; lagMs: number}
  | {kind: 'plan'; replicas: readonly number[]}
  | {kind: 'kill'; gateways: readonly number[]}
  | {kind: 'resume'; stream: number; gateway: number}
  | {kind: 'restore'; ageMs: number}
  | {kind: 'rewrite'}
>;

const versionEvent: fc.Arbitrary<VersionEvent> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('start' as const),
      gateway: fc.nat(GATEWAYS - 1),
      version: fc.nat(VERSIONS.length - 1),
      lagMs: fc.oneof(fc.nat(MAX_LAG_MS), fc.nat(MAX_CUT_MS)),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('plan' as const),
      replicas: fc.array(fc.nat(4), {minLength: VERSIONS.length, maxLength: VERSIONS.length}),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('kill' as const),
      gateways: fc.uniqueArray(fc.nat(GATEWAYS - 1), {minLength: 1}),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('resume' as const),
      stream: fc.nat(8),
      gateway: fc.nat(GATEWAYS - 1),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('restore' as const),
      ageMs: fc.nat(MAX_COPY_AGE_MS),
    }),
  },
  {weight: 1, arbitrary: fc.record({kind: fc.constant('rewrite' as const)})},
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
    store: {
      era: 0,
      wasRestored: false,
      createLease: async () => '',
      write: async () => ({kind: 'ok', version: 0}) as never,
    },
    clock: {monotonicMs, wallMs: monotonicMs},
    log: {info: ignore, warn: ignore, error: ignore} as never,
    isFirstStart: true,
    isPlanner: () => false,
    resumableServices: () => [],
    versionsOf: () => new Map(),
  });
  return {defaults, asOfMs: Number.NEGATIVE_INFINITY};
}

/** Default version in the store, from a time on. */
interface StoredChange {
  readonly atMs: number;
  /** When the previous default's lease began. */
  readonly leasedMs: number;
  readonly found: DefaultVersion;
  readonly changes: number;
  readonly era: number;
}

export function playVersionHistory(
  events: ReadonlyArray<{readonly afterMs: number; readonly event: VersionEvent}>,
): ResumeCounts {
  const counts = {same: 0, other: 0, refused: 0};
  let stored: StoredChange[] = [];
  let records = new Map<string, {readonly version: string; readonly atMs: number}>();
  /** When the key was written that marks records as possibly lost. */
  let restoredKeyMs = Number.NEGATIVE_INFINITY;
  let era = 0;
  const streams: Stream[] = [];
  const witnesses = new StreamVersions();
  const memories = Array.from({length: GATEWAYS}, () => new Map<string, string>());
  /** What the store holds at a time: the previous default is deleted when its lease ends. */
  const storedAt = (atMs: number): StoredChange | undefined => {
    const last = stored.findLast(change => change.atMs <= atMs);
    if (last === undefined) return undefined;
    const {current, previous} = last.found;
    const isLeased = atMs < last.leasedMs + PREVIOUS_LEASE_MS;
    return {...last, found: {current, previous: isLeased ? previous : undefined}};
  };
  let nowMs = 0;
  const gateways = Array.from({length: GATEWAYS}, () => startGateway(() => nowMs));
  /** Lets a gateway read the store as of a time; returns whether records were complete by then. */
  const readAt = (gateway: number, atMs: number): boolean => {
    const known = gateways[gateway];
    known.asOfMs = atMs;
    const last = storedAt(atMs);
    const changes: StoreChange[] = [];
    const add = (part: string, value: object | undefined) => {
      if (value === undefined) return;
      changes.push({key: KEY_PREFIX + part, revision: 1, value: JSON.stringify(value)});
    };
    if (last !== undefined) {
      const {found, changes: number, era: writtenEra} = last;
      const write = (version: string) => ({version, changes: number, era: writtenEra});
      add('current', write(found.current));
      add('previous', found.previous === undefined ? undefined : write(found.previous));
    }
    if (atMs < restoredKeyMs + PREVIOUS_LEASE_MS) add('restored', {});
    return known.defaults.applyRange(SERVICE, {era, revision: 1, changes}).areRecordsComplete;
  };
  /** A gateway's default version once it has read the store as of a time. */
  const knownAt = (gateway: number, atMs: number): DefaultVersion | undefined => {
    if (atMs >= gateways[gateway].asOfMs) readAt(gateway, atMs);
    return gateways[gateway].defaults.of(SERVICE);
  };
  const write = (found: DefaultVersion, changes: number) => {
    stored.push({atMs: nowMs, leasedMs: nowMs, found, changes, era});
  };
  for (const {afterMs, event} of events) {
    nowMs += afterMs;
    switch (event.kind) {
      case 'start': {
        const version = VERSIONS[event.version];
        const id = `stream-${streams.length}`;
        const found = knownAt(event.gateway, nowMs - event.lagMs);
        if (!mayBeginUnrecorded(found, version, event.lagMs))
          records.set(id, {version, atMs: nowMs});
        memories[event.gateway].set(id, version);
        witnesses.remember(id, version, nowMs);
        streams.push({id, version, atMs: nowMs, hadDefault: found !== undefined});
        break;
      }
      case 'plan': {
        const found = storedAt(nowMs);
        if (found !== undefined && found.era !== era) break;
        const replicas = new Map(VERSIONS.map((version, i) => [version, event.replicas[i]]));
        const next = nextDefaultVersion(found?.found, replicas);
        if (next === undefined) break;
        if (found === undefined && era > 0) restoredKeyMs = nowMs;
        write({current: next, previous: found?.found.current}, (found?.changes ?? 0) + 1);
        break;
      }
      case 'kill':
        for (const gateway of event.gateways) {
          memories[gateway].clear();
          gateways[gateway] = startGateway(() => nowMs);
        }
        break;
      case 'restore': {
        const copiedMs = nowMs - event.ageMs;
        stored = stored.filter(({atMs}) => atMs <= copiedMs);
        records = new Map([...records].filter(([, {atMs}]) => atMs <= copiedMs));
        if (restoredKeyMs > copiedMs) restoredKeyMs = Number.NEGATIVE_INFINITY;
        era += 1;
        // Gateways hear of the restore, and read all again.
        for (const {defaults} of gateways) defaults.onStoreRestored();
        break;
      }
      case 'rewrite': {
        // Planned by a gateway that has just started, and so knows nothing but the store.
        const found = storedAt(nowMs);
        if (found === undefined || found.era === era) break;
        restoredKeyMs = nowMs;
        write(found.found, found.changes);
        break;
      }
      case 'resume': {
        const stream = streams.at(-1 - event.stream);
        if (stream === undefined || nowMs - stream.atMs > STREAM_LIFE_MS) break;
        const areRecordsComplete = readAt(event.gateway, nowMs);
        const decision = decideStreamVersion({
          recorded: records.get(stream.id)?.version,
          defaultVersion: gateways[event.gateway].defaults.of(SERVICE),
          areRecordsComplete,
          witnessed: witnesses.versionOf(stream.id),
          onlyVersion: undefined,
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
