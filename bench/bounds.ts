/** Checks the rows of the benchmark against the targets. */
import type {BenchCase, Deployment} from './deployments.ts';
import type {BenchPolicy} from './policies.ts';
import type {RunResult} from './simulation.ts';

const MIN_PAID_ATTAINMENT = 0.99;
const MIN_TRIAL_SHARE_OF_SLACK = 0.9;
const MAX_MOVES_RATIO = 0.5;
/** Attainments that differ by less count as equal. */
const ATTAINMENT_TOLERANCE = 0.002;
/** With this many moves or fewer, the ratio to another policy is not significant. */
const MIN_COMPARED_MOVES = 20;

export interface Row {
  readonly deployment: Deployment;
  readonly benchCase: BenchCase;
  readonly policy: BenchPolicy;
  readonly result: RunResult;
}

/** A target that our policy missed. */
export interface BoundViolation {
  /** Name as KNOWN-RED.txt lists it. */
  readonly name: string;
  readonly text: string;
}

/** All targets that our policy missed. */
export function checkBounds(rows: readonly Row[]): BoundViolation[] {
  return rows
    .filter(row => row.policy.name === 'jasminepost')
    .flatMap(own => {
      const others = rows.filter(
        row => row !== own && row.deployment === own.deployment && row.benchCase === own.benchCase,
      );
      const row = `bench: ${own.deployment.name}, ${own.benchCase.name}`;
      return checkRow(own, others).map(({name, text}) => ({name: `${row}: ${name}`, text}));
    });
}

function checkRow({benchCase, result}: Row, others: readonly Row[]): BoundViolation[] {
  const violations: BoundViolation[] = [];
  const expect = (name: string, holds: boolean, text: string) => {
    if (!holds) violations.push({name, text});
  };
  const paid = result.paidAttainment;
  expect(
    'target',
    paid >= MIN_PAID_ATTAINMENT,
    `paid attainment ${paid.toFixed(4)} below ${MIN_PAID_ATTAINMENT}`,
  );
  const best = others.reduce((a, b) =>
    a.result.paidAttainment >= b.result.paidAttainment ? a : b,
  );
  expect(
    'attainment',
    paid >= best.result.paidAttainment,
    `paid attainment ${paid.toFixed(4)} below ${best.result.paidAttainment.toFixed(4)} of ${best.policy.name}`,
  );
  expect(
    'reachable',
    result.unreachable === 0,
    `${result.unreachable} samples with an unreachable model`,
  );
  expect('memory', result.overMemory === 0, `${result.overMemory} samples over memory`);
  if (benchCase.trialLoad > 1) {
    const share = result.trialShareOfSlack;
    expect(
      'slack',
      share >= MIN_TRIAL_SHARE_OF_SLACK,
      `trial requests got ${share.toFixed(3)} of the slack`,
    );
  }
  const lru = others.find(row => row.policy.placement === 'reactive_lru');
  if (lru !== undefined && lru.result.moves > MIN_COMPARED_MOVES) {
    const isEqualAttainment = paid - lru.result.paidAttainment < ATTAINMENT_TOLERANCE;
    const hasFewMoves = result.moves <= MAX_MOVES_RATIO * lru.result.moves;
    expect(
      'moves',
      hasFewMoves || !isEqualAttainment,
      `${result.moves} moves, reactive LRU ${lru.result.moves}`,
    );
  }
  return violations;
}
