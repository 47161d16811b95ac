/** Keeps one stream at the software version that began it. */
import type {CallerHeaders} from '@jasminepost/platform';
import type {Route} from '@jasminepost/serving';
import type {GatewayContext} from './gateway_context.ts';
import type {Replica} from './replica.ts';

/** @internal */
export class StreamVersionGate {
  /** Version that must serve the stream; undefined for any. */
  requiredVersion: string | undefined;

  constructor(
    private readonly ctx: Pick<GatewayContext, 'log' | 'streamVersions' | 'table'>,
    private readonly head: CallerHeaders,
    private readonly route: Route,
    private readonly service: string,
  ) {}

  /** True for a stream that the caller resumes and of which the version can't be determined. */
  isBeginningUnknown(): boolean {
    const {requestId, resumed} = this.head;
    if (resumed === undefined || !this.route.resumable) return false;
    const {log, streamVersions, table} = this.ctx;
    const versions = table.recentVersions(this.service);
    const decision = streamVersions.decideResume(resumed.firstRequestId, versions);
    log.info('stream resumed by its caller', {
      requestId,
      ...resumed,
      versions: versions.size,
      decision: decision.kind,
      ...(decision.kind === 'version' ? {version: decision.version} : {}),
    });
    if (decision.kind === 'version') this.requiredVersion = decision.version;
    return decision.kind === 'unknown';
  }

  /** True when no usable replica has the version. */
  isVersionGone(): boolean {
    const {requiredVersion} = this;
    if (requiredVersion === undefined) return false;
    const usable = this.ctx.table.usableOf(this.service);
    return !usable.some(replica => replica.mayServeVersion(requiredVersion));
  }

  /** Binds the stream to the replica's version. */
  onFirstEvent(replica: Replica): void {
    this.requiredVersion ??= replica.entry.softwareVersion;
    if (!this.route.resumable) return;
    const {requestId, resumed} = this.head;
    const firstRequestId = resumed?.firstRequestId ?? '';
    this.ctx.streamVersions.remember(
      firstRequestId === '' ? requestId : firstRequestId,
      this.requiredVersion,
    );
  }
}
