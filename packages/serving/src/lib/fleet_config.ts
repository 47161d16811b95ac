/** The operator's configuration as the gateways and stewards use it. */
import {fnv1a32} from '@jasminepost/core';

/** What may be repeated: anything, nothing, or a stream that may at most be resumed. @public */
export type RequestKind = 'idempotent' | 'non_idempotent' | 'stream';

/** One service that a route sends a share of its requests to. @public */
export interface Backend {
  readonly service: string;
  readonly weight: number;
}

/** @public */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Longest time that a request may be kept waiting for its whole answer. */
  readonly timeoutMs: number;
  /** Time to the answer, or to a stream's first event, that counts as on time. */
  readonly targetLatencyMs: number;
  /** Longest pause between two events of a stream; 0 for other kinds. */
  readonly targetGapMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly backends: readonly Backend[];
  /** Replicas that one request may run on. */
  readonly maxAttempts: number;
  readonly resumable: boolean;
}

/** @public */
export interface ModelSpec {
  readonly name: string;
  readonly weightsMb: number;
  readonly adapters: number;
  readonly adapterMb: number;
  /** Seconds to load from the weight store, from a replica's disk and from its memory. */
  readonly storeLoadS: number;
  readonly diskLoadS: number;
  readonly memoryLoadS: number;
}

/** What every replica of a model service can hold and run. @public */
export interface EngineSpec {
  readonly slots: number;
  /** Memory for weights and adapters together. */
  readonly weightsMb: number;
  readonly adapterSlots: number;
  /** Loads a second that the weight store serves, over all replicas. */
  readonly loadsPerS: number;
  readonly models: ReadonlyMap<string, ModelSpec>;
}

/** @public */
export interface Service {
  readonly name: string;
  /** Connections that one replica accepts from all callers together. */
  readonly maxConnections: number;
  /** Absent for a plain service. */
  readonly engine: EngineSpec | undefined;
}

/** Bounds on what a caller may send. @public */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** @public */
export interface FleetConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  readonly limits: CallerLimits;
}

/** Finds routes by host and path; built once for each configuration. @public */
export class RouteTable {
  private readonly byHost = new Map<string, Route[]>();

  constructor(readonly config: FleetConfig) {
    for (const route of config.routes) {
      const routes = this.byHost.get(route.host) ?? [];
      routes.push(route);
      this.byHost.set(route.host, routes);
    }
    for (const routes of this.byHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /**
   * Route of the host with the longest prefix that begins the path.
   *
   * @example
   * table.find('api.example', '/notes/7')?.name;
   */
  find(host: string, path: string): Route | undefined {
    return this.byHost.get(host)?.find(route => path.startsWith(route.pathPrefix));
  }
}

/** Service for one request of a route; the same key always goes to the same service. @public */
export function selectBackend(route: Route, key: string): string {
  const {backends} = route;
  if (backends.length === 1) return backends[0].service;
  let total = 0;
  for (const {weight} of backends) total += weight;
  let point = (fnv1a32(key) / 2 ** 32) * total;
  for (const {service, weight} of backends) {
    point -= weight;
    if (point < 0) return service;
  }
  return backends[backends.length - 1].service;
}
