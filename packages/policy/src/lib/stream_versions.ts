/** Decides which software version of a replica may serve a stream. */

/**
 * Version at which the streams of a service begin without a record of their own.
 *
 * @public
 */
export interface DefaultVersion {
  readonly current: string;
  /**
   * The default before `current`, for as long as streams that began under it may run. Until then,
   * every stream that begins at `current` is recorded.
   */
  readonly previous: string | undefined;
}

/** What is known of a stream that a caller resumes. @public */
export interface StreamBeginning {
  /** Version in its own record; undefined without a record. */
  readonly recorded: string | undefined;
  /** Undefined while it can't be read, or before there is one. */
  readonly defaultVersion: DefaultVersion | undefined;
  /** False while records may be missing or can't be read. */
  readonly areRecordsComplete: boolean;
  /** Version that a steward was told; undefined when none knows the stream. */
  readonly witnessed: string | undefined;
  /** The only version that has served for the life of a stream; undefined when unknown. */
  readonly onlyVersion: string | undefined;
}

/**
 * Version that a resumed stream must continue at, and how it is known: this gateway saw it begin,
 * it has a record, it has none and so began at the default version, a steward was told of it, or no
 * other version has served.
 *
 * @public
 */
export type StreamVersionDecision =
  | {
      readonly kind: 'version';
      readonly version: string;
      readonly source: 'remembered' | 'recorded' | 'default' | 'witnessed' | 'only';
    }
  /** The stream must not continue: its events might come from two versions. */
  | {readonly kind: 'unknown'};

/** Maximum time from the beginning of a stream until its caller resumes it for the last time. @public */
export const STREAM_LIFE_MS = 60_000;
/**
 * Age up to which a default version that a gateway knows is taken for the one in force. The previous
 * default stays beside a new one for this long and the life of a stream.
 *
 * @public
 */
export const MAX_DEFAULT_AGE_MS = 60_000;
/** Streams whose version is remembered; the one that began first is dropped first. */
const MAX_STREAMS = 20_000;
const REMEMBERED_MS = 2 * STREAM_LIFE_MS;
/** Replicas of another version, per replica of the default, from which on it becomes the default. */
const DEFAULT_CHANGE_RATIO = 2;

/** Remembers at which version streams began. @public */
export class StreamVersions {
  private readonly streams = new Map<string, {readonly version: string; readonly atMs: number}>();

  /** @param requestId - Id of the request that brought the first event. */
  remember(requestId: string, version: string, nowMs: number): void {
    if (this.streams.has(requestId)) return;
    this.streams.set(requestId, {version, atMs: nowMs});
    for (const [first, {atMs}] of this.streams) {
      if (this.streams.size <= MAX_STREAMS && nowMs - atMs <= REMEMBERED_MS) return;
      this.streams.delete(first);
    }
  }

  /** Version at which the stream began; undefined when it did not begin here. */
  versionOf(requestId: string): string | undefined {
    return this.streams.get(requestId)?.version;
  }
}

/**
 * Version at which streams without a record began; undefined when that is not known.
 *
 * @example
 * unrecordedVersion({current: 'v2', previous: 'v1'}); // 'v1'
 * @public
 */
export function unrecordedVersion(found: DefaultVersion | undefined): string | undefined {
  return found?.previous ?? found?.current;
}

/**
 * True when a stream may begin at the version without a record: whoever resumes it computes the
 * same version, whether or not this or that gateway has noticed the latest change of the default.
 *
 * @param ageMs - Time since the default was last known to be the one in force.
 * @example
 * mayBeginUnrecorded({current: 'v2', previous: 'v1'}, 'v2', 0); // false
 * @public
 */
export function mayBeginUnrecorded(
  found: DefaultVersion | undefined,
  version: string,
  ageMs: number,
): boolean {
  if (found === undefined || ageMs > MAX_DEFAULT_AGE_MS) return false;
  return found.current === version && unrecordedVersion(found) === version;
}

/**
 * Decides at which version a stream continues that its caller resumes. Outputs of two versions
 * don't fit together, so a stream whose beginning is not known must not continue.
 *
 * @example
 * if (decideStreamVersion(beginning).kind === 'unknown') refuse();
 * @public
 */
export function decideStreamVersion(beginning: StreamBeginning): StreamVersionDecision {
  const {recorded, defaultVersion, areRecordsComplete, witnessed, onlyVersion} = beginning;
  if (recorded !== undefined) return {kind: 'version', version: recorded, source: 'recorded'};
  const unrecorded = areRecordsComplete ? unrecordedVersion(defaultVersion) : undefined;
  if (unrecorded !== undefined) return {kind: 'version', version: unrecorded, source: 'default'};
  if (witnessed !== undefined) return {kind: 'version', version: witnessed, source: 'witnessed'};
  if (onlyVersion !== undefined) return {kind: 'version', version: onlyVersion, source: 'only'};
  return {kind: 'unknown'};
}

/**
 * Chooses the version that should become the default; undefined to keep the current one. A change
 * has a price: every stream is recorded until those that began before it have ended. So a default
 * stays until it has no replica left or another version has far more, and never changes twice
 * within that time.
 *
 * @param replicas - Number of usable replicas by version.
 * @example
 * nextDefaultVersion({current: 'v1', previous: undefined}, new Map([['v2', 3]])); // 'v2'
 * @public
 */
export function nextDefaultVersion(
  found: DefaultVersion | undefined,
  replicas: ReadonlyMap<string, number>,
): string | undefined {
  if (found !== undefined && found.previous !== undefined) return undefined;
  let best: string | undefined;
  for (const [version, count] of replicas) {
    const bestCount = best === undefined ? 0 : (replicas.get(best) ?? 0);
    if (count > bestCount) best = version;
  }
  if (best === undefined || best === found?.current) return undefined;
  const currentCount = found === undefined ? 0 : (replicas.get(found.current) ?? 0);
  const isPreferred = (replicas.get(best) ?? 0) >= DEFAULT_CHANGE_RATIO * currentCount;
  return isPreferred ? best : undefined;
}
