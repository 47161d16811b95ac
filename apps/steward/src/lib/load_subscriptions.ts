/** Which gateways have work at this replica, and so need to know its load closely. */

/**
 * Gateways that send requests here, in this availability zone and in others, and those that send
 * none. Bytes between zones are dear, and a large fleet has more gateways than any replica serves.
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
   * Takes in that a gateway sends requests here.
   *
   * @returns True when it has not been known to do so.
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
