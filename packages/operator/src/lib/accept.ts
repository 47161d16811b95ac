/** Activates a reviewed declaration with one conditional write. */
import {newId, PlatformError} from '@jasminepost/core';
import type {KeyValueClient, KeyValueEntry} from '@jasminepost/key_value';
import {CONFIG_KEY, encodeConfig, parseConfig, type ConfigDocument} from './config_document.ts';
import type {Declaration} from './declaration.ts';

const MAX_READ_BACKS = 3;

/** @public */
export type AcceptOutcome =
  | {readonly kind: 'accepted'; readonly document: ConfigDocument}
  /** A concurrent change was accepted first; `winner` is the active config. */
  | {readonly kind: 'lost_race'; readonly winner: ConfigDocument | undefined}
  | {readonly kind: 'not_accepted'; readonly error: string}
  /** The write may have been applied; `changeId` identifies it later. */
  | {readonly kind: 'unknown'; readonly changeId: string; readonly error: string};

/**
 * Accepts `declaration` as the successor of the reviewed generation.
 *
 * @param expectGeneration - Generation against which it was reviewed; 0 when there was none.
 * @example
 * const outcome = await acceptDeclaration(kv, declaration, 41, 'ops@kowhai', Date.now());
 * @public
 */
export async function acceptDeclaration(
  kv: KeyValueClient,
  declaration: Declaration,
  expectGeneration: number,
  author: string,
  wallMs: number,
): Promise<AcceptOutcome> {
  const changeId = newId('chg');
  const generation = expectGeneration + 1;
  const text = encodeConfig({generation, changeId, author, acceptedWallMs: wallMs, declaration});
  try {
    const current = await kv.get(CONFIG_KEY);
    const active = decodeEntry(current);
    if ((active?.generation ?? 0) !== expectGeneration) {
      return {kind: 'lost_race', winner: active};
    }
    const outcome = await kv.write(CONFIG_KEY, text, current?.version ?? 0);
    return outcome.kind === 'written'
      ? {kind: 'accepted', document: decodeText(text)}
      : {kind: 'lost_race', winner: decodeEntry(outcome.entry)};
  } catch (thrown) {
    if (!(thrown instanceof PlatformError)) throw thrown;
    if (thrown.fault !== 'unknown_outcome') return {kind: 'not_accepted', error: thrown.message};
    return resolveUnknownOutcome(kv, text, changeId, generation, thrown.message);
  }
}

/** Reads the config back after a lost response; its change id shows whose write was applied. */
async function resolveUnknownOutcome(
  kv: KeyValueClient,
  text: string,
  changeId: string,
  generation: number,
  error: string,
): Promise<AcceptOutcome> {
  for (let i = 0; i < MAX_READ_BACKS; i++) {
    try {
      const found = decodeEntry(await kv.get(CONFIG_KEY));
      if (found?.changeId === changeId) return {kind: 'accepted', document: decodeText(text)};
      if ((found?.generation ?? 0) >= generation) return {kind: 'lost_race', winner: found};
    } catch (thrown) {
      if (!(thrown instanceof PlatformError)) throw thrown;
    }
  }
  return {kind: 'unknown', changeId, error};
}

function decodeEntry(entry: KeyValueEntry | null): ConfigDocument | undefined {
  return entry === null ? undefined : decodeText(entry.value);
}

function decodeText(text: string): ConfigDocument {
  const parsed = parseConfig(text);
  if (!parsed.ok)
    throw new PlatformError('rejected', `active configuration is malformed: ${parsed.error}`);
  return parsed.value;
}
