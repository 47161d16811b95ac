/** Finds the organisation that a caller's key belongs to. */
import {sha256Hex} from '@jasminepost/core';
import type {Organisation} from './fleet_config.ts';

/** Whom a key identifies, or why it identifies nobody. @public */
export type KeyLookup =
  | {readonly kind: 'found'; readonly organisation: Organisation}
  | {readonly kind: 'unknown'}
  | {readonly kind: 'shared'};

const UNKNOWN: KeyLookup = {kind: 'unknown'};
const SHARED: KeyLookup = {kind: 'shared'};

/**
 * Keys of all organisations, by digest, so that neither the time of a lookup nor the memory for a
 * key depends on the keys themselves. Built once per configuration.
 *
 * @public
 */
export class OrganisationDirectory {
  private readonly byDigest = new Map<string, KeyLookup>();
  private readonly sharing = new Set<string>();

  constructor(organisations: readonly Organisation[]) {
    for (const organisation of organisations) {
      for (const key of organisation.apiKeys) this.add(key, organisation);
    }
  }

  /** Names of organisations with a key that another one has, too; such keys identify nobody. */
  get organisationsWithSharedKeys(): readonly string[] {
    return [...this.sharing];
  }

  /**
   * Looks up a key. Takes the same time for any number of keys.
   *
   * @param key - As text or as the bytes that a caller sent, which are compared with UTF-8.
   * @example
   * const found = directory.find('ep-7');
   * if (found.kind === 'found') serve(found.organisation);
   */
  find(key: string | Uint8Array): KeyLookup {
    return this.byDigest.get(sha256Hex(key)) ?? UNKNOWN;
  }

  private add(key: string, organisation: Organisation): void {
    const digest = sha256Hex(key);
    const earlier = this.byDigest.get(digest);
    if (earlier === undefined) {
      this.byDigest.set(digest, {kind: 'found', organisation});
      return;
    }
    if (earlier.kind === 'found') {
      if (earlier.organisation === organisation) return;
      this.sharing.add(earlier.organisation.name);
    }
    this.sharing.add(organisation.name);
    this.byDigest.set(digest, SHARED);
  }
}
