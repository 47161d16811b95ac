/** Derives what a replica failure may be blamed on: the request, or a part of its prompt. */
import {sha256Hex} from '@jasminepost/core';
import {partKey} from '@jasminepost/policy';

const FINGERPRINT_DIGITS = 24;
/** Longer part ids are replaced by their digest. */
const MAX_PART_ID_LENGTH = 64;

/** Parts of a request that stay the same when it is retried under another id. @internal */
export interface RequestContent {
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
}

/** Keys of prompt parts for `CrashRecord`, each once. @internal */
export function partKeysOf(partIds: readonly string[]): string[] {
  return [...new Set(partIds.map(id => partKey(shorten(id))))];
}

/** Identifies a request across retries by its method, path, and body. @internal */
export function fingerprintOf({method, path, body}: RequestContent): string {
  const digest = sha256Hex(Buffer.concat([Buffer.from(`${method} ${path}\n`), body]));
  return digest.slice(0, FINGERPRINT_DIGITS);
}

function shorten(id: string): string {
  return id.length <= MAX_PART_ID_LENGTH ? id : sha256Hex(id).slice(0, FINGERPRINT_DIGITS);
}
