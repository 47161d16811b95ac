/** Registrations and reports of replicas, and orders to them. */
import type {HostPort} from '@jasminepost/core';

/** @public */
export interface LoadedModel {
  readonly name: string;
  readonly adapters: readonly string[];
}

/** Weights cached on a replica, which load faster than from the weight store. @public */
export interface CachedWeights {
  readonly inMemory: readonly string[];
  readonly onDisk: readonly string[];
}

/** A replica's own registration. @public */
export interface ReplicaRegistration {
  readonly id: string;
  /** Key under which the platform stores the registration. */
  readonly key: string;
  readonly service: string;
  readonly address: HostPort;
  readonly zone: string;
  /** Version of its software, without an order; empty when not reported. */
  readonly softwareVersion: string;
  readonly slots: number;
  readonly leaving: boolean;
  /** Start of this incarnation, in milliseconds since the Unix epoch; 0 when not reported. */
  readonly bornMs: number;
  readonly models: readonly LoadedModel[];
  readonly copies: CachedWeights;
}

/** A model replica's report about itself. @public */
export interface EngineReport {
  readonly bornMs: number;
  /** True when the replica reports that it is leaving. */
  readonly leaving: boolean;
  /** Rate limit in requests per second; undefined when the replica has none. */
  readonly limitPerS: number | undefined;
  readonly models: readonly LoadedModel[];
  /** True while a model is being loaded or unloaded. */
  readonly busy: boolean;
  /** Number of orders accepted since the start. */
  readonly sequence: number;
  /** Requests waiting for a slot or for memory. */
  readonly waiting: number;
  readonly running: number;
  /** Running requests that have not produced an event yet. */
  readonly prefilling: number;
  readonly kvUsed: number;
  readonly kvTotal: number;
  /** Adapters being loaded, as `model/adapter`. */
  readonly incoming: readonly string[];
  readonly copies: CachedWeights;
}

/**
 * Identifies one start of a replica, because a replica may restart with the same id.
 *
 * @example
 * gone.add(incarnationId(replica.entry));
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
  /** The order is valid only while the replica's sequence has this value. */
  readonly expectedSequence: number;
  readonly holder: string;
  readonly fencingToken: number;
  /** Replica that the order is meant for; empty when not known. */
  readonly replicaId: string;
}

/** Outcome of an order. @public */
export type OrderOutcome =
  | {readonly kind: 'accepted'}
  | {readonly kind: 'already_holds'}
  | {readonly kind: 'refused'; readonly status: number}
  /** It may still be carried out, while the replica's sequence is unchanged. */
  | {readonly kind: 'unknown'; readonly error: string};
