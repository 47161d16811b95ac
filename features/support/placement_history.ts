/** Random demand, replica losses and recoveries against the placement planner. */
import fc from 'fast-check';
import {planMoves, type ReplicaState} from '@jasminepost/policy';

const ZONES = 3;
const FLOOR_COPIES = 2;
const SLOTS = 8;
/** Planning rounds within which the planner must reach a stable placement. */
const SETTLE_ROUNDS = 60;
const MOVE_BUDGET = 4;

export interface PlacementOutcome {
  memoryOvercommits: number;
  lastCopyRemoved: number;
  floorsMissed: number;
  unreachableAfterZoneLoss: number;
  settledChecks: number;
}

type Step =
  | {readonly kind: 'demand'; readonly model: number; readonly erlangs: number}
  | {readonly kind: 'lose'; readonly replica: number}
  | {readonly kind: 'recover'; readonly replica: number}
  | {readonly kind: 'plan'}
  | {readonly kind: 'settle'};

interface Sizes {
  readonly replicas: number;
  readonly capacity: number;
  readonly models: number;
}

interface SimulatedReplica {
  readonly planned: Set<string>;
  readonly ready: Set<string>;
  up: boolean;
}

class PlacementHistory {
  private readonly replicas: SimulatedReplica[];
  private readonly erlangs: number[];
  private nowMs = 0;

  constructor(
    private readonly sizes: Sizes,
    private readonly outcome: PlacementOutcome,
  ) {
    this.replicas = Array.from({length: sizes.replicas}, () => ({
      planned: new Set<string>(),
      ready: new Set<string>(),
      up: true,
    }));
    this.erlangs = Array<number>(sizes.models).fill(0);
    this.settle();
  }

  run(step: Step): void {
    switch (step.kind) {
      case 'demand':
        this.erlangs[step.model % this.sizes.models] = step.erlangs;
        return;
      case 'lose':
        this.lose(step.replica % this.sizes.replicas);
        return;
      case 'recover':
        this.replicas[step.replica % this.sizes.replicas].up = true;
        return;
      case 'plan':
        this.plan();
        return;
      case 'settle':
        this.settle();
    }
  }

  private lose(index: number): void {
    const replica = this.replicas[index];
    replica.up = false;
    replica.planned.clear();
    replica.ready.clear();
  }

  /** Runs one planning round; copies added in earlier rounds become ready. */
  private plan(): void {
    this.nowMs += 1000;
    for (const replica of this.replicas)
      for (const name of replica.planned) replica.ready.add(name);
    const moves = planMoves({
      replicas: this.replicas.map((holder, index) => this.stateOf(holder, index)),
      models: this.erlangs.map((erlangs, model) => ({
        name: `m${model}`,
        sizeMiB: 1,
        floor: FLOOR_COPIES,
        erlangs,
        movedMs: Number.NEGATIVE_INFINITY,
      })),
      nowMs: this.nowMs,
      moveBudget: MOVE_BUDGET,
      minGain: 0.02,
      cooldownMs: 0,
    });
    for (const move of moves) {
      const replica = this.replicas[Number(move.replica)];
      if (move.kind === 'add') {
        replica.planned.add(move.model);
        continue;
      }
      replica.planned.delete(move.model);
      const wasReady = replica.ready.delete(move.model);
      if (wasReady && !this.isReady(move.model, () => true)) this.outcome.lastCopyRemoved += 1;
    }
    for (const replica of this.replicas) {
      if (replica.planned.size > this.sizes.capacity) this.outcome.memoryOvercommits += 1;
    }
  }

  private settle(): void {
    for (let round = 0; round < SETTLE_ROUNDS; round++) this.plan();
    if (!this.replicas.every(replica => replica.up)) return;
    this.outcome.settledChecks += 1;
    for (let model = 0; model < this.sizes.models; model++) this.checkFloor(`m${model}`);
  }

  private checkFloor(model: string): void {
    const zones = new Set<number>();
    this.replicas.forEach((replica, index) => {
      if (replica.ready.has(model)) zones.add(index % ZONES);
    });
    if (zones.size < FLOOR_COPIES) this.outcome.floorsMissed += 1;
    for (let lostZone = 0; lostZone < ZONES; lostZone++) {
      const isElsewhere = this.isReady(model, index => index % ZONES !== lostZone);
      if (!isElsewhere) this.outcome.unreachableAfterZoneLoss += 1;
    }
  }

  private isReady(model: string, counts: (index: number) => boolean): boolean {
    return this.replicas.some((replica, index) => counts(index) && replica.ready.has(model));
  }

  private stateOf(replica: SimulatedReplica, index: number): ReplicaState {
    return {
      id: String(index),
      zone: `zone-${index % ZONES}`,
      capacityMiB: this.sizes.capacity,
      slots: SLOTS,
      planned: new Set(replica.planned),
      ready: new Set(replica.ready),
      available: replica.up,
    };
  }
}

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('demand' as const),
      model: fc.nat(100),
      erlangs: fc.double({min: 0, max: 30, noNaN: true}),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({kind: fc.constant('lose' as const), replica: fc.nat(100)}),
  },
  {
    weight: 3,
    arbitrary: fc.record({kind: fc.constant('recover' as const), replica: fc.nat(100)}),
  },
  {weight: 4, arbitrary: fc.record({kind: fc.constant('plan' as const)})},
  {weight: 1, arbitrary: fc.record({kind: fc.constant('settle' as const)})},
);

/** Runs random histories from a fixed seed and sums their outcomes. */
export function runPlacementHistories(
  runs: number,
  steps: number,
  seed: number,
  sizes: Sizes,
): PlacementOutcome {
  const outcome: PlacementOutcome = {
    memoryOvercommits: 0,
    lastCopyRemoved: 0,
    floorsMissed: 0,
    unreachableAfterZoneLoss: 0,
    settledChecks: 0,
  };
  const histories = fc.array(stepArbitrary, {minLength: steps, maxLength: steps});
  fc.assert(
    fc.property(histories, history => {
      const placementHistory = new PlacementHistory(sizes, outcome);
      for (const step of history) placementHistory.run(step);
    }),
    {numRuns: runs, seed},
  );
  return outcome;
}
