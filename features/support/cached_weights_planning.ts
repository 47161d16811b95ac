/** Plans a fleet without demand until the planner makes no more moves. */
import {planEngines, type EnginePlanModel} from '@jasminepost/policy';

const MODELS = 4;
const MODEL_MB = 70;
const MAX_LOADED = 3;
const ROUNDS = 100;
const MAX_STORE_LOADS = 10;

/** Number of replicas, per model, that end with the model loaded or its weights cached on disk. */
export function countReplicasWithWeights(
  replicas: number,
  storeS: number,
  diskS: number,
): number[] {
  const fleet = Array.from({length: replicas}, (_, index) => ({
    id: `r${index}`,
    held: new Set(index < MODELS ? [`m${index}`] : []),
    capacity: Number.POSITIVE_INFINITY,
    pace: 1,
    onDisk: new Set<string>(),
  }));
  for (let round = 0; round < ROUNDS; round++) {
    const moves = planEngines({
      replicas: fleet.map(({id, held, onDisk}) => ({
        id,
        zone: 'a',
        held,
        idle: true,
        loadingModel: '',
        freeMb: (MAX_LOADED - held.size) * MODEL_MB,
        inMemory: new Set<string>(),
        onDisk,
        capacity: Number.POSITIVE_INFINITY,
        pace: 1,
      })),
      models: Array.from({length: MODELS}, (_, index) => modelOf(index, storeS, diskS)),
      availableStoreLoads: MAX_STORE_LOADS,
      maxConcurrentStoreLoads: MAX_STORE_LOADS,
      nowMs: round * 1000,
      isDemandKnown: true,
      isRecentlyLoaded: () => false,
    });
    for (const {replica, load, unload} of moves) {
      const target = fleet.find(({id}) => id === replica)!;
      target.held.add(load);
      target.held.delete(unload);
      target.onDisk.add(load);
    }
  }
  return Array.from(
    {length: MODELS},
    (_, index) =>
      fleet.filter(({held, onDisk}) => held.has(`m${index}`) || onDisk.has(`m${index}`)).length,
  );
}

function modelOf(index: number, storeLoadS: number, diskLoadS: number): EnginePlanModel {
  return {
    name: `m${index}`,
    weightsMb: MODEL_MB,
    adapters: 1,
    storeLoadS,
    diskLoadS,
    memoryLoadS: diskLoadS,
    load: 0,
    waiting: 0,
    lastRequestMs: Number.NEGATIVE_INFINITY,
    lastUrgentRequestMs: Number.NEGATIVE_INFINITY,
  };
}
