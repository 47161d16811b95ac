/** Tells whether all streams that may still be resumed have begun at one software version. */
import {STREAM_LIFE_MS} from './stream_versions.ts';

/** Versions of a service that were seen to serve. @public */
export class VersionSightings {
  private readonly lastMs = new Map<string, number>();
  private firstMs: number | undefined;

  /** @param versions - Versions of the usable replicas; without any, nothing is known. */
  see(versions: Iterable<string>, nowMs: number): void {
    for (const version of versions) {
      this.firstMs ??= nowMs;
      this.lastMs.set(version, nowMs);
    }
    for (const [version, seenMs] of this.lastMs)
      if (nowMs - seenMs > STREAM_LIFE_MS) this.lastMs.delete(version);
  }

  /**
   * The only version that has served for the life of a stream; undefined when there were several,
   * or when the service has not been watched for as long.
   *
   * @example
   * if (sightings.only(clock.monotonicMs()) === 'v1') resumeAt('v1');
   */
  only(nowMs: number): string | undefined {
    if (this.firstMs === undefined || nowMs - this.firstMs < STREAM_LIFE_MS) return undefined;
    const [version, ...others] = this.lastMs.keys();
    return others.length === 0 ? version : undefined;
  }
}
