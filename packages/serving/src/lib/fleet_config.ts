/** The operator's configuration in the form that gateways and stewards use. */
import {fnv1a32} from '@jasminepost/core';

/** Whether a request may be retried: yes, no, or as a stream that can only be resumed. @public */
export type RequestKind = 'idempotent' | 'non_idempotent' | 'stream';

/** A service that receives a share of a route's requests. @public */
export interface Backend {
  readonly service: string;
  readonly weight: number;
}

/** @public */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Timeout for the complete response. */
  readonly timeoutMs: number;
  /** Latency objective for the response, or for the first event of a stream. */
  readonly targetLatencyMs: number;
  /** Objective for the longest pause between two events of a stream; 0 for other kinds. */
  readonly targetGapMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly backends: readonly Backend[];
  /** Maximum number of replicas that one request may run on. */
  readonly maxAttempts: number;
  readonly resumable: boolean;
  /** True when requests need no key, also where the configuration lists organisations. */
  readonly anonymous: boolean;
}

/** What one unit of a quota is. @public */
export type QuotaUnit = 'token' | 'request';

/** Limit on the requests of an organisation, over all gateways together. @public */
export interface Quota {
  readonly unit: QuotaUnit;
  /** Units per second. */
  readonly perS: number;
  /** Units that may be used at once after a pause. */
  readonly burst: number;
  /** Units of a request that states no tokens. */
  readonly plainTokens: number;
}

/** A customer, whose requests carry one of its keys. @public */
export interface Organisation {
  readonly name: string;
  readonly apiKeys: readonly string[];
  /** Goes before the priority of the route; undefined when only the route's counts. */
  readonly priority: number | undefined;
  /** Undefined when its requests are not limited. */
  readonly quota: Quota | undefined;
}

/** @public */
export interface ModelSpec {
  readonly name: string;
  readonly weightsMb: number;
  readonly adapters: number;
  readonly adapterMb: number;
  /** Load time in seconds from the weight store, from a replica's disk and from its memory. */
  readonly storeLoadS: number;
  readonly diskLoadS: number;
  readonly memoryLoadS: number;
}

/** Capacity of every replica of a model service. @public */
export interface EngineSpec {
  readonly slots: number;
  /** Memory shared by weights and adapters. */
  readonly weightsMb: number;
  readonly adapterSlots: number;
  /** Loads per second that the weight store can serve, across all replicas. */
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

/** Limits on a caller's requests. @public */
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
  /** Undefined when requests need no key. */
  readonly organisations: readonly Organisation[] | undefined;
}

/** Finds routes by host and path; built once per configuration. @public */
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
   * Returns the route of the host with the longest matching path prefix.
   *
   * @example
   * table.find('api.example', '/notes/7')?.name;
   */
  find(host: string, path: string): Route | undefined {
    return this.byHost.get(host)?.find(route => path.startsWith(route.pathPrefix));
  }
}

/** Selects a service by weight; the same key always selects the same service. @public */
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
