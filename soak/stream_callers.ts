/** Callers that begin streams, and resume those that are cut at any gateway. */
import {sleep} from '@jasminepost/core';
import type {UsersFleet, UsersResponse} from '../features/support/users_fleet.ts';

const MEAN_INTERVAL_MS = 35;
const DEADLINE_MS = 8000;
const STREAM_EVENTS = 4;
const RESUME_TRIES = 4;
const DEFAULT_RETRY_MS = 500;
/** Time after a fault of a gateway in which attempts there don't count. */
const CONTACT_MS = 3000;
/** Time for gateways to learn which engines serve. */
const LISTING_MS = 1000;
/** Engines of a version that must serve for a resumed stream to count. */
const MIN_ENGINES = 2;

interface Outcomes {
  yes: number;
  no: number;
}

interface Stream {
  readonly id: string;
  /** What its attempts have brought, in order. */
  body: string;
}

export class StreamCallers {
  /** Attempts at sound gateways to begin a stream, and those that brought an event. */
  readonly begun: Outcomes = {yes: 0, no: 0};
  /** The same of attempts to resume a stream whose version is served. */
  readonly resumed: Outcomes = {yes: 0, no: 0};
  private readonly all: Stream[] = [];
  private readonly pending = new Set<Promise<void>>();
  /** Faults in progress by gateway, and the end of the last one. */
  private readonly faults = new Map<number, {count: number; endedMs: number}>();
  /** Number of serving engines by version, and since when there are enough of them. */
  private readonly enoughSinceMs = new Map<string, number>();

  constructor(
    private readonly fleet: UsersFleet,
    private readonly random: () => number,
    private readonly prefix: string,
  ) {}

  get streams(): number {
    return this.all.length;
  }

  get begunStreams(): number {
    return this.all.filter(({body}) => body !== '').length;
  }

  /** Begins streams at random gateways for `durationMs`. */
  async run(durationMs: number): Promise<void> {
    const untilMs = performance.now() + durationMs;
    while (performance.now() < untilMs) {
      this.start();
      await sleep(MEAN_INTERVAL_MS * 2 * this.random());
    }
  }

  /** Returns how many of `count` new streams began. */
  async beginAtOnce(count: number): Promise<number> {
    const begunBefore = this.begunStreams;
    for (let i = 0; i < count; i++) this.start();
    await this.waitForEnd();
    return this.begunStreams - begunBefore;
  }

  async waitForEnd(): Promise<void> {
    await Promise.all(this.pending);
  }

  /** @param change - 1 at the begin of a fault of the gateway, -1 at its end. */
  onGatewayFault(gateway: number, change: 1 | -1): void {
    const count = (this.faults.get(gateway)?.count ?? 0) + change;
    this.faults.set(gateway, {count, endedMs: performance.now()});
  }

  /** Sets the versions of the engines that serve, one element for each engine. */
  setServing(versions: readonly string[]): void {
    for (const version of new Set([...versions, ...this.enoughSinceMs.keys()])) {
      const enough = versions.filter(other => other === version).length >= MIN_ENGINES;
      if (!enough) this.enoughSinceMs.delete(version);
      else if (!this.enoughSinceMs.has(version)) this.enoughSinceMs.set(version, performance.now());
    }
  }

  findViolations(): string[] {
    return this.all.flatMap(({id, body}) => {
      const versions = versionsOf(body);
      const ids = idsOf(body);
      const violations = [];
      if (versions.length > 1) violations.push(`${id}: events of versions ${versions.join(', ')}`);
      if (ids.some((event, index) => event !== index + 1))
        violations.push(`${id}: events ${ids.join(',')}`);
      return violations;
    });
  }

  private start(): void {
    const stream: Stream = {id: `${this.prefix}-${this.all.length}`, body: ''};
    this.all.push(stream);
    const pending = this.follow(stream);
    this.pending.add(pending);
    void pending.finally(() => this.pending.delete(pending));
  }

  private async follow(stream: Stream): Promise<void> {
    const gateway = this.randomGateway();
    const startedMs = performance.now();
    const first = await this.call(stream.id, stream.id, gateway, {});
    stream.body = wholeEvents(first);
    if (this.wasSound(gateway, startedMs)) count(this.begun, stream.body !== '');
    if (stream.body === '') return;
    for (let i = 1; i <= RESUME_TRIES && idsOf(stream.body).length < STREAM_EVENTS; i++) {
      const retryAfterMs = await this.resume(stream, `${stream.id}-again-${i}`);
      await sleep(retryAfterMs);
    }
  }

  /** Returns the time to wait before the next attempt. */
  private async resume(stream: Stream, id: string): Promise<number> {
    const gateway = this.randomGateway();
    const [version] = versionsOf(stream.body);
    const startedMs = performance.now();
    const wasServed = this.isServed(version, startedMs);
    const response = await this.call(stream.id, id, gateway, {
      'last-event-id': String(idsOf(stream.body).at(-1)),
      resumes: stream.id,
    });
    const rest = wholeEvents(response);
    stream.body += rest;
    if (wasServed && this.isServed(version, startedMs) && this.wasSound(gateway, startedMs))
      count(this.resumed, rest !== '');
    const retryAfterS = response.headers['retry-after'];
    return retryAfterS === undefined ? DEFAULT_RETRY_MS : 1000 * Number(retryAfterS);
  }

  private call(
    stream: string,
    id: string,
    gateway: number,
    headers: Readonly<Record<string, string>>,
  ): Promise<UsersResponse> {
    // If streams shared a part or a body, restarts would make that suspect of crashing engines.
    const prompt = {'prompt-prefix': `${stream}:100`, 'deadline-ms': String(DEADLINE_MS)};
    return this.fleet.call({
      path: `/long/${stream}`,
      id,
      gateway,
      body: stream,
      headers: {...prompt, ...headers},
    });
  }

  private randomGateway(): number {
    return Math.floor(this.random() * this.fleet.gateways.length);
  }

  private wasSound(gateway: number, startedMs: number): boolean {
    const {count: inProgress, endedMs} = this.faults.get(gateway) ?? {count: 0, endedMs: -Infinity};
    return inProgress === 0 && endedMs + CONTACT_MS < startedMs;
  }

  /** True when enough engines of the version have served since `LISTING_MS` before `atMs`. */
  private isServed(version: string, atMs: number): boolean {
    return (this.enoughSinceMs.get(version) ?? Infinity) + LISTING_MS < atMs;
  }
}

function count(outcomes: Outcomes, isYes: boolean): void {
  if (isYes) outcomes.yes += 1;
  else outcomes.no += 1;
}

/** Events that a response brought completely; none of a response that isn't a stream. */
function wholeEvents({status, body}: UsersResponse): string {
  return status === 200 ? (/^(id: \d+\ndata: .*\n\n)*/.exec(body)?.[0] ?? '') : '';
}

function idsOf(body: string): number[] {
  return [...body.matchAll(/^id: (\d+)$/gm)].map(found => Number(found[1]));
}

function versionsOf(body: string): string[] {
  return [
    ...new Set([...body.matchAll(/^data: (v\d )?piece/gm)].map(([, name]) => name?.trim() ?? 'v1')),
  ];
}
