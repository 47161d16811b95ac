/** Random changes of replicas against the index of which of them hold which model. */
import fc from 'fast-check';
import {createLogger, SystemClock} from '@jasminepost/core';
import type {EngineStateMessage} from '@jasminepost/mesh';
import {ReplicaTable} from '../../apps/gateway/src/lib/replica_table.ts';

export interface HolderHistory {
  histories: number;
  /** Questions that the index answered otherwise than a look at every replica. */
  wrong: number;
  /** Questions with at least one holder. */
  found: number;
}

type Change =
  | {kind: 'listed'; id: number; draining: boolean; born: number; models: string[]}
  | {kind: 'removed'; id: number}
  | {kind: 'told'; id: number; up: boolean; born: number; models: string[]}
  | {kind: 'lost'; id: number}
  | {kind: 'displaced'; id: number};

const IDS = 4;
const MODELS = ['m0', 'm1', 'm2'];
const SERVICE = 'models';
const FIRST_PORT = 7000;

const id = fc.nat({max: IDS - 1});
const born = fc.integer({min: 1, max: 2});
const models = fc.uniqueArray(fc.constantFrom(...MODELS));
const change: fc.Arbitrary<Change> = fc.oneof(
  fc.record({kind: fc.constant('listed' as const), id, draining: fc.boolean(), born, models}),
  fc.record({kind: fc.constant('removed' as const), id}),
  fc.record({kind: fc.constant('told' as const), id, up: fc.boolean(), born, models}),
  fc.record({kind: fc.constant('lost' as const), id}),
  fc.record({kind: fc.constant('displaced' as const), id}),
);

export function runHolderHistories(runs: number, seed: number): HolderHistory {
  const outcome: HolderHistory = {histories: 0, wrong: 0, found: 0};
  fc.assert(
    fc.property(fc.array(change, {minLength: 1, maxLength: 20}), changes => {
      const table = newTable();
      for (const made of changes) {
        make(table, made);
        check(table, outcome);
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

function make(table: ReplicaTable, made: Change): void {
  const name = `i-${made.id}`;
  const key = `servers/${name}`;
  const replica = table.replicas.get(name);
  switch (made.kind) {
    case 'listed': {
      const entry = {
        service: SERVICE,
        address: `127.0.0.1:${FIRST_PORT + made.id}`,
        zone: 'a',
        slots: 8,
        state: made.draining ? 'draining' : 'ready',
        born: made.born,
        models: made.models.map(model => ({name: model, adapters: []})),
      };
      table.applyChange({key, revision: 1, value: JSON.stringify(entry)}, false);
      return;
    }
    case 'removed':
      table.applyChange({key, revision: 1, value: undefined}, false);
      return;
    case 'told':
      if (replica !== undefined) replica.state = accountOf(made);
      return;
    case 'lost':
      if (replica !== undefined) replica.state = undefined;
      return;
    case 'displaced':
      if (replica !== undefined) replica.addressReassigned = true;
      return;
  }
}

function accountOf(made: {up: boolean; born: number; models: string[]}): EngineStateMessage {
  return {
    type: 'engine_state',
    limitPerS: 0,
    leaving: false,
    up: made.up,
    bornMs: made.born,
    models: made.models.map(model => ({name: model, adapters: []})),
    moving: '',
    inMemory: [],
    onDisk: [],
    term: 0,
    closed: 0,
    loadsBeganMs: [],
  };
}

function check(table: ReplicaTable, outcome: HolderHistory): void {
  for (const model of MODELS) {
    const wanted = [...table.replicas.values()].filter(
      replica => replica.usable && replica.hasLoaded(model, ''),
    );
    const found = table.withModel(SERVICE, model);
    if (found.length > 0) outcome.found += 1;
    const isSame = wanted.length === found.length && wanted.every(each => found.includes(each));
    if (!isSame) outcome.wrong += 1;
  }
}
