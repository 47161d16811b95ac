/** Keeps one stream at the software version that began it. */
import {errorMessage} from '@jasminepost/core';
import type {CallerHeaders} from '@jasminepost/platform';
import {
  decideStreamVersion,
  mayBeginUnrecorded,
  type StreamBeginning,
  type StreamVersionDecision,
} from '@jasminepost/policy';
import type {Route} from '@jasminepost/serving';
import type {GatewayContext} from './gateway_context.ts';
import type {Replica} from './replica.ts';

/** Why a stream can't be sent to any replica now. @internal */
export type StreamVersionRefusal =
  /** No usable replica has the version that began the stream. */
  | 'stream_version_gone'
  /** A new stream could begin only at a version that can't be recorded in the store now. */
  | 'stream_version_unrecordable';

/** What the store holds of a stream; nothing when it can't be read. */
interface StoredBeginning extends Omit<StreamBeginning, 'onlyVersion' | 'witnessed'> {
  readonly isRead: boolean;
}

/** @internal */
export class StreamVersionGate {
  /** Version that must serve the stream; undefined for any. */
  requiredVersion: string | undefined;
  /** True while the events of the attempt must wait until its version is in the store. */
  isRecording = false;
  /** Version that has a record, or will have one. */
  private recordedVersion: string | undefined;
  private attempts = 0;

  /** @param onRecorded - Called when the events of the attempt may be sent to the caller. */
  constructor(
    private readonly ctx: Pick<
      GatewayContext,
      | 'defaultVersions'
      | 'listAgeMs'
      | 'log'
      | 'metrics'
      | 'streamRecord'
      | 'clock'
      | 'streamVersions'
      | 'streamWitnesses'
      | 'table'
    >,
    private readonly head: CallerHeaders,
    private readonly route: Route,
    private readonly service: string,
    private readonly onRecorded: () => void,
  ) {}

  /** True for a stream that its caller resumes, so that its version must be found first. */
  private get isResumed(): boolean {
    return this.head.resumed !== undefined && this.route.resumable;
  }

  /**
   * Calls `onKnown` once the version of a resumed stream is known, and at once for other requests;
   * `onUnknown` when it can't be determined, so that the stream must not continue.
   */
  whenKnown(onKnown: () => void, onUnknown: () => void): void {
    if (!this.isResumed) onKnown();
    else void this.findVersion().then(isKnown => (isKnown ? onKnown() : onUnknown()));
  }

  private async findVersion(): Promise<boolean> {
    const {requestId, resumed} = this.head;
    const {log, metrics, streamVersions} = this.ctx;
    const firstRequestId = resumed?.firstRequestId ?? '';
    const remembered = streamVersions.versionOf(firstRequestId);
    const decision: StreamVersionDecision =
      remembered === undefined
        ? await this.decideFromOthers(firstRequestId)
        : {kind: 'version', version: remembered, source: 'remembered'};
    const isKnown = decision.kind === 'version';
    metrics.streamResumes.increment(isKnown ? decision.source : 'unknown');
    log.info('stream resumed by its caller', {
      requestId,
      ...resumed,
      ...this.ctx.defaultVersions.of(this.service),
      ...(isKnown ? {version: decision.version, source: decision.source} : {source: 'unknown'}),
    });
    if (isKnown) this.requiredVersion = decision.version;
    return isKnown;
  }

  /** Checks whether the stream can be sent to a replica, and restricts it to a version if need be. */
  check(): StreamVersionRefusal | undefined {
    if (this.requiredVersion !== undefined)
      return this.isServed(this.requiredVersion) ? undefined : 'stream_version_gone';
    if (!this.route.resumable || this.ctx.streamRecord.isAvailable) return undefined;
    const found = this.ctx.defaultVersions.of(this.service);
    if (found === undefined || !this.mayBeginUnrecorded(found.current))
      return 'stream_version_unrecordable';
    if (!this.isServed(found.current)) return 'stream_version_unrecordable';
    this.requiredVersion = found.current;
    return undefined;
  }

