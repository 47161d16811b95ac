/** Counts the requests and bytes that leave the gateway's zone, and the usual bytes of a request. */
import {
  maxTokens,
  type EngineSpec,
  type GenerationParams,
  type ReplicaRegistration,
} from '@jasminepost/serving';
import {Attempt} from './attempt.ts';
import type {GatewayMetrics, ServiceKind} from './gateway_metrics.ts';
import type {Replica} from './replica.ts';

/** Assumed before the first response, in bytes. */
const INITIAL_EXCHANGE_BYTES = 20_000;
/** Weight of a new sample in the moving average. */
const SAMPLE_WEIGHT = 0.1;
/** Far more than the services and models of a configuration; bounds what old ones leave behind. */
const MAX_POOLS = 1024;

/** @internal */
export interface ZoneTrafficContext {
  readonly zone: string;
  readonly metrics: Pick<GatewayMetrics, 'zoneRequests' | 'zoneBytes'>;
  engineOf(service: string): EngineSpec | undefined;
}

/** @internal */
export class ZoneTraffic {
  /** Mean bytes of a request's and its response's body, by `poolKey`. */
  private readonly exchangeBytes = new Map<string, number>();

  constructor(private readonly ctx: ZoneTrafficContext) {}

  /** Starts an attempt whose bytes are counted when it ends. */
  startAttempt(
    replica: Replica,
    sentMs: number,
    body: Buffer,
    generation: GenerationParams | undefined,
    prefillMs: number,
  ): Attempt {
    const {zone, metrics} = this.ctx;
    const {entry} = replica;
    const kind = this.kindOf(entry, generation);
    const pool = poolKey(entry.service, kind === 'model' ? generation?.model : undefined);
    const isLeaving = entry.zone !== zone;
    if (isLeaving) metrics.zoneRequests.increment(kind);
    return new Attempt(replica, sentMs, maxTokens(generation), prefillMs, ({responseBytes}) => {
      const bytes = body.length + responseBytes;
      if (isLeaving) metrics.zoneBytes.increment(kind, bytes);
      if (responseBytes > 0) this.addSample(pool, bytes);
    });
  }

  /** Expected bytes of a request's and its response's body. */
  expectedBytes(pool: string): number {
    return this.exchangeBytes.get(pool) ?? INITIAL_EXCHANGE_BYTES;
  }

  private kindOf(
    {service}: ReplicaRegistration,
    generation: GenerationParams | undefined,
  ): ServiceKind {
    const isModel = generation !== undefined && this.ctx.engineOf(service) !== undefined;
    return isModel ? 'model' : 'service';
  }

  private addSample(pool: string, bytes: number): void {
    const mean = this.exchangeBytes.get(pool);
    if (mean === undefined && this.exchangeBytes.size >= MAX_POOLS) this.exchangeBytes.clear();
    this.exchangeBytes.set(
      pool,
      mean === undefined ? bytes : mean + SAMPLE_WEIGHT * (bytes - mean),
    );
  }
}

/**
 * Key of the replicas that share a zone's excess: those of a service, or of one of its models.
 *
 * @internal
 */
export function poolKey(service: string, model: string | undefined): string {
  return model === undefined ? service : `${service}/${model}`;
}
