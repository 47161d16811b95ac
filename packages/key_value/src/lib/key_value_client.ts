/** Client of the platform's key-value service; see docs/contracts/key_value.md. */
import * as z from 'zod';
import {PlatformError, type CounterFamily} from '@jasminepost/core';
import type {KeyValueStore, StoredEntry, WriteOutcome} from './key_value_store.ts';
import {StoreHttpClient, type StoreCallOptions} from './store_http_client.ts';

const CONNECTION_LIMITS = {connections: 4, connectTimeoutMs: 1000, responseTimeoutMs: 2000};
/** Added to the duration of a watch so that the service responds before the timeout. */
const WATCH_GRACE_MS = 2000;

const entrySchema = z.object({
  key: z.string(),
  value: z.string(),
  version: z.number().int().positive(),
});
const entryReply = z.object({entry: entrySchema.nullable()});
const listReply = z.object({entries: z.array(entrySchema)});
const writeReply = z.object({version: z.number()});
const leaseReply = z.object({leaseId: z.string()});

/** @public */
export type KeyValueEntry = StoredEntry;

/** Kinds of calls, counted separately. @public */
export type KeyValueCall = 'get' | 'list' | 'write' | 'lease' | 'renew' | 'watch';

interface Reply {
  readonly status: number;
  readonly body: unknown;
}

/**
 * Every call may throw PlatformError: `unavailable` when it certainly had no effect,
 * `unknown_outcome` when a write may have been applied, `rejected` on a malformed call.
 *
 * @public
 */
export class KeyValueClient implements KeyValueStore {
  /** The service never loses acknowledged writes. */
  readonly era = 0;
  readonly wasRestored = false;
  private readonly connection: StoreHttpClient<KeyValueCall>;

  constructor(baseUrl: string, calls: CounterFamily<KeyValueCall>) {
    this.connection = new StoreHttpClient(baseUrl, calls, CONNECTION_LIMITS);
  }

  /** Reads one key. */
  async get(key: string): Promise<KeyValueEntry | null> {
    const reply = await this.call('get', 'GET', `/v1/kv?key=${encodeURIComponent(key)}`);
    return entryReply.parse(reply.body).entry;
  }

  /** Reads all keys that begin with `prefix`. */
  async list(prefix: string): Promise<KeyValueEntry[]> {
    const reply = await this.call('list', 'GET', `/v1/kv?prefix=${encodeURIComponent(prefix)}`);
    return listReply.parse(reply.body).entries;
  }

  /**
   * Writes a key if its version still is `expectVersion` (0: the key is absent).
   *
   * @example
   * const outcome = await kv.write('config/current', text, entry.version);
   */
  async write(
    key: string,
    value: string,
    expectVersion: number,
    leaseId = '',
  ): Promise<WriteOutcome> {
    const path = `/v1/kv?key=${encodeURIComponent(key)}`;
    const reply = await this.call('write', 'PUT', path, {value, expectVersion, leaseId});
    if (reply.status === 409) {
      return {kind: 'conflict', entry: entryReply.parse(reply.body).entry};
    }
    return {kind: 'written', version: writeReply.parse(reply.body).version};
  }

  /** Creates a lease; its keys are deleted `ttlMs` after the last renewal. */
  async createLease(ttlMs: number): Promise<string> {
    const reply = await this.call('lease', 'POST', '/v1/leases', {ttlMs});
    return leaseReply.parse(reply.body).leaseId;
  }

  /** Renews a lease; false when it has expired. */
  async renewLease(leaseId: string): Promise<boolean> {
    const path = `/v1/leases/${encodeURIComponent(leaseId)}/renew`;
    return (await this.call('renew', 'POST', path, {})).status !== 404;
  }

  /**
   * Waits until the key's version differs from `seenVersion`.
   *
   * @returns The entry, or undefined when nothing changed within `waitMs`.
   */
  async watch(
    key: string,
    seenVersion: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<KeyValueEntry | null | undefined> {
    const path = `/v1/watch?key=${encodeURIComponent(key)}&seen=${seenVersion}&waitMs=${waitMs}`;
    const reply = await this.call('watch', 'GET', path, undefined, {
      responseTimeoutMs: waitMs + WATCH_GRACE_MS,
      signal,
      isLongRunning: true,
    });
    return reply.status === 204 ? undefined : entryReply.parse(reply.body).entry;
  }

  async close(): Promise<void> {
    await this.connection.close();
  }

  private async call(
    kind: KeyValueCall,
    method: 'GET' | 'PUT' | 'POST',
    path: string,
    body?: object,
    limits?: StoreCallOptions,
  ): Promise<Reply> {
    const {status, text} = await this.connection.call(kind, method, path, body, limits);
    if (status === 400) throw new PlatformError('rejected', `${kind} ${path}: ${text}`);
    return {status, body: text === '' ? undefined : (JSON.parse(text) as unknown)};
  }
}
