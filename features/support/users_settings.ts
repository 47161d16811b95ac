/** Settings files of the users' platform. */

export const ZONE = 'zone-a';

/** Settings file as the platform writes it. */
export function usersSettings(node: string, ip: string, extra: object): Record<string, unknown> {
  return {
    node,
    ip,
    zone: ZONE,
    bootstrap: true,
    internalPorts: [7000, 7010],
    listenAddrs: {},
    limits: {memoryMb: 350},
    bounds: {
      drainMs: 2000,
      graceS: 5,
      configApplyMs: 2000,
      budgetRatio: 0.2,
      budgetWindowS: 10,
      budgetSlack: 52,
      leaseMs: 3000,
      ceilingWindowS: 5,
      ceilingOvershoot: 1.1,
    },
    ...extra,
  };
}
