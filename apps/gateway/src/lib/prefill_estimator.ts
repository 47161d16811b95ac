/** Learns how long a prompt takes up to its first event, for each model. */

/** Start of the estimate; a replica of today's size reads about 20 tokens in a millisecond. */
const INITIAL_MS_PER_TOKEN = 0.055;
const SAMPLE_WEIGHT = 0.08;
/** Time up to the first event that does not depend on the prompt. */
const FIXED_MS = 15;
/** Samples above the estimate mostly tell of other gateways' requests in between. */
const RISING_WEIGHT = 0.01;

/** @internal */
export class PrefillEstimator {
  private readonly msPerToken = new Map<string, number>();

  /** Expected time up to the first event on an idle replica. */
  estimateMs(model: string, tokens: number): number {
    return FIXED_MS + tokens * (this.msPerToken.get(model) ?? INITIAL_MS_PER_TOKEN);
  }

  /** Takes in a request that found no other before it. */
  addSample(model: string, tokens: number, firstEventMs: number): void {
    if (tokens <= 0) return;
    const currentMsPerToken = this.msPerToken.get(model) ?? INITIAL_MS_PER_TOKEN;
    const sample = Math.max(0, firstEventMs - FIXED_MS) / tokens;
    const weight = sample > currentMsPerToken ? RISING_WEIGHT : SAMPLE_WEIGHT;
    this.msPerToken.set(model, currentMsPerToken + weight * (sample - currentMsPerToken));
  }
}
