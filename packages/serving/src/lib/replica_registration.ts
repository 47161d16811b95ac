/** What replicas say of themselves. */
import type {HostPort} from '@jasminepost/core';

/** @public */
export interface LoadedModel {
  readonly name: string;
  readonly adapters: readonly string[];
}

/** Where copies of weights lie that load faster than from the weight store. @public */
export interface CachedWeights {
  readonly inMemory: readonly string[];
  readonly onDisk: readonly string[];
}

/** A replica as it registers itself. @public */
export interface ReplicaRegistration {
  readonly id: string;
  /** Key under which the platform keeps the entry. */
  readonly key: string;
  readonly service: string;
  readonly address: HostPort;
  readonly zone: string;
  readonly slots: number;
  readonly leaving: boolean;
  /** Start of this incarnation, in milliseconds since the Unix epoch; 0 when not told. */
  readonly bornMs: number;
  readonly models: readonly LoadedModel[];
  readonly copies: CachedWeights;
}

/** A model replica's own report. @public */
export interface EngineReport {
  readonly bornMs: number;
  /** True when the replica says that it leaves. */
  readonly leaving: boolean;
  /** Most requests a second that the replica takes; undefined when it names none. */
  readonly limitPerS: number | undefined;
  readonly models: readonly LoadedModel[];
  /** True while a model is being loaded or unloaded. */
  readonly busy: boolean;
  /** Orders accepted since the start. */
  readonly sequence: number;
  /** Requests that wait for a slot or for memory. */
  readonly waiting: number;
  readonly running: number;
  /** Running requests that have not produced an event yet. */
  readonly prefilling: number;
  readonly kvUsed: number;
  readonly kvTotal: number;
  /** Adapters on their way, as `model/adapter`. */
  readonly incoming: readonly string[];
  readonly copies: CachedWeights;
}

/**
 * Names one start of a replica: a replica may start again under the id that it had.
 *
 * @example
 * gone.add(incarnationOf(replica.entry));
 * @public
 */
export function incarnationId({id, bornMs}: ReplicaRegistration): string {
  return `${id}/${bornMs}`;
}

/** An order to a model replica. @public */
export interface EngineOrder {
  readonly operation: 'load' | 'unload';
  readonly model: string;
  /** Empty for the model itself. */
  readonly adapter: string;
  /** Sequence at which the order still holds; a later one makes it void. */
  readonly expectedSequence: number;
  readonly holder: string;
  readonly fencingToken: number;
  /** Replica that must take it; empty when not known. */
  readonly replicaId: string;
}

/** What became of an order. @public */
export type OrderOutcome =
  | {readonly kind: 'accepted'}
  | {readonly kind: 'already_holds'}
  | {readonly kind: 'refused'; readonly status: number}
  /** It may be carried out later, as long as its sequence holds. */
  | {readonly kind: 'unknown'; readonly error: string};
