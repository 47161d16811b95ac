/** Sizes of the two deployments, and the cases that each policy is run on. */

export interface Deployment {
  readonly name: string;
  readonly replicas: number;
  readonly zones: number;
  readonly models: number;
  /** Copies that fit on one replica. */
  readonly copiesPerReplica: number;
  readonly slots: number;
  readonly crossZoneMs: number;
  readonly loadsPerS: number;
  readonly loadsInFlight: number;
  readonly objective: {readonly attainment: number; readonly moves: number};
}

export const DEPLOYMENTS: readonly Deployment[] = [
  {
    name: 'kowhai',
    replicas: 13,
    zones: 3,
    models: 34,
    copiesPerReplica: 7,
    slots: 8,
    crossZoneMs: 0.5,
    loadsPerS: 2,
    loadsInFlight: 20,
    objective: {attainment: 0.8, moves: 0.2},
  },
  {
    name: 'anga-safi',
    replicas: 6,
    zones: 3,
    models: 17,
    copiesPerReplica: 8,
    slots: 8,
    crossZoneMs: 1.4,
    loadsPerS: 1,
    loadsInFlight: 6,
    objective: {attainment: 0.3, moves: 0.7},
  },
];

export interface BenchCase {
  readonly name: string;
  /** Paid and trial demand as shares of all slots. */
  readonly paidLoad: number;
  readonly trialLoad: number;
  /** Number of models whose demand grows tenfold between a quarter and half of the run. */
  readonly shiftedModels: number;
  readonly reportIntervalMs: number;
  /** Share of reports that are lost. */
  readonly reportLoss: number;
  readonly storeSlowdown: number;
  /** True if one availability zone is lost from 40% to 80% of the run. */
  readonly zoneLost: boolean;
}

const STEADY: BenchCase = {
  name: 'steady',
  paidLoad: 0.45,
  trialLoad: 0.15,
  shiftedModels: 0,
  reportIntervalMs: 500,
  reportLoss: 0,
  storeSlowdown: 1,
  zoneLost: false,
};

export const CASES: readonly BenchCase[] = [
  STEADY,
  {...STEADY, name: 'demand shift', paidLoad: 0.25, shiftedModels: 4},
  {...STEADY, name: 'trial flood', trialLoad: 1.5},
  {...STEADY, name: 'slow weight store', paidLoad: 0.25, shiftedModels: 4, storeSlowdown: 5},
  {...STEADY, name: 'lagged reports', reportIntervalMs: 4000, reportLoss: 0.3},
  {...STEADY, name: 'zone lost', paidLoad: 0.35, zoneLost: true},
  {
    name: 'all together',
    paidLoad: 0.18,
    trialLoad: 1.5,
    shiftedModels: 4,
    reportIntervalMs: 4000,
    reportLoss: 0.3,
    storeSlowdown: 5,
    zoneLost: true,
  },
];
