/** Command-line settings of the entry. */
import {
  parseDaemonSettings,
  DAEMON_SETTINGS,
  type DaemonSettings,
  parseBoundedInteger,
  parseHostPort,
  type HostPort,
} from '@jasminepost/core';

/** @internal */
export const ENTRY_SETTINGS = {
  ...DAEMON_SETTINGS,
  listen: {
    flag: 'listen',
    help: 'host:port on which callers are served',
    fallback: '127.0.0.1:8080',
  },
  admin: {
    flag: 'admin',
    help: 'host:port for health checks and metrics',
    fallback: '127.0.0.1:8081',
  },
  mesh: {
    flag: 'mesh',
    help: 'host:port for mesh links from operators and peers',
    fallback: '127.0.0.1:8082',
  },
  crossZoneUs: {
    flag: 'cross-zone-us',
    help: 'Round trip to another availability zone, in microseconds',
    fallback: '500',
  },
  maxBodyBytes: {
    flag: 'max-body-bytes',
    help: 'Largest request body, in bytes',
    fallback: '8388608',
  },
  timeoutMs: {
    flag: 'timeout-ms',
    help: 'Deadline of a request that sets none, in ms',
    fallback: '600000',
  },
  drainNoticeMs: {
    flag: 'drain-notice-ms',
    help: 'Time for which new requests are still accepted after SIGTERM, in ms',
    fallback: '5000',
  },
} as const;

type RawSettings = Readonly<Record<keyof typeof ENTRY_SETTINGS, string>>;

/** @internal */
export interface EntrySettings extends DaemonSettings {
  readonly listen: HostPort;
  readonly crossZoneMs: number;
  readonly maxBodyBytes: number;
  readonly timeoutMs: number;
  readonly drainNoticeMs: number;
}

const HOUR_MS = 3_600_000;

/** Parses and checks the settings. @throws SettingsError naming the malformed flag. @internal */
export function parseEntrySettings(raw: RawSettings): EntrySettings {
  return {
    ...parseDaemonSettings(raw),
    listen: parseHostPort('listen', raw.listen),
    crossZoneMs: parseBoundedInteger('cross-zone-us', raw.crossZoneUs, 0, 1_000_000) / 1000,
    maxBodyBytes: parseBoundedInteger('max-body-bytes', raw.maxBodyBytes, 1, 15 * 1024 * 1024),
    timeoutMs: parseBoundedInteger('timeout-ms', raw.timeoutMs, 1, 24 * HOUR_MS),
    drainNoticeMs: parseBoundedInteger('drain-notice-ms', raw.drainNoticeMs, 0, HOUR_MS),
  };
}
