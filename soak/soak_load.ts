/** Callers of a soak, and what each of them was told. */
import {Agent} from 'node:http';
import {sleep} from '@jasminepost/core';
import {MODEL, type UsersResponse, type UsersFleet} from '../features/support/users_fleet.ts';

export type CallKind = 'order' | 'read' | 'draft' | 'long' | 'adapter';

export interface SoakCall {
  readonly id: string;
  readonly kind: CallKind;
  readonly path: string;
  readonly body: string;
  readonly left: boolean;
  answer: UsersResponse | undefined;
}

const KINDS: readonly CallKind[] = ['order', 'order', 'read', 'draft', 'long', 'adapter'];
const MEAN_PAUSE_MS = 12;
const LEAVING_SHARE = 0.08;
const MAX_LEAVE_MS = 300;
const KEPT_SHARE = 0.6;
const ADAPTERS = 3;

export class SoakLoad {
  readonly calls: SoakCall[] = [];
  private readonly running = new Set<Promise<void>>();
  private readonly agents: Agent[];

  constructor(
    private readonly fleet: UsersFleet,
    private readonly random: () => number,
    private readonly prefix: string,
  ) {
    this.agents = fleet.gateways.map(() => new Agent({keepAlive: true, maxSockets: 40}));
  }

  /** Calls all gateways at random for `durationMs`, with kept connections and new ones. */
  async run(durationMs: number): Promise<void> {
    const untilMs = performance.now() + durationMs;
    while (performance.now() < untilMs) {
      this.send(KINDS[Math.floor(this.random() * KINDS.length)], true);
      await sleep(MEAN_PAUSE_MS * 2 * this.random());
    }
  }

  /** Resolves once every caller has an answer or has left. */
  async settle(): Promise<void> {
    await Promise.all(this.running);
    for (const agent of this.agents) agent.destroy();
  }

  /** Sends one request; `mayLeave` lets some callers give up. */
  send(kind: CallKind, mayLeave: boolean): SoakCall {
    const id = `${this.prefix}-${this.calls.length}`;
    const gateway = Math.floor(this.random() * this.fleet.gateways.length);
    const left = mayLeave && this.random() < LEAVING_SHARE;
    const model =
      kind === 'adapter' ? `${MODEL}/a${1 + Math.floor(this.random() * ADAPTERS)}` : MODEL;
    const path = `/${kind === 'adapter' ? 'draft' : kind}/${this.calls.length}`;
    const call: SoakCall = {id, kind, path, body: `body ${id}`, left, answer: undefined};
    this.calls.push(call);
    const streams = kind !== 'order' && kind !== 'read';
    const done = this.fleet
      .call({
        id,
        path,
        gateway,
        body: call.body,
        headers: streams ? {model} : {},
        agent: this.random() < KEPT_SHARE ? this.agents[gateway] : undefined,
        abortAfterMs: left ? this.random() * MAX_LEAVE_MS : undefined,
      })
      .then(answer => {
        call.answer = answer;
      });
    this.running.add(done);
    void done.finally(() => this.running.delete(done));
    return call;
  }
}
