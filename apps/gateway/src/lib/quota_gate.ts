/** Charges one request to the quota of its organisation, once, before its first send. */
import type {Charge} from '@jasminepost/policy';
import type {OrganisationQuotas, QuotaRefusal} from './organisation_quotas.ts';

/** @internal */
export class QuotaGate {
  private charge: Charge | undefined;
  private isSpent = false;
  private withdraw: () => void = () => undefined;

  /**
   * @param organisation - Name of the organisation; undefined for a request without one.
   * @param tokens - Tokens that the request states; undefined when it states none.
   */
  constructor(
    private readonly quotas: OrganisationQuotas,
    private readonly organisation: string | undefined,
    private readonly tokens: number | undefined,
  ) {}

  /** Calls `onAllowed` once the request is charged, or `onRefused` when there is no credit. */
  check(
    onAllowed: () => void,
    onRefused: (retryAfterMs: number, refusal: QuotaRefusal) => void,
  ): void {
    const {organisation, cost} = this;
    if (organisation === undefined || !this.isDue || cost === 0) {
      onAllowed();
      return;
    }
    const onCharged = (charge: Charge) => {
      this.charge = charge;
      onAllowed();
    };
    this.withdraw = this.quotas.charge(organisation, cost, {onCharged, onRefused});
  }

  /** Charges a queued request that may be sent now; false when it must wait for credit. */
  tryCharge(): boolean {
    const {organisation, cost} = this;
    if (organisation === undefined || !this.isDue || cost === 0) return true;
    this.charge = this.quotas.tryCharge(organisation, cost);
    return this.charge !== undefined;
  }

  /** Records that the request is sent; retries are not charged again. */
  onSent(): void {
    this.isSpent = true;
  }

  /** Gives the charge of a request back that has not been sent: credit expires in a queue. */
  releaseUnsent(): void {
    if (!this.isSpent) this.refund();
  }

  /** Gives the charge of a request back that certainly has not run. */
  refund(): void {
    this.withdraw();
    if (this.charge === undefined || this.organisation === undefined) return;
    this.quotas.refund(this.organisation, this.charge);
    this.charge = undefined;
  }

  /** False once the request is charged or sent. */
  private get isDue(): boolean {
    return this.charge === undefined && !this.isSpent;
  }

  private get cost(): number {
    if (this.organisation === undefined) return 0;
    return this.quotas.costOf(this.organisation, this.tokens);
  }
}
