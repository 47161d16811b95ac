/** Memory and adapter places of one model replica. */

interface LoadedWeights {
  readonly models: ReadonlyArray<{readonly name: string; readonly adapters: readonly string[]}>;
  /** Adapters on their way, as `model/adapter`. */
  readonly incoming: readonly string[];
}

interface WeightSizes {
  readonly models: ReadonlyMap<string, {readonly weightsMb: number; readonly adapterMb: number}>;
  readonly weightsMb: number;
}

/** An adapter used this recently may have requests on their way. */
const ADAPTER_IN_USE_MS = 400;

/**
 * Memory that a replica's weights occupy, with what is on its way there. A model of unknown size
 * is charged as all of the memory.
 *
 * @param changingModel - Model that is being loaded or unloaded; empty when none is.
 * @example
 * if (chargedMb(report, spec, '') + model.weightsMb <= spec.weightsMb) load(model);
 * @public
 */
export function chargedMb(held: LoadedWeights, sizes: WeightSizes, changingModel: string): number {
  let total = 0;
  const names = new Set(held.models.map(model => model.name));
  if (changingModel !== '') names.add(changingModel);
  for (const name of names) total += sizes.models.get(name)?.weightsMb ?? sizes.weightsMb;
  for (const {name, adapters} of held.models) {
    total += adapters.length * (sizes.models.get(name)?.adapterMb ?? sizes.weightsMb);
  }
  for (const key of held.incoming) {
    const model = key.slice(0, key.indexOf('/'));
    total += sizes.models.get(model)?.adapterMb ?? sizes.weightsMb;
  }
  return total;
}

/**
 * Adapter that was used longest ago; undefined when all are in use. Answers many adapters on few
 * places: the ones asked for again and again stay.
 *
 * @param lastUsedMs - Monotonic time of the last use of each, as `model/adapter`.
 * @public
 */
export function chooseAdapterToEvict(
  adapters: readonly string[],
  lastUsedMs: ReadonlyMap<string, number>,
  nowMs: number,
): string | undefined {
  let oldest: string | undefined;
  let oldestMs = nowMs - ADAPTER_IN_USE_MS;
  for (const adapter of adapters) {
    const usedMs = lastUsedMs.get(adapter) ?? Number.NEGATIVE_INFINITY;
    if (usedMs < oldestMs) {
      oldestMs = usedMs;
      oldest = adapter;
    }
  }
  return oldest;
}
