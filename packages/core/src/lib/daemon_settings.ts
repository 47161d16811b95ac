/** Settings shared by all daemons. */
import {parseBoundedInteger, parseHostPort, type HostPort} from './settings.ts';

const MAX_CLAIM_WINDOW_MS = 30 * 24 * 3_600_000;

/** Specifications of the shared settings; each daemon adds its own. @public */
export const DAEMON_SETTINGS = {
  id: {flag: 'id', help: 'Name of this instance'},
  zone: {flag: 'zone', help: 'Availability zone of this instance'},
  keyValueUrl: {flag: 'key-value-url', help: 'URL of the key-value service'},
  instanceListUrl: {flag: 'instance-list-url', help: 'URL of the instance list'},
  meshKey: {flag: 'mesh-key', help: 'Secret key shared by all processes', secret: true},
  logLevel: {flag: 'log-level', help: 'Log level: error, warn, info or debug', fallback: 'info'},
  listIntervalMs: {
    flag: 'list-interval-ms',
    help: 'Interval between reads of the instance list, in milliseconds',
    fallback: '1000',
  },
  watchMs: {
    flag: 'watch-ms',
    help: 'Duration of one key-value watch, in milliseconds',
    fallback: '5000',
  },
  claimWindowMs: {
    flag: 'claim-window-ms',
    help: 'Time for which an idempotency key is kept, in milliseconds',
    fallback: '86400000',
  },
} as const;

/** @public */
export interface DaemonSettings {
  readonly id: string;
  readonly zone: string;
  readonly admin: HostPort;
  readonly mesh: HostPort;
  readonly keyValueUrl: string;
  readonly instanceListUrl: string;
  readonly meshKey: string;
  readonly logLevel: string;
  readonly listIntervalMs: number;
  readonly watchMs: number;
  readonly claimWindowMs: number;
}

type RawDaemonSettings = Readonly<Record<keyof DaemonSettings, string>>;

/**
 * Parses and validates the settings shared by all daemons.
 *
 * @throws SettingsError that names the flag.
 * @example
 * const slots = parseBoundedInteger('slots', raw.slots, 1, 64);
 * const settings = {...parseDaemonSettings(raw), slots};
 * @public
 */
export function parseDaemonSettings(raw: RawDaemonSettings): DaemonSettings {
  return {
    id: raw.id,
    zone: raw.zone,
    admin: parseHostPort('admin', raw.admin),
    mesh: parseHostPort('mesh', raw.mesh),
    keyValueUrl: raw.keyValueUrl,
    instanceListUrl: raw.instanceListUrl,
    meshKey: raw.meshKey,
    logLevel: raw.logLevel,
    listIntervalMs: parseBoundedInteger('list-interval-ms', raw.listIntervalMs, 50, 60_000),
    watchMs: parseBoundedInteger('watch-ms', raw.watchMs, 100, 60_000),
    claimWindowMs: parseBoundedInteger(
      'claim-window-ms',
      raw.claimWindowMs,
      1000,
      MAX_CLAIM_WINDOW_MS,
    ),
  };
}
