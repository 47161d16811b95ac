/** Client for the state and orders of a model engine; see docs/contracts/engine.md. */
import {Agent, request} from 'undici';
import * as z from 'zod';
import {errorMessage, httpConnector, UpstreamError} from '@jasminepost/core';

const CALL_TIMEOUT_MS = 1500;
const CONNECT_TIMEOUT_MS = 1000;

const stateSchema = z.object({
  incarnation: z.string(),
  /** Maximum age of the reported state. */
  ageMs: z.number().nonnegative(),
  totalMiB: z.number().int().positive(),
  usedMiB: z.number().int().nonnegative(),
  slots: z.number().int().positive(),
  running: z.number().int().nonnegative(),
  highestFence: z.number().int().nonnegative(),
  items: z.array(
    z.object({
      name: z.string(),
      sizeMiB: z.number().int().nonnegative(),
      state: z.enum(['loading', 'ready', 'unloading']),
    }),
  ),
});
const orderReplySchema = z.object({outcome: z.enum(['accepted', 'stale_fence', 'no_room'])});

/** @public */
export type EngineState = z.infer<typeof stateSchema>;
/** @public */
export type OrderReply = z.infer<typeof orderReplySchema>['outcome'];

/** @public */
export interface EngineOrder {
  readonly fence: number;
  readonly operation: 'load' | 'unload' | 'barrier';
  readonly item: string;
  readonly sizeMiB: number;
}

/** Every call throws UpstreamError on failure; a failed order may still take effect. @public */
export class EngineClient {
  private readonly agent = new Agent({
    connections: 2,
    connect: httpConnector({timeout: CONNECT_TIMEOUT_MS}),
  });

  constructor(private readonly baseUrl: string) {}

  async readState(): Promise<EngineState> {
    return stateSchema.parse(await this.call('GET', '/v1/state'));
  }

  async sendOrder(order: EngineOrder): Promise<OrderReply> {
    return orderReplySchema.parse(await this.call('POST', '/v1/orders', order)).outcome;
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async call(method: 'GET' | 'POST', path: string, body?: object): Promise<unknown> {
    try {
      const res = await request(this.baseUrl + path, {
        method,
        dispatcher: this.agent,
        headers: {'content-type': 'application/json'},
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      });
      const text = await res.body.text();
      if (res.statusCode >= 400 && res.statusCode !== 409) {
        throw new UpstreamError('engine_status', `${path}: unexpected status ${res.statusCode}`);
      }
      return JSON.parse(text) as unknown;
    } catch (thrown) {
      if (thrown instanceof UpstreamError) throw thrown;
      throw new UpstreamError('engine_call', `${path}: ${errorMessage(thrown)}`);
    }
  }
}
