/** Memory and adapter slots of one replica. */

interface LoadedWeights {
  readonly models: ReadonlyArray<{readonly name: string; readonly adapters: readonly string[]}>;
  /** Adapters that are being loaded, as `model/adapter`. */
  readonly incoming: readonly string[];
}

interface WeightSizes {
  readonly models: ReadonlyMap<string, {readonly weightsMb: number; readonly adapterMb: number}>;
  readonly weightsMb: number;
}

/** An adapter that was used this recently may have requests in flight. */
const ADAPTER_IN_USE_MS = 400;

/**
 * Memory that a replica's weights occupy, including those being loaded. A model of unknown size is
 * charged with all of the memory.
 *
 * @param changingModel - Model that is being loaded or unloaded; empty when none is.
 * @example
 * if (chargedMb(report, spec, '') + model.weightsMb <= spec.weightsMb) load(model);
 * @public
 */
export function chargedMb(
  loaded: LoadedWeights,
  sizes: WeightSizes,
  changingModel: string,
): number {
  let total = 0;
  const names = new Set(loaded.models.map(model => model.name));
  if (changingModel !== '') names.add(changingModel);
  for (const name of names) total += sizes.models.get(name)?.weightsMb ?? sizes.weightsMb;
  for (const {name, adapters} of loaded.models) {
    total += adapters.length * (sizes.models.get(name)?.adapterMb ?? sizes.weightsMb);
  }
  for (const key of loaded.incoming) {
    const model = key.slice(0, key.indexOf('/'));
    total += sizes.models.get(model)?.adapterMb ?? sizes.weightsMb;
  }
  return total;
}

/**
 * Chooses the least recently used adapter; undefined when all are in use. With many adapters and
 * few slots, those that are requested repeatedly stay loaded.
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
