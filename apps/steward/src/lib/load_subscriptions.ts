/** Tracks which gateways send requests to this replica and need frequent load reports. */

/**
 * Audience of a load report: gateways that send requests here, in this availability zone (`near`)
 * or in another (`far`), and gateways that send none (`idle`). Traffic between zones is expensive,
 * and a large fleet has more gateways than any replica serves.
 *
 * @internal
 */
export type LoadAudience = 'near' | 'far' | 'idle';

/** @internal */
export const LOAD_AUDIENCES: readonly LoadAudience[] = ['near', 'far', 'idle'];

/** @internal */
export class LoadSubscriptions {
  private readonly expiresAtMs = new Map<string, number>();

  constructor(private readonly zone: string) {}

  /**
   * Renews the subscription of a gateway that sends requests here.
   *
   * @returns True when the gateway had no valid subscription.
   */
  renew(gateway: string, validMs: number, nowMs: number): boolean {
    const isNew = !this.isActive(gateway, nowMs);
    this.expiresAtMs.set(gateway, nowMs + validMs);
    return isNew;
  }

  remove(gateway: string): void {
    this.expiresAtMs.delete(gateway);
  }

  audienceOf(gateway: string, zone: string, nowMs: number): LoadAudience {
    if (!this.isActive(gateway, nowMs)) return 'idle';
    return zone === this.zone ? 'near' : 'far';
  }

  private isActive(gateway: string, nowMs: number): boolean {
    return nowMs < (this.expiresAtMs.get(gateway) ?? Number.NEGATIVE_INFINITY);
  }
}
