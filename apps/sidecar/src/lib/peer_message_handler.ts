/** Handles messages from entries, planners and operators, and sends them status updates. */
import type {Clock} from '@jasminepost/core';
import type {MeshLink, MeshMessage, MeshServer, SuspectMessage} from '@jasminepost/mesh';
import type {ConfigPeerSync} from '@jasminepost/operator';
import type {SuspectList} from '@jasminepost/policy';
import type {LoadReporter} from './load_reporter.ts';
import type {Planner} from './planner.ts';
import type {SidecarStatus} from './sidecar_status.ts';
import type {AttemptExecutor} from './attempt_executor.ts';

interface HandlerContext {
  readonly clock: Clock;
  readonly server: MeshServer;
  readonly configPeerSync: ConfigPeerSync;
  readonly suspects: SuspectList;
  readonly status: SidecarStatus;
  /** Components that are constructed later. */
  executor(): AttemptExecutor;
  planner(): Planner;
  reporter(): LoadReporter;
  drain(): void;
}

/** @internal */
export class PeerMessageHandler {
  constructor(private readonly context: HandlerContext) {}

  /** Sends a new peer the current state, of which it otherwise sees only changes. */
  sendInitialState(link: MeshLink): void {
    const {status, clock, configPeerSync, suspects} = this.context;
    configPeerSync.announce(link);
    link.send(status.peerStatus());
    this.context.reporter().reportTo(link);
    for (const suspect of suspects.list(clock.monotonicMs())) {
      link.send({type: 'suspect', ...suspect, cleared: false});
    }
  }

  announceStatus(): void {
    this.context.server.broadcast(this.context.status.peerStatus());
  }

  announceSuspect(message: SuspectMessage): void {
    this.applySuspect(message);
    this.context.server.broadcast(message);
  }

  receive(link: MeshLink, message: MeshMessage): void {
    if (this.context.configPeerSync.receive(link, message)) return;
    switch (message.type) {
      case 'start':
        this.context.executor().onStart(link, message);
        return;
      case 'cancel':
        this.context.executor().onCancel(link, message.attempt);
        return;
      case 'ack':
        this.context.executor().onAck(link, message.attempt, message.bytes);
        return;
      case 'demand':
        this.context.planner().onDemand(message);
        return;
      case 'suspect':
        this.applySuspect(message);
        return;
      case 'operator_ask':
        if (message.ask === 'drain') this.context.drain();
        link.send({
          type: 'operator_reply',
          json: JSON.stringify(this.context.status.operatorStatus()),
        });
        return;
      default:
        link.cut('message_malformed');
    }
  }

  private applySuspect(message: SuspectMessage): void {
    const {clock, suspects} = this.context;
    suspects.applyUpdate(message, clock.monotonicMs());
  }
}
