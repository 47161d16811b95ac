/** Random replica changes; compares the index of loaded models with a scan of all replicas. */
import fc from 'fast-check';
import {createLogger, SystemClock} from '@jasminepost/core';
import type {EngineStateMessage} from '@jasminepost/mesh';
import {ReplicaTable} from '../../apps/gateway/src/lib/replica_table.ts';

export interface IndexHistory {
  histories: number;
  /** Look-ups whose result differed from a scan of all replicas. */
  mismatches: number;
  /** Look-ups that found at least one replica. */
  nonEmpty: number;
}

type ReplicaChange =
  | {kind: 'listed'; id: number; draining: boolean; born: number; models: string[]}
  | {kind: 'removed'; id: number}
  | {kind: 'reported'; id: number; up: boolean; born: number; models: string[]}
  | {kind: 'lost'; id: number}
  | {kind: 'reassigned'; id: number};

const IDS = 4;
const MODELS = ['m0', 'm1', 'm2'];
const SERVICE = 'models';
const FIRST_PORT = 7000;

const id = fc.nat({max: IDS - 1});
const born = fc.integer({min: 1, max: 2});
const models = fc.uniqueArray(fc.constantFrom(...MODELS));
const changeArbitrary: fc.Arbitrary<ReplicaChange> = fc.oneof(
  fc.record({kind: fc.constant('listed' as const), id, draining: fc.boolean(), born, models}),
  fc.record({kind: fc.constant('removed' as const), id}),
  fc.record({kind: fc.constant('reported' as const), id, up: fc.boolean(), born, models}),
  fc.record({kind: fc.constant('lost' as const), id}),
  fc.record({kind: fc.constant('reassigned' as const), id}),
);

export function runIndexHistories(runs: number, seed: number): IndexHistory {
  const outcome: IndexHistory = {histories: 0, mismatches: 0, nonEmpty: 0};
  fc.assert(
    fc.property(fc.array(changeArbitrary, {minLength: 1, maxLength: 20}), changes => {
      const table = newTable();
      for (const change of changes) {
        applyChange(table, change);
        compareWithScan(table, outcome);
      }
      table.dispose();
      outcome.histories += 1;
    }),
    {seed, numRuns: runs},
  );
  return outcome;
}

function newTable(): ReplicaTable {
  const ignore = () => undefined;
  const log = createLogger('gateway', 'test', 'error');
  return new ReplicaTable(new SystemClock(), log, {
    onAdded: ignore,
    onRemoved: ignore,
    onChanged: ignore,
  });
}

function applyChange(table: ReplicaTable, change: ReplicaChange): void {
  const name = `i-${change.id}`;
  const key = `servers/${name}`;
  const replica = table.replicas.get(name);
  switch (change.kind) {
    case 'listed': {
      const entry = {
        service: SERVICE,
        address: `127.0.0.1:${FIRST_PORT + change.id}`,
        zone: 'a',
        slots: 8,
        state: change.draining ? 'draining' : 'ready',
        born: change.born,
        models: change.models.map(model => ({name: model, adapters: []})),
      };
      table.applyChange({key, revision: 1, value: JSON.stringify(entry)}, false);
      return;
    }
    case 'removed':
      table.applyChange({key, revision: 1, value: undefined}, false);
      return;
    case 'reported':
      if (replica !== undefined) replica.state = stateOf(change);
      return;
    case 'lost':
      if (replica !== undefined) replica.state = undefined;
      return;
    case 'reassigned':
      if (replica !== undefined) replica.addressReassigned = true;
      return;
  }
}

function stateOf(report: {up: boolean; born: number; models: string[]}): EngineStateMessage {
  return {
    type: 'engine_state',
    limitPerS: 0,
    leaving: false,
    up: report.up,
    bornMs: report.born,
    models: report.models.map(model => ({name: model, adapters: []})),
    moving: '',
    inMemory: [],
    onDisk: [],
    term: 0,
    closed: 0,
    loadsBeganMs: [],
  };
}

function compareWithScan(table: ReplicaTable, outcome: IndexHistory): void {
  for (const model of MODELS) {
    const expected = [...table.replicas.values()].filter(
      replica => replica.usable && replica.hasLoaded(model, ''),
    );
    const found = table.withModel(SERVICE, model);
    if (found.length > 0) outcome.nonEmpty += 1;
    const isSame = expected.length === found.length && expected.every(each => found.includes(each));
    if (!isSame) outcome.mismatches += 1;
  }
}
