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
  VersionSightings,
  type DefaultVersion,
} from '@jasminepost/policy';

const KEY_PREFIX = 'system/stream_versions/';
const CHECK_INTERVAL_MS = 250;
/** Maximum time from the start of the previous default's lease until the new default is stored. */
const MAX_CHANGE_MS = 15_000;
/** Lease of the previous default: the life of a stream that began before its gateway had to notice. */
const PREVIOUS_LEASE_MS = MAX_CHANGE_MS + MAX_DEFAULT_AGE_MS + STREAM_LIFE_MS;

/** After a restore of the store, time for the list of replicas to be current again. */
const RESTORE_GRACE_MS = 4000;

/** `restored` exists while streams may be resumed whose records a restore of the store has lost. */
type Part = 'current' | 'previous' | 'restored';
const PARTS: readonly Part[] = ['current', 'previous', 'restored'];

/** @internal */
export interface DefaultVersionsContext {
  readonly store: Pick<KeyValueStore, 'createLease' | 'era' | 'wasRestored' | 'write'>;
  readonly clock: Clock;
  readonly log: Logger;
  /** True when the whole system has started for the first time with this process. */
  readonly isFirstStart: boolean;
  /** True while this gateway plans, and thus changes default versions. */
  isPlanner(): boolean;
  /** Services with streams that callers may resume. */
  resumableServices(): Iterable<string>;
  /** Number of usable replicas of a service by software version. */
  versionsOf(service: string): ReadonlyMap<string, number>;
}

/** What the store holds of a service. @internal */
export interface StoredDefault {
  readonly defaultVersion: DefaultVersion | undefined;
  /** False while streams may lack their records, since the store was restored from an older copy. */
  readonly areRecordsComplete: boolean;
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
  /** Era of the store in which its current default was written; undefined for none. */
  storedEra: number | undefined;
  isRestoreStored: boolean;
  readonly sightings: VersionSightings;
}

/** @internal */
export class DefaultVersions {
  private readonly states = new Map<string, ServiceState>();
  private readonly task = new RepeatingTask(() => this.step());
  private restoredMs = Number.NEGATIVE_INFINITY;

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

  /** Applies what the store holds of a service, read just now. */
  applyRange(service: string, {changes, era}: StoreChanges): StoredDefault {
    for (const part of PARTS) {
      const key = keyOf(service, part);
      this.applyChange(changes.find(change => change.key === key) ?? absentKey(key));
    }
    const {storedEra, isRestoreStored} = this.stateOf(service);
    return {
      defaultVersion: this.of(service),
      areRecordsComplete: storedEra === era && !isRestoreStored,
    };
  }

  /** The only version at which streams of the service have begun lately; undefined if unknown. */
  onlyVersion(service: string): string | undefined {
    const nowMs = this.ctx.clock.monotonicMs();
    if (nowMs - this.restoredMs < RESTORE_GRACE_MS) return undefined;
    return this.states.get(service)?.sightings.only(nowMs);
  }

  /** Applies a change of any key in the store. */
  applyChange(change: StoreChange): void {
    const found = parseKey(change.key);
    if (found === undefined) return;
    const {service, part} = found;
    const state = this.stateOf(service);
    state.revisions.set(part, change.value === undefined ? 0 : change.revision);
    if (part === 'restored') {
      state.isRestoreStored = change.value !== undefined;
      return;
    }
    if (change.value === undefined) {
      if (part === 'current') Object.assign(state, {storedChanges: 0, storedEra: undefined});
      else state.isPreviousStored = false;
      return;
    }
    const stored = parseDefault(change.value);
    if (stored === undefined) {
      this.ctx.log.warn('malformed default version ignored', {key: change.key});
      return;
    }
    const {version, changes, era} = stored;
    if (part === 'current') Object.assign(state, {storedChanges: changes, storedEra: era});
    if (changes < state.changes) return;
    if (part === 'current') {
      if (state.current !== version)
        this.ctx.log.info('default version changed', {service, ...stored, before: state.current});
      Object.assign(state, {current: version, changes});
      return;
    }
    Object.assign(state, {previous: version, isPreviousStored: true});
  }

  /** Keeps previous defaults whose keys may be lost, since the store was restored from a copy. */
  onStoreRestored(): void {
    this.restoredMs = this.ctx.clock.monotonicMs();
    const untilMs = this.restoredMs + PREVIOUS_LEASE_MS;
    for (const state of this.states.values())
      if (state.isPreviousStored) state.keptUntilMs = untilMs;
  }

  private async step(): Promise<number> {
    const nowMs = this.ctx.clock.monotonicMs();
    for (const service of this.ctx.resumableServices())
      this.stateOf(service).sightings.see(this.ctx.versionsOf(service).keys(), nowMs);
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
    const {store} = this.ctx;
    // A later restore during the writes leaves this era in the store, which shows it as restored.
    const {era} = store;
    const isRestored =
      state.storedEra === undefined ? this.mayHaveLostDefaults : state.storedEra !== era;
    const {current, changes} = state;
    const isLost = current !== undefined && (isRestored || state.storedChanges < changes);
    const found = this.of(service);
    const next = isLost ? current : nextDefaultVersion(found, this.ctx.versionsOf(service));
    if (next === undefined) return;
    if (isRestored && !(await this.writeRestored(service))) return;
    if (isLost) {
      this.ctx.log.info('default version written again', {service, changes, era});
      await this.writeChange(service, found?.previous, {version: next, changes, era});
    } else {
      await this.writeChange(service, current, {version: next, changes: changes + 1, era});
    }
  }

  /** True unless this process has seen all eras of the store, so that none has had a default. */
  private get mayHaveLostDefaults(): boolean {
    return this.ctx.store.wasRestored || !this.ctx.isFirstStart;
  }

  /** Marks records as possibly lost, for as long as a stream that lacks its record may be resumed. */
  private async writeRestored(service: string): Promise<boolean> {
    const lease = await this.ctx.store.createLease(PREVIOUS_LEASE_MS);
    return this.write(service, 'restored', {}, lease);
  }

  /**
   * The previous default is written first: with it, streams are recorded whether or not the second
   * write takes effect.
   */
  private async writeChange(
    service: string,
    previous: string | undefined,
    current: StoredVersion,
  ): Promise<void> {
    if (previous !== undefined) {
      const lease = await this.ctx.store.createLease(PREVIOUS_LEASE_MS);
      const value = {...current, version: previous};
      if (!(await this.write(service, 'previous', value, lease))) return;
    }
    await this.write(service, 'current', current, '');
  }

  /** @returns False when the store holds another revision than the one known here. */
  private async write(service: string, part: Part, value: object, lease: string): Promise<boolean> {
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
        storedEra: undefined,
        isRestoreStored: false,
        sightings: new VersionSightings(),
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
  const found = PARTS.find(known => known === part);
  return found === undefined ? undefined : {service: decodeURIComponent(service), part: found};
}

interface StoredVersion {
  readonly version: string;
  readonly changes: number;
  /** Era of the store that it was written for. */
  readonly era: number;
}

function parseDefault(value: string): StoredVersion | undefined {
  try {
    const {version, changes, era} = JSON.parse(value) as Readonly<Record<string, unknown>>;
    return typeof version === 'string' && typeof changes === 'number' && typeof era === 'number'
      ? {version, changes, era}
      : undefined;
  } catch {
    // The caller logs malformed JSON like any other malformed value.
    return undefined;
  }
}
