/**
 * The default version of each service, kept in the store: streams that begin at it need no record.
 * The planner's gateway changes it; a gateway that has not noticed yet records more than it has to.
 */
import {errorMessage, RepeatingTask, type Clock, type Logger} from '@jasminepost/core';
import type {KeyValueStore} from '@jasminepost/key_value';
import type {StoreChange, StoreChanges} from '@jasminepost/platform';
import {
  MAX_DEFAULT_AGE_MS,
  nextDefaultVersion,
  STREAM_LIFE_MS,
  type DefaultVersion,
} from '@jasminepost/policy';

const KEY_PREFIX = 'system/stream_versions/';
const CHECK_INTERVAL_MS = 250;
/** Maximum time from the start of the previous default's lease until the new default is stored. */
const MAX_CHANGE_MS = 15_000;
/** Lease of the previous default: the life of a stream that began before its gateway had to notice. */
const PREVIOUS_LEASE_MS = MAX_CHANGE_MS + MAX_DEFAULT_AGE_MS + STREAM_LIFE_MS;

type Part = 'current' | 'previous';

/** @internal */
export interface DefaultVersionsContext {
  readonly store: Pick<KeyValueStore, 'createLease' | 'write'>;
  readonly clock: Clock;
  readonly log: Logger;
  /** True while this gateway plans, and thus changes default versions. */
  isPlanner(): boolean;
  /** Services with streams that callers may resume. */
  resumableServices(): Iterable<string>;
  /** Number of usable replicas of a service by software version. */
  versionsOf(service: string): ReadonlyMap<string, number>;
}

interface ServiceState {
  current: string | undefined;
  /** Number of changes of the default; the store may come back from a copy with fewer. */
  changes: number;
  previous: string | undefined;
  /** False once the store holds no previous default any more. */
  isPreviousStored: boolean;
  /** Until when it applies although a restore of the store may have lost it. */
  keptUntilMs: number;
  /** What the store holds: the changes that it knows of, and the revision of each key. */
  storedChanges: number;
  readonly revisions: Map<Part, number>;
}

/** @internal */
export class DefaultVersions {
  private readonly states = new Map<string, ServiceState>();
  private readonly task = new RepeatingTask(() => this.step());

  constructor(private readonly ctx: DefaultVersionsContext) {}

  start(): void {
    this.task.start(CHECK_INTERVAL_MS);
  }

  dispose(): void {
    this.task.dispose();
  }

  /** Default version of a service; undefined before the first one is known. */
  of(service: string): DefaultVersion | undefined {
    const state = this.states.get(service);
    if (state?.current === undefined) return undefined;
    const isPreviousInForce =
      state.isPreviousStored || this.ctx.clock.monotonicMs() < state.keptUntilMs;
    return {current: state.current, previous: isPreviousInForce ? state.previous : undefined};
  }

  /** Applies what the store holds of a service, read just now, and returns its default version. */
  applyRange(service: string, {changes}: StoreChanges): DefaultVersion | undefined {
    for (const part of ['current', 'previous'] as const) {
      const key = keyOf(service, part);
      this.applyChange(changes.find(change => change.key === key) ?? absentKey(key));
    }
    return this.of(service);
  }

  /** Applies a change of any key in the store. */
  applyChange(change: StoreChange): void {
    const found = parseKey(change.key);
    if (found === undefined) return;
    const {service, part} = found;
    const state = this.stateOf(service);
    state.revisions.set(part, change.value === undefined ? 0 : change.revision);
    if (change.value === undefined) {
      if (part === 'current') state.storedChanges = 0;
      else state.isPreviousStored = false;
      return;
    }
    const stored = parseDefault(change.value);
    if (stored === undefined) {
      this.ctx.log.warn('malformed default version ignored', {key: change.key});
      return;
    }
    if (part === 'current') state.storedChanges = stored.changes;
    if (stored.changes < state.changes) return;
    if (part === 'current') {
      if (state.current !== stored.version)
        this.ctx.log.info('default version changed', {service, ...stored, before: state.current});
      Object.assign(state, {current: stored.version, changes: stored.changes});
      return;
    }
    Object.assign(state, {previous: stored.version, isPreviousStored: true});
  }

