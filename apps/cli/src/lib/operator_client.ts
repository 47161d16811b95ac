/** Sends an operator's requests to running processes. */
import {CounterFamily, MeshError, newId, type HostPort} from '@jasminepost/core';
import {
  HandshakeAuthenticator,
  MeshClient,
  type LinkCloseReason,
  type MeshLink,
  type MeshMessage,
  type OperatorAskMessage,
} from '@jasminepost/mesh';

const REPLY_TIMEOUT_MS = 3000;

/** Status that every process reports. @internal */
export interface ProcessStatus {
  readonly id: string;
  readonly role: string;
  readonly zone: string;
  readonly leaving: boolean;
  readonly ready: boolean;
  readonly generation: number;
  readonly hash: string;
  readonly inProgress: number;
  readonly models?: readonly string[];
  readonly planner?: number;
}

/** @internal */
export class OperatorClient {
  private readonly guard: HandshakeAuthenticator;

  constructor(meshKey: string) {
    this.guard = new HandshakeAuthenticator(meshKey);
  }

  /** Queries a process; throws MeshError when it does not respond in time. */
  async ask(address: HostPort, ask: OperatorAskMessage['ask'], subject = ''): Promise<unknown> {
    const reply = await this.sendAndAwaitReply(
      address,
      link => link.send({type: 'operator_ask', ask, subject}),
      message => message.type === 'operator_reply',
    );
    return reply.type === 'operator_reply' ? (JSON.parse(reply.json) as unknown) : undefined;
  }

  /** Sends a process the active configuration; resolves when it announces the generation. */
  async pushConfig(address: HostPort, document: string, generation: number): Promise<void> {
    await this.sendAndAwaitReply(
      address,
      link => link.send({type: 'config_document', document}),
      message => message.type === 'config_have' && message.generation >= generation,
    );
  }

  private sendAndAwaitReply(
    address: HostPort,
    sendRequest: (link: MeshLink) => void,
    isReply: (message: MeshMessage) => boolean,
  ): Promise<MeshMessage> {
    return new Promise((resolve, reject) => {
      const addressText = `${address.host}:${address.port}`;
      const faults = new CounterFamily<LinkCloseReason>('link_faults', '', 'reason');
      const finish = (outcome: () => void) => {
        clearTimeout(timer);
        client.dispose();
        outcome();
      };
      const timer = setTimeout(
        () => finish(() => reject(new MeshError('no_answer', `${addressText}: no response`))),
        REPLY_TIMEOUT_MS,
      );
      const self = {id: newId('operator'), incarnation: Date.now(), role: 'operator', zone: '-'};
      const client = new MeshClient(
        address,
        {...self, role: 'operator'},
        this.guard,
        {
          onUp: (_client, link) => sendRequest(link),
          onMessage: (_client, message) => {
            if (isReply(message)) finish(() => resolve(message));
          },
          onDown: () => undefined,
          isAwaitingReply: () => false,
        },
        faults,
      );
    });
  }
}
