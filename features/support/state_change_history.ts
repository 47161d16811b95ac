/** Random series of engine states, sent as differences. */
import fc from 'fast-check';
import {diffEngineState, applyEngineChange, type EngineStateMessage} from '@jasminepost/mesh';

export interface StateChangeHistory {
  series: number;
  /** Series after which the receiver's state differed from the sender's. */
  mismatches: number;
  /** Size of a change to the adapters of one model; `fullStateBytes` is that of the whole state. */
  readonly adapterChangeBytes: number;
  readonly fullStateBytes: number;
}

const modelName = fc.constantFrom('draft', 'summary', 'rare', 'digest');
const modelNames = fc.uniqueArray(modelName);
const modelsArbitrary = fc.uniqueArray(modelName).chain(held =>
  fc.tuple(
    ...held.map(model =>
      fc.record({
        name: fc.constant(model),
        adapters: fc.uniqueArray(fc.constantFrom('a1', 'a2')),
      }),
    ),
  ),
);
const stateArbitrary: fc.Arbitrary<EngineStateMessage> = fc.record({
  type: fc.constant('engine_state' as const),
  limitPerS: fc.constantFrom(0, 0.05, 1.5),
  up: fc.boolean(),
  leaving: fc.boolean(),
  bornMs: fc.nat({max: 2}),
  models: modelsArbitrary,
  moving: fc.constantFrom('', 'rare'),
  inMemory: modelNames,
  onDisk: modelNames,
  term: fc.nat({max: 2}),
  closed: fc.nat({max: 2}),
  loadsBeganMs: fc.constant([]),
});

export function runStateChanges(runs: number, seed: number): StateChangeHistory {
  const outcome = {series: 0, mismatches: 0, ...measureSizes()};
  fc.assert(
    fc.property(fc.array(stateArbitrary, {minLength: 2, maxLength: 8}), states => {
      let received = states[0];
      states.slice(1).forEach((after, index) => {
        const change = diffEngineState(states[index], after, false);
        if (change !== undefined) received = applyEngineChange(received, change);
      });
      outcome.series += 1;
      if (toSortedText(received) !== toSortedText(states[states.length - 1]))
        outcome.mismatches += 1;
    }),
    {seed, numRuns: runs},
  );
  return outcome;
}

function toSortedText(state: EngineStateMessage): string {
  const sorted = [...state.models].sort((a, b) => a.name.localeCompare(b.name));
  const fields = Object.entries({...state, models: sorted});
  return JSON.stringify(fields.sort(([a], [b]) => a.localeCompare(b)));
}

function measureSizes(): {adapterChangeBytes: number; fullStateBytes: number} {
  const adapters = Array.from({length: 8}, (_, index) => `a${index}`);
  const held = ['m0', 'm1', 'm2'].map(model => `long-model-name-${model}`);
  const before: EngineStateMessage = {
    type: 'engine_state',
    limitPerS: 0,
    up: true,
    leaving: false,
    bornMs: 1_771_346_763_363,
    models: held.map(model => ({name: model, adapters: []})),
    moving: '',
    inMemory: [],
    onDisk: held.flatMap(model => [model, `${model}-old`]),
    term: 1,
    closed: 7,
    loadsBeganMs: [],
  };
  const after = {...before, models: [{name: held[0], adapters}, ...before.models.slice(1)]};
  return {
    adapterChangeBytes: JSON.stringify(diffEngineState(before, after, false)).length,
    fullStateBytes: JSON.stringify(after).length,
  };
}
