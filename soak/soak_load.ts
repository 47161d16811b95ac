/** Callers of a soak, and the response that each of them got. */
import {Agent} from 'node:http';
import {sleep} from '@jasminepost/core';
import {MODEL, type UsersResponse, type UsersFleet} from '../features/support/users_fleet.ts';

export type CallKind = 'order' | 'read' | 'draft' | 'long' | 'adapter';

export interface SoakCall {
  readonly id: string;
  readonly kind: CallKind;
  readonly path: string;
  readonly body: string;
  readonly disconnects: boolean;
  response: UsersResponse | undefined;
}

const KINDS: readonly CallKind[] = ['order', 'order', 'read', 'draft', 'long', 'adapter'];
const MEAN_INTERVAL_MS = 12;
const DISCONNECT_SHARE = 0.08;
const MAX_DISCONNECT_DELAY_MS = 300;
const KEEP_ALIVE_SHARE = 0.6;
const ADAPTERS = 3;

export class SoakLoad {
  readonly calls: SoakCall[] = [];
  private readonly pendingCalls = new Set<Promise<void>>();
  private readonly agents: Agent[];

  constructor(
    private readonly fleet: UsersFleet,
    private readonly random: () => number,
    private readonly prefix: string,
  ) {
    this.agents = fleet.gateways.map(() => new Agent({keepAlive: true, maxSockets: 40}));
  }

  /** Sends calls to random gateways for `durationMs`, over kept-alive and new connections. */
  async run(durationMs: number): Promise<void> {
    const untilMs = performance.now() + durationMs;
    while (performance.now() < untilMs) {
      this.send(KINDS[Math.floor(this.random() * KINDS.length)], true);
      await sleep(MEAN_INTERVAL_MS * 2 * this.random());
    }
  }

  /** Resolves once every caller has a response or has disconnected. */
  async waitForResponses(): Promise<void> {
    await Promise.all(this.pendingCalls);
    for (const agent of this.agents) agent.destroy();
  }

  /** Sends one request; with `mayDisconnect`, some callers disconnect before the response. */
  send(kind: CallKind, mayDisconnect: boolean): SoakCall {
    const id = `${this.prefix}-${this.calls.length}`;
    const gateway = Math.floor(this.random() * this.fleet.gateways.length);
    const disconnects = mayDisconnect && this.random() < DISCONNECT_SHARE;
    const model =
      kind === 'adapter' ? `${MODEL}/a${1 + Math.floor(this.random() * ADAPTERS)}` : MODEL;
    const path = `/${kind === 'adapter' ? 'draft' : kind}/${this.calls.length}`;
    const call: SoakCall = {
      id,
      kind,
      path,
      body: `body ${id}`,
      disconnects,
      response: undefined,
    };
    this.calls.push(call);
    const streams = kind !== 'order' && kind !== 'read';
    const pending = this.fleet
      .call({
        id,
        path,
        gateway,
        body: call.body,
        headers: streams ? {model} : {},
        agent: this.random() < KEEP_ALIVE_SHARE ? this.agents[gateway] : undefined,
        abortAfterMs: disconnects ? this.random() * MAX_DISCONNECT_DELAY_MS : undefined,
      })
      .then(response => {
        call.response = response;
      });
    this.pendingCalls.add(pending);
    void pending.finally(() => this.pendingCalls.delete(pending));
    return call;
  }
}
