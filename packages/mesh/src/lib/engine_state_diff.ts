/** What has changed of a model replica's state since the message before. */
import type {EngineChangeMessage, EngineStateMessage} from './messages.ts';

/** Fields that a change repeats whole when they differ. */
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
 * Change from one state to another. An adapter that comes or goes is the most frequent one; it
 * names its model only.
 *
 * @param loadsChanged - True when loads have begun since; their times are relative to the sending.
 * @returns Undefined when nothing has changed.
 * @example
 * const change = changeBetween(told, state, false);
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
 * State after a change. Changes name what holds afterwards, so that one that is taken in twice does
 * no harm.
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
