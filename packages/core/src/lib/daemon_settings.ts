/** Settings that every daemon has. */
import {parseBoundedInteger, parseHostPort, type HostPort} from './settings.ts';

const MAX_WINDOW_MS = 30 * 24 * 3_600_000;

/** Specifications; a daemon adds its own. @public */
export const DAEMON_SETTINGS = {
  id: {flag: 'id', help: 'Name of this instance'},
  zone: {flag: 'zone', help: 'Availability zone of this instance'},
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
  claimWindowMs: {
    flag: 'claim-window-ms',
    help: 'Time that an idempotency key is remembered',
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
 * Checks the settings that every daemon has.
 *
 * @throws SettingsError naming the flag.
 * @example
 * const settings = {...checkDaemonSettings(raw), slots: checkDuration('slots', raw.slots, 1, 64)};
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
    claimWindowMs: parseBoundedInteger('claim-window-ms', raw.claimWindowMs, 1000, MAX_WINDOW_MS),
  };
}
