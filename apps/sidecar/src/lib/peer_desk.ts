/** Handles what entries, planners and operators send, and tells them what they need. */
import type {Clock} from '@jasminepost/core';
import type {MeshLink, MeshMessage, MeshServer, SuspectMessage} from '@jasminepost/mesh';
import type {ConfigPeerSync} from '@jasminepost/operator';
import type {SuspectList} from '@jasminepost/policy';
import type {LoadReporter} from './load_reporter.ts';
import type {Planner} from './planner.ts';
import type {StatusBoard} from './status_board.ts';
import type {UpstreamGate} from './upstream_gate.ts';

interface DeskContext {
  readonly clock: Clock;
  readonly server: MeshServer;
  readonly spreader: ConfigPeerSync;
  readonly suspects: SuspectList;
  readonly board: StatusBoard;
  /** Parts that are constructed after the desk. */
  gate(): UpstreamGate;
  planner(): Planner;
  reporter(): LoadReporter;
  drain(): void;
}

/** @internal */
export class PeerDesk {
  constructor(private readonly context: DeskContext) {}

  /** Tells a new peer all that it would otherwise learn from changes. */
  welcome(link: MeshLink): void {
    const {board, clock, spreader, suspects} = this.context;
    spreader.announce(link);
    link.send(board.status());
    this.context.reporter().reportTo(link);
    for (const suspect of suspects.list(clock.monotonicMs())) {
      link.send({type: 'suspect', ...suspect, cleared: false});
    }
  }

  announceStatus(): void {
    this.context.server.broadcast(this.context.board.status());
  }

  announceSuspect(message: SuspectMessage): void {
    this.takeSuspect(message);
    this.context.server.broadcast(message);
  }

  receive(link: MeshLink, message: MeshMessage): void {
    if (this.context.spreader.receive(link, message)) return;
    switch (message.type) {
      case 'start':
        this.context.gate().onStart(link, message);
        return;
      case 'cancel':
        this.context.gate().onCancel(link, message.attempt);
        return;
      case 'ack':
        this.context.gate().onAck(link, message.attempt, message.bytes);
        return;
      case 'demand':
        this.context.planner().onDemand(message);
        return;
      case 'suspect':
        this.takeSuspect(message);
        return;
      case 'operator_ask':
        if (message.ask === 'drain') this.context.drain();
        link.send({type: 'operator_reply', json: JSON.stringify(this.context.board.summary())});
        return;
      default:
        link.cut('message_malformed');
    }
  }

  private takeSuspect(message: SuspectMessage): void {
    const {clock, suspects} = this.context;
    suspects.applyUpdate(message, clock.monotonicMs());
  }
}
