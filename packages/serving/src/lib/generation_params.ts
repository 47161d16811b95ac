/** What a request to a model says of its size. */

/** One part of a prompt; requests that share leading parts share their KV cache. @public */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** @public */
export interface GenerationParams {
  readonly model: string;
  /** Empty when the request wants the plain model. */
  readonly adapter: string;
  readonly tokensIn: number;
  readonly maxTokensOut: number;
  /** In the order of the prompt; the last part is the request's own. */
  readonly parts: readonly PromptPart[];
}

/** Stands for the generation of a request that names no model. @public */
export const EMPTY_GENERATION: GenerationParams = {
  model: '',
  adapter: '',
  tokensIn: 0,
  maxTokensOut: 0,
  parts: [],
};

/**
 * Tokens that a generation holds at a replica when it is complete; 0 for none.
 *
 * @example
 * replica.kvTokens += tokensOf(head.generation);
 * @public
 */
export function maxTokens(generation: GenerationParams | undefined): number {
  return generation === undefined ? 0 : generation.tokensIn + generation.maxTokensOut;
}
