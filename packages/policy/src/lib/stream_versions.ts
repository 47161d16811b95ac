/** Decides which software version of a replica may serve a stream. */

/** Version that a stream may continue at. @public */
export type StreamVersionDecision =
  /** Any replica may serve it: no event of it has been sent, or there is only one version. */
  | {readonly kind: 'any'}
  | {readonly kind: 'version'; readonly version: string}
  /** Several versions have served lately, and it is not known which of them began the stream. */
  | {readonly kind: 'unknown'};

/** Streams whose version is remembered; the one that began first is dropped first. */
const MAX_STREAMS = 20_000;

/** Remembers at which version streams began. @public */
export class StreamVersions {
  private readonly versions = new Map<string, string>();

  /** @param requestId - Id of the request that brought the first event. */
  remember(requestId: string, version: string): void {
    if (this.versions.has(requestId)) return;
    this.versions.set(requestId, version);
    if (this.versions.size > MAX_STREAMS) this.versions.delete(this.versions.keys().next().value!);
  }

  /**
   * Handles a stream that a caller resumes: it must not continue at another software version than
   * the one that began it, since their outputs don't fit together.
   *
   * @param firstRequestId - Id of the request that brought the first event.
   * @param recentVersions - Versions at which the stream may have begun.
   * @example
   * if (streams.decideResume(id, table.recentVersions(service)).kind === 'unknown') refuse();
   */
  decideResume(firstRequestId: string, recentVersions: ReadonlySet<string>): StreamVersionDecision {
    const version = this.versions.get(firstRequestId);
    if (version !== undefined) return {kind: 'version', version};
    return recentVersions.size > 1 ? {kind: 'unknown'} : {kind: 'any'};
  }
}