  /** True when another attempt of the stream could be sent now. */
  get mayMove(): boolean {
    const {requiredVersion} = this;
    if (requiredVersion !== undefined) return this.isServed(requiredVersion);
    return !this.route.resumable || this.ctx.streamRecord.isAvailable;
  }

  /** Records the version of the replica that an attempt begins at, if it needs a record. */
  onSent({entry: {softwareVersion}}: Replica): void {
    const {requestId} = this.head;
    this.attempts += 1;
    this.isRecording = false;
    const hasBegun = this.isResumed || this.ctx.streamVersions.versionOf(requestId) !== undefined;
    // A stream without an id can't be resumed by its caller.
    if (!this.route.resumable || hasBegun || requestId === '') return;
    const isDefault = this.mayBeginUnrecorded(softwareVersion);
    if (this.recordedVersion === undefined && isDefault) return;
    this.recordedVersion = softwareVersion;
    this.isRecording = true;
    const {attempts} = this;
    this.ctx.streamRecord.add(this.service, requestId, softwareVersion, () => {
      if (attempts !== this.attempts) return;
      this.isRecording = false;
      this.onRecorded();
    });
  }

  /** Binds the stream to the replica's version. */
  onFirstEvent(replica: Replica): void {
    this.requiredVersion ??= replica.entry.softwareVersion;
    if (!this.route.resumable) return;
    const {requestId, resumed} = this.head;
    const firstRequestId = resumed?.firstRequestId ?? '';
    const beganAs = firstRequestId === '' ? requestId : firstRequestId;
    const nowMs = this.ctx.clock.monotonicMs();
    this.ctx.streamVersions.remember(beganAs, this.requiredVersion, nowMs);
    this.ctx.streamWitnesses.tell(replica, beganAs, this.requiredVersion);
  }

  /** Decides by what the store and, where that may have lost records, the stewards know. */
  private async decideFromOthers(firstRequestId: string): Promise<StreamVersionDecision> {
    const stored = await this.readStored(firstRequestId);
    const beginning = {...stored, witnessed: undefined, onlyVersion: undefined};
    const decision = decideStreamVersion(beginning);
    if (decision.kind === 'version') return decision;
    const {defaultVersions, streamWitnesses} = this.ctx;
    return decideStreamVersion({
      ...beginning,
      witnessed: await streamWitnesses.find(this.service, firstRequestId),
      // A gateway that can't read the store doesn't know which versions serve.
      onlyVersion: stored.isRead ? defaultVersions.onlyVersion(this.service) : undefined,
    });
  }

  private async readStored(firstRequestId: string): Promise<StoredBeginning> {
    try {
      const found = await this.ctx.streamRecord.read(this.service);
      const {versions, defaultVersion, areRecordsComplete} = found;
      const isUnnamed = firstRequestId === '';
      const isOnlyVersion = versions.size === 0 && defaultVersion?.previous === undefined;
      return {
        isRead: true,
        recorded: versions.get(firstRequestId),
        defaultVersion,
        areRecordsComplete: areRecordsComplete && (!isUnnamed || isOnlyVersion),
      };
    } catch (thrown) {
      this.ctx.log.warn('could not read at which version a stream began', {
        requestId: this.head.requestId,
        error: errorMessage(thrown),
      });
      return {
        isRead: false,
        recorded: undefined,
        defaultVersion: undefined,
        areRecordsComplete: false,
      };
    }
  }

  private mayBeginUnrecorded(version: string): boolean {
    const found = this.ctx.defaultVersions.of(this.service);
    return mayBeginUnrecorded(found, version, this.ctx.listAgeMs());
  }

  private isServed(version: string): boolean {
    const usable = this.ctx.table.usableOf(this.service);
    return usable.some(replica => replica.mayServeVersion(version));
  }
}
