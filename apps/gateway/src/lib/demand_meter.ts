/** Counts this gateway's requests for each model, to be reported to the planner. */
import type {ModelDemandMessage} from '@jasminepost/mesh';
import type {GenerationParams} from '@jasminepost/serving';
import type {PrefillEstimator} from './prefill_estimator.ts';

interface ModelCounts {
  requests: number;
  /** Requests that are not delay-tolerant: they can't wait until the model has been loaded. */
  urgent: number;
  prefillMs: number;
}

const ZERO_COUNTS: Readonly<ModelCounts> = {requests: 0, urgent: 0, prefillMs: 0};

/** @internal */
export class DemandMeter {
  private counts = new Map<string, ModelCounts>();

  constructor(private readonly estimator: PrefillEstimator) {}

  /** Counts a request, whether or not it will be served. */
  count(service: string, generation: GenerationParams, isDelayTolerant: boolean): void {
    const key = `${service}/${generation.model}`;
    const count = this.counts.get(key) ?? {...ZERO_COUNTS};
    count.requests += 1;
    if (!isDelayTolerant) count.urgent += 1;
    count.prefillMs += this.estimator.estimateMs(generation.model, generation.tokensIn);
    this.counts.set(key, count);
  }

  /**
   * Returns the counts since the last call and resets them.
   *
   * @param waiting - Number of waiting requests, by `service/model`.
   */
  collect(waiting: ReadonlyMap<string, number>): ModelDemandMessage {
    // Models with waiting requests are reported even if there are no new requests.
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
