/** Model, adapter and size of a generation request. */

/** Part of a prompt; requests with the same leading parts share KV cache entries. @public */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** @public */
export interface GenerationParams {
  readonly model: string;
  /** Empty when the request uses no adapter. */
  readonly adapter: string;
  readonly tokensIn: number;
  readonly maxTokensOut: number;
  /** In prompt order; the last part is specific to the request. */
  readonly parts: readonly PromptPart[];
}

/** Used for a request that names no model. @public */
export const EMPTY_GENERATION: GenerationParams = {
  model: '',
  adapter: '',
  tokensIn: 0,
  maxTokensOut: 0,
  parts: [],
};

/**
 * Most tokens that a generation occupies at a replica, reached when it is complete; 0 for none.
 *
 * @example
 * replica.kvTokens += maxTokens(head.generation);
 * @public
 */
export function maxTokens(generation: GenerationParams | undefined): number {
  return generation === undefined ? 0 : generation.tokensIn + generation.maxTokensOut;
}

/**
 * Ids of the prompt's parts that other requests may hold, too: all but the last.
 *
 * @example
 * sharedPartIds({...params, parts: [{id: 'aa', tokens: 50}, {id: 'bb', tokens: 9}]}); // ['aa']
 * @public
 */
export function sharedPartIds({parts}: GenerationParams): string[] {
  return parts.slice(0, -1).map(({id}) => id);
}
