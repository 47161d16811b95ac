/** Estimates the time from a prompt to its first event for each model, learned from samples. */
import type {GenerationParams} from '@jasminepost/serving';

/** Initial estimate: replicas of the current size prefill about 20 tokens per millisecond. */
const INITIAL_MS_PER_TOKEN = 0.055;
const SAMPLE_WEIGHT = 0.08;
/** Part of the time to the first event that does not depend on the prompt. */
const FIXED_MS = 15;
/** Lower weight for samples above the estimate: mostly, other gateways' requests delayed them. */
const RISING_WEIGHT = 0.01;

/** @internal */
export class PrefillEstimator {
  private readonly msPerToken = new Map<string, number>();

  /** Expected time to the first event on an idle replica. */
  estimateMs(model: string, tokens: number): number {
    return FIXED_MS + tokens * (this.msPerToken.get(model) ?? INITIAL_MS_PER_TOKEN);
  }

  /** Expected prefill time of a request; 0 for plain services. */
  prefillMs(generation: GenerationParams | undefined): number {
    return generation === undefined ? 0 : this.estimateMs(generation.model, generation.tokensIn);
  }

  /** Adds a sample from a request that had no other of this gateway before it. */
  addSample(model: string, tokens: number, firstEventMs: number): void {
    if (tokens <= 0) return;
    const currentMsPerToken = this.msPerToken.get(model) ?? INITIAL_MS_PER_TOKEN;
    const sample = Math.max(0, firstEventMs - FIXED_MS) / tokens;
    const weight = sample > currentMsPerToken ? RISING_WEIGHT : SAMPLE_WEIGHT;
    this.msPerToken.set(model, currentMsPerToken + weight * (sample - currentMsPerToken));
  }
}
