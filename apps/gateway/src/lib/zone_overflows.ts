/** Keeps the share of requests that may leave the gateway's zone, for each service and model. */
import {
  crossingPriceMs,
  ZoneOverflow,
  type ZoneDecision,
  type ZoneInputs,
} from '@jasminepost/policy';
import type {ZoneTraffic} from './zone_traffic.ts';

/** Far more than the services and models of a configuration; bounds what old ones leave behind. */
const MAX_POOLS = 1024;

/** @internal */
export interface ZoneOverflowsContext {
  readonly zone: string;
  /** Round trip to another availability zone. */
  readonly roundTripMs: number;
  /** Milliseconds of a request's wait that a megabyte between zones is worth. */
  readonly msPerMb: number;
  /** False keeps the fixed cost of leaving the zone. */
  readonly isEnabled: boolean;
  readonly traffic: Pick<ZoneTraffic, 'expectedBytes'>;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Inputs of a decision that the gateway's own state does not contain. @internal */
export type ZoneChoiceInputs = Omit<ZoneInputs, 'crossingMs' | 'draw'> & {
  /** Prefill time that a cached prefix would have saved in the own zone. */
  readonly prefixSavingMs: number;
};

/** Fields of the `request sent` log line; empty where the fixed cost applies. @internal */
export type ZoneLogFields = Readonly<Record<string, string | number>>;

/** @internal */
export class ZoneOverflows {
  private readonly overflows = new Map<string, ZoneOverflow>();
  /** The draws of requests in progress: a request that waits keeps its draw. */
  private readonly draws = new WeakMap<object, number>();

  constructor(private readonly ctx: ZoneOverflowsContext) {}

  get zone(): string {
    return this.ctx.zone;
  }

  /** True when the share decides about a request that any of these replicas may serve. */
  appliesTo<T>(candidates: readonly T[], reportsPace: (candidate: T) => boolean): boolean {
    return this.ctx.isEnabled && candidates.some(reportsPace);
  }

  /** @param pool - See `poolKey`. */
  decide(pool: string, request: object, inputs: ZoneChoiceInputs): ZoneDecision {
    const {prefixSavingMs, ...rest} = inputs;
    const {roundTripMs, msPerMb, traffic} = this.ctx;
    const bytes = traffic.expectedBytes(pool);
    const crossingMs = crossingPriceMs({roundTripMs, bytes, msPerMb, prefixSavingMs});
    return this.overflowOf(pool).decide({...rest, crossingMs, draw: this.drawOf(request)});
  }

  private overflowOf(pool: string): ZoneOverflow {
    const existing = this.overflows.get(pool);
    if (existing !== undefined) return existing;
    if (this.overflows.size >= MAX_POOLS) this.overflows.clear();
    const overflow = new ZoneOverflow();
    this.overflows.set(pool, overflow);
    return overflow;
  }

  private drawOf(request: object): number {
    const draw = this.draws.get(request) ?? this.ctx.random();
    this.draws.set(request, draw);
    return draw;
  }
}

/** Fields that tell why a request has left its zone or not. @internal */
export function zoneLogFields(decision: ZoneDecision, ageMs: number): ZoneLogFields {
  return {
    leaveReason: decision.kind === 'leave' ? decision.reason : '',
    zoneShare: Math.round(decision.share * 1000) / 1000,
    loadAgeMs: Math.round(ageMs),
  };
}
