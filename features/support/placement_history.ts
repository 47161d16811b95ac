/** Random histories of demand, losses and returns against the placement planner. */
import fc from 'fast-check';
import {planMoves, type ReplicaState} from '@jasminepost/policy';

const ZONES = 3;
const FLOOR = 2;
const SLOTS = 8;
/** Planning rounds after which the planner must have come to rest. */
const REST_ROUNDS = 60;
const BUDGET = 4;

export interface PlacementOutcome {
  overMemory: number;
  lastCopyRemoved: number;
  floorsMissed: number;
  unreachableAfterZoneLoss: number;
  rests: number;
}

type Step =
  | {readonly kind: 'demand'; readonly model: number; readonly erlangs: number}
  | {readonly kind: 'lose'; readonly replica: number}
  | {readonly kind: 'return'; readonly replica: number}
  | {readonly kind: 'plan'}
  | {readonly kind: 'rest'};

interface Sizes {
  readonly replicas: number;
  readonly room: number;
  readonly models: number;
}

interface Holder {
  readonly planned: Set<string>;
  readonly ready: Set<string>;
  up: boolean;
}

class PlacementHistory {
  private readonly holders: Holder[];
  private readonly erlangs: number[];
  private nowMs = 0;

  constructor(
    private readonly sizes: Sizes,
    private readonly outcome: PlacementOutcome,
  ) {
    this.holders = Array.from({length: sizes.replicas}, () => ({
      planned: new Set<string>(),
      ready: new Set<string>(),
      up: true,
    }));
    this.erlangs = Array<number>(sizes.models).fill(0);
    this.rest();
  }

  run(step: Step): void {
    switch (step.kind) {
      case 'demand':
        this.erlangs[step.model % this.sizes.models] = step.erlangs;
        return;
      case 'lose':
        this.lose(step.replica % this.sizes.replicas);
        return;
      case 'return':
        this.holders[step.replica % this.sizes.replicas].up = true;
        return;
      case 'plan':
        this.plan();
        return;
      case 'rest':
        this.rest();
    }
  }

  private lose(index: number): void {
    const holder = this.holders[index];
    holder.up = false;
    holder.planned.clear();
    holder.ready.clear();
  }

  /** One round; copies that were added earlier become ready. */
  private plan(): void {
    this.nowMs += 1000;
    for (const holder of this.holders) for (const name of holder.planned) holder.ready.add(name);
    const moves = planMoves({
      replicas: this.holders.map((holder, index) => this.stateOf(holder, index)),
      models: this.erlangs.map((erlangs, model) => ({
        name: `m${model}`,
        sizeMiB: 1,
        floor: FLOOR,
        erlangs,
        movedMs: Number.NEGATIVE_INFINITY,
      })),
      nowMs: this.nowMs,
      moveBudget: BUDGET,
      minGain: 0.02,
      cooldownMs: 0,
    });
    for (const move of moves) {
      const holder = this.holders[Number(move.replica)];
      if (move.kind === 'add') {
        holder.planned.add(move.model);
        continue;
      }
      holder.planned.delete(move.model);
      const wasReady = holder.ready.delete(move.model);
      if (wasReady && !this.isReady(move.model, () => true)) this.outcome.lastCopyRemoved += 1;
    }
    for (const holder of this.holders) {
      if (holder.planned.size > this.sizes.room) this.outcome.overMemory += 1;
    }
  }

  private rest(): void {
    for (let round = 0; round < REST_ROUNDS; round++) this.plan();
    if (!this.holders.every(holder => holder.up)) return;
    this.outcome.rests += 1;
    for (let model = 0; model < this.sizes.models; model++) this.checkFloor(`m${model}`);
  }

  private checkFloor(model: string): void {
    const zones = new Set<number>();
    this.holders.forEach((holder, index) => {
      if (holder.ready.has(model)) zones.add(index % ZONES);
    });
    if (zones.size < FLOOR) this.outcome.floorsMissed += 1;
    for (let lost = 0; lost < ZONES; lost++) {
      const elsewhere = this.isReady(model, index => index % ZONES !== lost);
      if (!elsewhere) this.outcome.unreachableAfterZoneLoss += 1;
    }
  }

  private isReady(model: string, counts: (index: number) => boolean): boolean {
    return this.holders.some((holder, index) => counts(index) && holder.ready.has(model));
  }

  private stateOf(holder: Holder, index: number): ReplicaState {
    return {
      id: String(index),
      zone: `zone-${index % ZONES}`,
      capacityMiB: this.sizes.room,
      slots: SLOTS,
      planned: new Set(holder.planned),
      ready: new Set(holder.ready),
      available: holder.up,
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
    arbitrary: fc.record({kind: fc.constant('return' as const), replica: fc.nat(100)}),
  },
  {weight: 4, arbitrary: fc.record({kind: fc.constant('plan' as const)})},
  {weight: 1, arbitrary: fc.record({kind: fc.constant('rest' as const)})},
);

/** Runs histories from a fixed seed and adds up what happened. */
export function runPlacementHistories(
  runs: number,
  steps: number,
  seed: number,
  sizes: Sizes,
): PlacementOutcome {
  const outcome: PlacementOutcome = {
    overMemory: 0,
    lastCopyRemoved: 0,
    floorsMissed: 0,
    unreachableAfterZoneLoss: 0,
    rests: 0,
  };
  const histories = fc.array(stepArbitrary, {minLength: steps, maxLength: steps});
  fc.assert(
    fc.property(histories, history => {
      const run = new PlacementHistory(sizes, outcome);
      for (const step of history) run.run(step);
    }),
    {numRuns: runs, seed},
  );
  return outcome;
}
