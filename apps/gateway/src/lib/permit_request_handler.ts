/** Answers requests of the gateways for permits and credit while this gateway is the planner. */
import type {Clock} from '@jasminepost/core';
import type {PermitAskMessage, PermitGrantMessage} from '@jasminepost/mesh';
import {PermitIssuer, type CreditBucket} from '@jasminepost/policy';

/** @internal */
export interface PermitRequestHandlerContext {
  readonly clock: Clock;
  /** Term in which this gateway is the planner; 0 while it is not. */
  actingTerm(): number;
  /** True while no other gateway can have become the planner. */
  isConfirmed(): boolean;
  /** Gateways that were heard recently, including this one. */
  linkedGateways(): number;
  /** Gateways known in all. */
  knownGateways(): number;
  /** Version of the active configuration; 0 before the first. */
  configVersion(): number;
  /** Bucket of an organisation in the active configuration; undefined without a quota. */
  bucketOf(organisation: string): CreditBucket | undefined;
}

/** @internal */
export class PermitRequestHandler {
  private term = 0;
  private issuer: PermitIssuer | undefined;

  constructor(private readonly ctx: PermitRequestHandlerContext) {}

  /** Takes the role over at once, so that buckets of credit fill from then on. */
  onTick(): void {
    this.currentIssuer();
  }

  /** Grants permits or credit; undefined while this gateway is not the planner. */
  answer(message: PermitAskMessage): PermitGrantMessage | undefined {
    const issuer = this.currentIssuer();
    if (issuer === undefined) return undefined;
    const {replica, perS, number, count} = message;
    if (message.credit !== undefined) return this.answerCredit(issuer, message, message.credit);
    const nowMs = this.ctx.clock.monotonicMs();
    const isConfirmed = this.ctx.isConfirmed();
    const {permitsInMs, nextInMs} = issuer.issue(replica, perS, count, nowMs, isConfirmed);
    return {type: 'permit_grant', replica, number, permitsInMs: [...permitsInMs], nextInMs};
  }

  private answerCredit(
    issuer: PermitIssuer,
    {replica: organisation, perS, number}: PermitAskMessage,
    credit: NonNullable<PermitAskMessage['credit']>,
  ): PermitGrantMessage {
    const {ctx} = this;
    // The newer of the two configurations counts, whichever gateway has read it first.
    const isOwnNewer = ctx.configVersion() >= credit.configVersion;
    const own = isOwnNewer ? ctx.bucketOf(organisation) : undefined;
    const bucket = own ?? {perS, size: credit.size, maxUnits: credit.maxUnits};
    const {units, nextInMs} = issuer.issueCredit(
      organisation,
      bucket,
      credit,
      ctx.clock.monotonicMs(),
      {
        isConfirmed: ctx.isConfirmed(),
        linked: ctx.linkedGateways(),
        known: ctx.knownGateways(),
      },
    );
    const type = 'permit_grant';
    return {type, replica: organisation, number, permitsInMs: [], nextInMs, units};
  }

  private currentIssuer(): PermitIssuer | undefined {
    const term = this.ctx.actingTerm();
    if (term !== this.term) {
      this.term = term;
      const nowMs = this.ctx.clock.monotonicMs();
      this.issuer = term === 0 ? undefined : new PermitIssuer(nowMs);
    }
    return this.issuer;
  }
}