  /** Keeps previous defaults whose keys may be lost, since the store was restored from a copy. */
  onStoreRestored(): void {
    const untilMs = this.ctx.clock.monotonicMs() + PREVIOUS_LEASE_MS;
    for (const state of this.states.values())
      if (state.isPreviousStored) state.keptUntilMs = untilMs;
  }

  private async step(): Promise<number> {
    if (!this.ctx.isPlanner()) return CHECK_INTERVAL_MS;
    for (const service of this.ctx.resumableServices()) {
      try {
        await this.updateService(service);
      } catch (thrown) {
        const error = errorMessage(thrown);
        this.ctx.log.warn('could not write the default version', {service, error});
      }
    }
    return CHECK_INTERVAL_MS;
  }

  private async updateService(service: string): Promise<void> {
    const state = this.stateOf(service);
    if (state.current !== undefined && state.storedChanges < state.changes) {
      this.ctx.log.info('default version written again', {service, changes: state.changes});
      await this.writeChange(service, this.of(service)?.previous, state.current, state.changes);
      return;
    }
    const next = nextDefaultVersion(this.of(service), this.ctx.versionsOf(service));
    if (next === undefined) return;
    await this.writeChange(service, state.current, next, state.changes + 1);
  }

  /**
   * The previous default is written first: with it, streams are recorded whether or not the second
   * write takes effect.
   */
  private async writeChange(
    service: string,
    previous: string | undefined,
    current: string,
    changes: number,
  ): Promise<void> {
    if (previous !== undefined) {
      const lease = await this.ctx.store.createLease(PREVIOUS_LEASE_MS);
      const isWritten = await this.write(service, 'previous', {version: previous, changes}, lease);
      if (!isWritten) return;
    }
    await this.write(service, 'current', {version: current, changes}, '');
  }

  /** @returns False when the store holds another revision than the one known here. */
  private async write(
    service: string,
    part: Part,
    value: {readonly version: string; readonly changes: number},
    lease: string,
  ): Promise<boolean> {
    const key = keyOf(service, part);
    const {revisions} = this.stateOf(service);
    const text = JSON.stringify(value);
    const outcome = await this.ctx.store.write(key, text, revisions.get(part) ?? 0, lease);
    if (outcome.kind === 'conflict') {
      const {entry} = outcome;
      this.applyChange({key, revision: entry?.version ?? 0, value: entry?.value});
      return false;
    }
    this.applyChange({key, revision: outcome.version, value: text});
    return true;
  }

  private stateOf(service: string): ServiceState {
    let state = this.states.get(service);
    if (state === undefined) {
      state = {
        current: undefined,
        changes: 0,
        previous: undefined,
        isPreviousStored: false,
        keptUntilMs: Number.NEGATIVE_INFINITY,
        storedChanges: 0,
        revisions: new Map(),
      };
      this.states.set(service, state);
    }
    return state;
  }
}

/** Prefix of the keys of a service's default version. @internal */
export function defaultVersionPrefix(service: string): string {
  return `${KEY_PREFIX}${encodeURIComponent(service)}/`;
}

function keyOf(service: string, part: Part): string {
  return defaultVersionPrefix(service) + part;
}

function absentKey(key: string): StoreChange {
  return {key, revision: 0, value: undefined};
}

function parseKey(key: string): {readonly service: string; readonly part: Part} | undefined {
  if (!key.startsWith(KEY_PREFIX)) return undefined;
  const [service = '', part = ''] = key.slice(KEY_PREFIX.length).split('/');
  if (part !== 'current' && part !== 'previous') return undefined;
  return {service: decodeURIComponent(service), part};
}

function parseDefault(
  value: string,
): {readonly version: string; readonly changes: number} | undefined {
  try {
    const {version, changes} = JSON.parse(value) as {version: unknown; changes: unknown};
    return typeof version === 'string' && typeof changes === 'number'
      ? {version, changes}
      : undefined;
  } catch {
    // The caller logs malformed JSON like any other malformed value.
    return undefined;
  }
}
