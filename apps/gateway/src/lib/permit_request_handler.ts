/** Answers permit requests of the gateways while this gateway is the planner. */
import type {Clock} from '@jasminepost/core';
import type {PermitAskMessage, PermitGrantMessage} from '@jasminepost/mesh';
import {PermitIssuer} from '@jasminepost/policy';

/** @internal */
export class PermitRequestHandler {
  private term = 0;
  private issuer: PermitIssuer | undefined;

  /**
   * @param actingTerm - Term in which this gateway is the planner; 0 while it is not.
   * @param isConfirmed - True while no other gateway can have become the planner.
   */
  constructor(
    private readonly clock: Clock,
    private readonly actingTerm: () => number,
    private readonly isConfirmed: () => boolean,
  ) {}

  /** Grants permits; undefined while this gateway is not the planner. */
  answer({replica, perS, number, count}: PermitAskMessage): PermitGrantMessage | undefined {
    const nowMs = this.clock.monotonicMs();
    const term = this.actingTerm();
    if (term !== this.term) {
      this.term = term;
      this.issuer = term === 0 ? undefined : new PermitIssuer(nowMs);
    }
    if (this.issuer === undefined) return undefined;
    const isConfirmed = this.isConfirmed();
    const {permitsInMs, nextInMs} = this.issuer.issue(replica, perS, count, nowMs, isConfirmed);
    return {type: 'permit_grant', replica, number, permitsInMs: [...permitsInMs], nextInMs};
  }
}
