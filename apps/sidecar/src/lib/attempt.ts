/** One attempt to run a request on this upstream. */
import {
  completed,
  mayHaveRun,
  type Clock,
  type MayHaveRunReason,
  type RequestClass,
  type Verdict,
} from '@jasminepost/core';
import {streamCompletion} from '@jasminepost/engine';
import type {MeshLink, StartMessage} from '@jasminepost/mesh';
import type {StoredResponse} from '@jasminepost/key_value';
import type {Ticket} from '@jasminepost/policy';
import {callService} from '@jasminepost/service';
import type {ResponseChannel} from './response_channel.ts';

const ENGINE_PRIORITY: Readonly<Record<RequestClass, number>> = {paid: 0, trial: 10};
/** Larger responses are delivered but not stored for resends. */
const MAX_STORED_BYTES = 256 * 1024;

/** @internal */
export class Attempt implements Ticket {
  readonly class: RequestClass;
  readonly deadlineMs: number;
  readonly isolate: boolean;
  readonly preemptible: boolean;
  startedMs = 0;
  /** True once a byte may have reached the upstream. */
  reachedUpstream = false;

  private readonly abort = new AbortController();
  private stopReason: MayHaveRunReason | undefined;
  private usage = '';
  private readonly storedChunks: Uint8Array[] = [];
  private responseBytes = 0;
  private status = 0;
  private headers: Record<string, string> = {};

  constructor(
    /** Link to the entry that started the attempt. */
    readonly link: MeshLink,
    readonly startMessage: StartMessage,
    readonly channel: ResponseChannel,
    private readonly upstreamUrl: string,
    private readonly clock: Clock,
  ) {
    this.class = startMessage.class;
    this.deadlineMs = clock.monotonicMs() + startMessage.remainingMs;
    this.isolate = startMessage.crashes > 0;
    this.preemptible = startMessage.kind === 'engine' && startMessage.idempotencyKey === '';
  }

  get needsClaim(): boolean {
    return this.startMessage.idempotencyKey !== '';
  }

  /** False when an earlier attempt completed the request but its response was not stored. */
  get hasResponse(): boolean {
    return this.status !== 0;
  }

  /** Aborts the call to the upstream; the attempt then ends as "may have run" with `reason`. */
  stop(reason: MayHaveRunReason): void {
    this.stopReason ??= reason;
    this.abort.abort();
    this.channel.release();
  }

  /** Runs on the upstream and relays the response, but not its end: see sendEnd(). */
  async run(): Promise<Verdict> {
    const remainingMs = this.deadlineMs - this.clock.monotonicMs();
    const timer = setTimeout(() => this.stop('deadline_passed'), Math.max(0, remainingMs));
    this.reachedUpstream = true;
    try {
      const verdict =
        this.startMessage.kind === 'engine' ? await this.runCompletion() : await this.runService();
      const wasStopped = this.stopReason !== undefined && verdict.kind === 'may_have_run';
      return wasStopped ? mayHaveRun(this.stopReason!) : verdict;
    } finally {
      clearTimeout(timer);
    }
  }

  /** Tells the entry that the response is complete. */
  sendEnd(): void {
    this.channel.end(this.usage);
  }

  /** Response to store for resends; undefined when it is too large. */
  storedResponse(): StoredResponse | undefined {
    if (this.responseBytes > MAX_STORED_BYTES) return undefined;
    const bodyBase64 = Buffer.concat(this.storedChunks).toString('base64');
    const usage: Record<string, string> = this.usage === '' ? {} : {'x-usage': this.usage};
    return {status: this.status, headers: {...this.headers, ...usage}, bodyBase64};
  }

  /** Sends a response that an earlier attempt stored. */
  async replay(response: StoredResponse): Promise<Verdict> {
    const {'x-usage': usage = '', ...headers} = response.headers;
    this.usage = usage;
    this.status = response.status;
    this.channel.head(response.status, headers, true);
    const body = Buffer.from(response.bodyBase64, 'base64');
    if (this.startMessage.kind === 'engine' && response.status === 200) {
      const events = body
        .toString('utf8')
        .split('\n')
        .filter(line => line !== '');
      await this.channel.events(events);
    } else {
      await this.channel.data(body);
    }
    return completed('replayed');
  }

  private runCompletion(): Promise<Verdict> {
    return streamCompletion({
      baseUrl: this.upstreamUrl,
      body: this.startMessage.body,
      priority: ENGINE_PRIORITY[this.class],
      resumeTokens: this.startMessage.resumeTokens,
      resumeText: this.startMessage.resumeText,
      signal: this.abort.signal,
      onHead: (status, headers) => this.sendHead(status, headers),
      onEvents: events => {
        if (this.needsClaim) this.storeChunk(Buffer.from(`${events.join('\n')}\n`));
        return this.channel.events(events);
      },
      onBody: bytes => this.sendData(bytes),
      onUsage: usage => {
        this.usage = usage;
      },
    });
  }

  private runService(): Promise<Verdict> {
    return callService({
      baseUrl: this.upstreamUrl,
      method: this.startMessage.method,
      path: this.startMessage.path,
      headers: this.startMessage.headers,
      body: this.startMessage.body,
      useNewConnection: this.needsClaim,
      signal: this.abort.signal,
      onHead: (status, headers) => this.sendHead(status, headers),
      onData: bytes => this.sendData(bytes),
    });
  }

  private sendHead(status: number, headers: Record<string, string>): void {
    this.status = status;
    this.headers = headers;
    this.channel.head(status, headers);
  }

  private sendData(bytes: Uint8Array): Promise<void> {
    if (this.needsClaim) this.storeChunk(bytes);
    return this.channel.data(bytes);
  }

  private storeChunk(bytes: Uint8Array): void {
    this.responseBytes += bytes.length;
    if (this.responseBytes <= MAX_STORED_BYTES) this.storedChunks.push(bytes);
  }
}
