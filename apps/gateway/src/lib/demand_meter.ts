/** Counts what is asked of each model, for the planner. */
import type {ModelDemandMessage} from '@jasminepost/mesh';
import type {GenerationParams} from '@jasminepost/serving';
import type {PrefillEstimator} from './prefill_estimator.ts';

interface ModelCounts {
  requests: number;
  /** Requests that can't wait until the model has been loaded. */
  urgent: number;
  prefillMs: number;
}

const ZERO_COUNTS: Readonly<ModelCounts> = {requests: 0, urgent: 0, prefillMs: 0};

/** @internal */
export class DemandMeter {
  private counts = new Map<string, ModelCounts>();

  constructor(private readonly estimator: PrefillEstimator) {}

  /** Counts one request, whether it will be served or not. */
  count(service: string, generation: GenerationParams, isDelayTolerant: boolean): void {
    const key = `${service}/${generation.model}`;
    const count = this.counts.get(key) ?? {...ZERO_COUNTS};
    count.requests += 1;
    if (!isDelayTolerant) count.urgent += 1;
    count.prefillMs += this.estimator.estimateMs(generation.model, generation.tokensIn);
    this.counts.set(key, count);
  }

  /**
   * Takes what has been counted since the last call.
   *
   * @param waiting - Requests that wait now, by `service/model`.
   */
  collect(waiting: ReadonlyMap<string, number>): ModelDemandMessage {
    // Those that wait are told again although no new one has come.
    const names = new Set([...this.counts.keys(), ...waiting.keys()]);
    const models = [...names].map(name => {
      const {requests, urgent, prefillMs} = this.counts.get(name) ?? ZERO_COUNTS;
      return {
        name,
        requests,
        urgent,
        prefillMs: Math.round(prefillMs),
        waiting: waiting.get(name) ?? 0,
      };
    });
    this.counts = new Map();
    return {type: 'model_demand', models};
  }
}
