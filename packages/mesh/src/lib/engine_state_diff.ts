/** Differences between successive states of a model replica. */
import type {EngineChangeMessage, EngineStateMessage} from './messages.ts';

/** Fields that a change message carries in full when they differ. */
const REPLACED_FIELDS = [
  'up',
  'leaving',
  'limitPerS',
  'bornMs',
  'moving',
  'inMemory',
  'onDisk',
  'term',
  'closed',
] as const;

/**
 * Computes the change from one state to another. For the most frequent change, an adapter that is
 * loaded or unloaded, it contains that adapter's model only.
 *
 * @param loadsChanged - True when loads have begun since; their times are relative to the message.
 * @returns Undefined when nothing has changed.
 * @example
 * const change = diffEngineState(lastSent, state, false);
 * if (change !== undefined) mesh.broadcast(change);
 * @public
 */
export function diffEngineState(
  before: EngineStateMessage,
  after: EngineStateMessage,
  loadsChanged: boolean,
): EngineChangeMessage | undefined {
  const changedFields = Object.fromEntries(
    REPLACED_FIELDS.filter(field => !isEqual(before[field], after[field])).map(field => [
      field,
      after[field],
    ]),
  );
  const models = after.models.filter(model => {
    const known = before.models.find(found => found.name === model.name);
    return known === undefined || !isEqual(known.adapters, model.adapters);
  });
  const gone = before.models
    .filter(model => !after.models.some(found => found.name === model.name))
    .map(model => model.name);
  if (Object.keys(changedFields).length + models.length + gone.length === 0 && !loadsChanged) {
    return undefined;
  }
  return {
    type: 'engine_change',
    ...changedFields,
    ...(models.length > 0 ? {models} : {}),
    ...(gone.length > 0 ? {gone} : {}),
    ...(loadsChanged ? {loadsBeganMs: after.loadsBeganMs} : {}),
  };
}

/**
 * Returns the state after a change. Changes contain new values, not increments, so that applying
 * one twice is harmless.
 *
 * @public
 */
export function applyEngineChange(
  state: EngineStateMessage,
  change: EngineChangeMessage,
): EngineStateMessage {
  const {models = [], gone = [], ...changedFields} = change;
  const replaced = new Set([...gone, ...models.map(model => model.name)]);
  const kept = state.models.filter(model => !replaced.has(model.name));
  return {...state, ...changedFields, type: 'engine_state', models: [...kept, ...models]};
}

function isEqual(a: unknown, b: unknown): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
