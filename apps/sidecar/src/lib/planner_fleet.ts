/** Mesh links to all sidecars, open only while this one is the planner. */
import type {CounterFamily} from '@jasminepost/core';
import {
  Fleet,
  type HandshakeAuthenticator,
  type LinkCloseReason,
  type MemberInfo,
} from '@jasminepost/mesh';
import type {ListedInstance} from '@jasminepost/key_value';

/** @internal */
export class PlannerFleet {
  /** Sidecars in the platform's instance list. */
  listedSidecars: readonly ListedInstance[] = [];
  private fleet: Fleet | undefined;

  constructor(
    private readonly self: MemberInfo,
    private readonly authenticator: HandshakeAuthenticator,
    private readonly linkFaults: CounterFamily<LinkCloseReason>,
  ) {}

  applyInstanceList(instances: readonly ListedInstance[]): void {
    this.listedSidecars = instances.filter(instance => instance.role === 'sidecar');
    this.updateFleet();
  }

  /** Opens the links to all listed sidecars. */
  open(): Fleet {
    const ignore = () => undefined;
    const events = {onUp: ignore, onStatus: ignore, onDown: ignore, onMessage: ignore};
    this.fleet = new Fleet(this.self, this.authenticator, events, this.linkFaults);
    this.updateFleet();
    return this.fleet;
  }

  close(): void {
    this.fleet?.dispose();
    this.fleet = undefined;
  }

  private updateFleet(): void {
    this.fleet?.updateSidecars(
      this.listedSidecars.map(({id, zone, host, port, state}) => {
        return {id, zone, mesh: {host, port}, leaving: state === 'leaving'};
      }),
    );
  }
}
