/** Settings of the entry. */
import {checkDuration, checkHostPort, type HostPort} from '@jasminepost/core';

/** @internal */
export const ENTRY_SETTINGS = {
  id: {flag: 'id', help: 'Name of this instance'},
  zone: {flag: 'zone', help: 'Availability zone of this instance'},
  listen: {flag: 'listen', help: 'host:port for callers', fallback: '127.0.0.1:8080'},
  admin: {flag: 'admin', help: 'host:port for health and metrics', fallback: '127.0.0.1:8081'},
  mesh: {flag: 'mesh', help: 'host:port for operators and peers', fallback: '127.0.0.1:8082'},
  keyValueUrl: {flag: 'key-value-url', help: 'URL of the key-value service'},
  instanceListUrl: {flag: 'instance-list-url', help: 'URL of the instance list'},
  meshKey: {flag: 'mesh-key', help: 'Key shared by all processes', secret: true},
  logLevel: {flag: 'log-level', help: 'error, warn, info or debug', fallback: 'info'},
  listIntervalMs: {
    flag: 'list-interval-ms',
    help: 'Time between reads of the instance list',
    fallback: '1000',
  },
  watchMs: {flag: 'watch-ms', help: 'Length of one key-value watch', fallback: '5000'},
  crossZoneUs: {
    flag: 'cross-zone-us',
    help: 'Round trip to another availability zone, microseconds',
    fallback: '500',
  },
  maxBodyBytes: {flag: 'max-body-bytes', help: 'Largest request body', fallback: '8388608'},
  timeoutMs: {flag: 'timeout-ms', help: 'Time for a request that names none', fallback: '600000'},
  drainNoticeMs: {
    flag: 'drain-notice-ms',
    help: 'Time that new requests are still taken after SIGTERM',
    fallback: '5000',
  },
  claimWindowMs: {
    flag: 'claim-window-ms',
    help: 'Time that an idempotency key is remembered',
    fallback: '86400000',
  },
} as const;

type Raw = Readonly<Record<keyof typeof ENTRY_SETTINGS, string>>;

/** @internal */
export interface EntrySettings {
  readonly id: string;
  readonly zone: string;
  readonly listen: HostPort;
  readonly admin: HostPort;
  readonly mesh: HostPort;
  readonly keyValueUrl: string;
  readonly instanceListUrl: string;
  readonly meshKey: string;
  readonly logLevel: string;
  readonly listIntervalMs: number;
  readonly watchMs: number;
  readonly crossZoneMs: number;
  readonly maxBodyBytes: number;
  readonly timeoutMs: number;
  readonly drainNoticeMs: number;
  readonly claimWindowMs: number;
}

const HOUR_MS = 3_600_000;

/** Checks the settings. @throws SettingsError naming the flag. @internal */
export function checkEntrySettings(raw: Raw): EntrySettings {
  return {
    id: raw.id,
    zone: raw.zone,
    listen: checkHostPort('listen', raw.listen),
    admin: checkHostPort('admin', raw.admin),
    mesh: checkHostPort('mesh', raw.mesh),
    keyValueUrl: raw.keyValueUrl,
    instanceListUrl: raw.instanceListUrl,
    meshKey: raw.meshKey,
    logLevel: raw.logLevel,
    listIntervalMs: checkDuration('list-interval-ms', raw.listIntervalMs, 50, 60_000),
    watchMs: checkDuration('watch-ms', raw.watchMs, 100, 60_000),
    crossZoneMs: checkDuration('cross-zone-us', raw.crossZoneUs, 0, 1_000_000) / 1000,
    maxBodyBytes: checkDuration('max-body-bytes', raw.maxBodyBytes, 1, 15 * 1024 * 1024),
    timeoutMs: checkDuration('timeout-ms', raw.timeoutMs, 1, 24 * HOUR_MS),
    drainNoticeMs: checkDuration('drain-notice-ms', raw.drainNoticeMs, 0, HOUR_MS),
    claimWindowMs: checkDuration('claim-window-ms', raw.claimWindowMs, 1000, 30 * 24 * HOUR_MS),
  };
}
