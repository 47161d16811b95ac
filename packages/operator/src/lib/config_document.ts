/** Configuration document: a declaration with a monotonically increasing generation. */
import * as z from 'zod';
import {err, errorMessage, ok, sha256Hex, type Result} from '@jasminepost/core';
import {declarationSchema, type Declaration} from './declaration.ts';

/** Key of the active document in the key-value service. @public */
export const CONFIG_KEY = 'config/current';

const documentSchema = z.strictObject({
  generation: z.number().int().positive(),
  /** Identifies the change, so that a write with an unknown outcome can be recognised later. */
  changeId: z.string().min(1),
  author: z.string(),
  acceptedWallMs: z.number(),
  declaration: declarationSchema,
});

/** @public */
export interface ConfigDocument {
  readonly generation: number;
  readonly changeId: string;
  readonly author: string;
  readonly acceptedWallMs: number;
  readonly declaration: Declaration;
  readonly hash: string;
  readonly text: string;
}

/** @public */
export function encodeConfig(document: Omit<ConfigDocument, 'hash' | 'text'>): string {
  return JSON.stringify(documentSchema.parse(document));
}

/** Validates a document received from the key-value service or a peer. @public */
export function parseConfig(text: string): Result<ConfigDocument, string> {
  try {
    return ok({...documentSchema.parse(JSON.parse(text)), hash: sha256Hex(text), text});
  } catch (thrown) {
    return err(errorMessage(thrown));
  }
}
