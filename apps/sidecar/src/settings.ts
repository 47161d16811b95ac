/** Settings of the sidecar. */
import {checkDuration, checkHostPort, SettingsError, type HostPort} from '@jasminepost/core';

/** @internal */
export const SIDECAR_SETTINGS = {
  id: {flag: 'id', help: 'Name of this instance'},
  zone: {flag: 'zone', help: 'Availability zone of this instance'},
  mesh: {flag: 'mesh', help: 'host:port for entries', fallback: '127.0.0.1:8090'},
  admin: {flag: 'admin', help: 'host:port for health and metrics', fallback: '127.0.0.1:8091'},
  upstreamKind: {flag: 'upstream-kind', help: 'engine or service', fallback: 'engine'},
  upstreamUrl: {flag: 'upstream-url', help: 'URL of the upstream'},
  service: {flag: 'service', help: 'Name of the plain service', fallback: ''},
  slots: {flag: 'slots', help: 'Calls that a plain service runs at once', fallback: '32'},
  fencing: {
    flag: 'fencing',
    help: 'honoured or ignored: whether the engine refuses old fencing numbers',
    fallback: 'honoured',
  },
  maxOrderDelayMs: {
    flag: 'max-order-delay-ms',
    help: 'Longest time that an order to the engine can be under way',
    fallback: '10000',
  },
  keyValueUrl: {flag: 'key-value-url', help: 'URL of the key-value service'},
  instanceListUrl: {flag: 'instance-list-url', help: 'URL of the instance list'},
  meshKey: {flag: 'mesh-key', help: 'Key shared by all processes', secret: true},
  logLevel: {flag: 'log-level', help: 'error, warn, info or debug', fallback: 'info'},
  listIntervalMs: {
    flag: 'list-interval-ms',
    help: 'Time between reads of the instance list while planning',
    fallback: '1000',
  },
  watchMs: {flag: 'watch-ms', help: 'Length of one key-value watch', fallback: '5000'},
  reportMinMs: {
    flag: 'report-min-ms',
    help: 'Shortest time between load reports',
    fallback: '500',
  },
  reportBytesPerS: {
    flag: 'report-bytes-per-s',
    help: 'Bytes a second to spend on load reports',
    fallback: '14500',
  },
  paidReserve: {flag: 'paid-reserve', help: 'Slots that trial work leaves free', fallback: '0'},
  paidMaxWaitMs: {
    flag: 'paid-max-wait-ms',
    help: 'Longest expected wait of paid work',
    fallback: '30000',
  },
  trialMaxWaitMs: {
    flag: 'trial-max-wait-ms',
    help: 'Longest expected wait of trial work',
    fallback: '250',
  },
  drainMode: {
    flag: 'drain-mode',
    help: 'finish: wait for streams; move: let resumable streams go on elsewhere',
    fallback: 'finish',
  },
  claimWindowMs: {
    flag: 'claim-window-ms',
    help: 'Time that an idempotency key is remembered',
    fallback: '86400000',
  },
  planShards: {flag: 'plan-shards', help: 'Documents the plan is split into', fallback: '8'},
  loadsPerS: {flag: 'loads-per-s', help: 'Loads a second of the weight store', fallback: '2'},
  loadsInFlight: {
    flag: 'loads-in-flight',
    help: 'Loads at once at full speed of the weight store',
    fallback: '20',
  },
} as const;

type Raw = Readonly<Record<keyof typeof SIDECAR_SETTINGS, string>>;

/** @internal */
export interface SidecarSettings {
  readonly id: string;
  readonly zone: string;
  readonly mesh: HostPort;
  readonly admin: HostPort;
  readonly upstreamKind: 'engine' | 'service';
  readonly upstreamUrl: string;
  readonly service: string;
  readonly slots: number;
  readonly fencing: 'honoured' | 'ignored';
  readonly maxOrderDelayMs: number;
  readonly keyValueUrl: string;
  readonly instanceListUrl: string;
  readonly meshKey: string;
  readonly logLevel: string;
  readonly listIntervalMs: number;
  readonly watchMs: number;
  readonly reportMinMs: number;
  readonly reportBytesPerS: number;
  readonly paidReserve: number;
  readonly paidMaxWaitMs: number;
  readonly trialMaxWaitMs: number;
  readonly drainMode: 'finish' | 'move';
  readonly claimWindowMs: number;
  readonly planShards: number;
  readonly loadsPerS: number;
  readonly loadsInFlight: number;
}

const HOUR_MS = 3_600_000;

/** Checks the settings. @throws SettingsError naming the flag. @internal */
export function checkSidecarSettings(raw: Raw): SidecarSettings {
  const upstreamKind = oneOf('upstream-kind', raw.upstreamKind, ['engine', 'service'] as const);
  if (upstreamKind === 'service' && raw.service === '') {
    throw new SettingsError('--service', 'nothing', 'the name of the plain service');
  }
  return {
    id: raw.id,
    zone: raw.zone,
    mesh: checkHostPort('mesh', raw.mesh),
    admin: checkHostPort('admin', raw.admin),
    upstreamKind,
    upstreamUrl: raw.upstreamUrl,
    service: raw.service,
    slots: checkDuration('slots', raw.slots, 1, 100_000),
    fencing: oneOf('fencing', raw.fencing, ['honoured', 'ignored'] as const),
    maxOrderDelayMs: checkDuration('max-order-delay-ms', raw.maxOrderDelayMs, 0, HOUR_MS),
    keyValueUrl: raw.keyValueUrl,
    instanceListUrl: raw.instanceListUrl,
    meshKey: raw.meshKey,
    logLevel: raw.logLevel,
    listIntervalMs: checkDuration('list-interval-ms', raw.listIntervalMs, 50, 60_000),
    watchMs: checkDuration('watch-ms', raw.watchMs, 100, 60_000),
    reportMinMs: checkDuration('report-min-ms', raw.reportMinMs, 20, 60_000),
    reportBytesPerS: checkDuration('report-bytes-per-s', raw.reportBytesPerS, 100, 1e9),
    paidReserve: checkDuration('paid-reserve', raw.paidReserve, 0, 100_000),
    paidMaxWaitMs: checkDuration('paid-max-wait-ms', raw.paidMaxWaitMs, 0, HOUR_MS),
    trialMaxWaitMs: checkDuration('trial-max-wait-ms', raw.trialMaxWaitMs, 0, HOUR_MS),
    drainMode: oneOf('drain-mode', raw.drainMode, ['finish', 'move'] as const),
    claimWindowMs: checkDuration('claim-window-ms', raw.claimWindowMs, 1000, 30 * 24 * HOUR_MS),
    planShards: checkDuration('plan-shards', raw.planShards, 1, 256),
    loadsPerS: checkDuration('loads-per-s', raw.loadsPerS, 1, 10_000),
    loadsInFlight: checkDuration('loads-in-flight', raw.loadsInFlight, 1, 10_000),
  };
}

function oneOf<T extends string>(flag: string, text: string, allowed: readonly T[]): T {
  const found = allowed.find(value => value === text);
  if (found === undefined)
    throw new SettingsError(`--${flag}`, JSON.stringify(text), allowed.join(' or '));
  return found;
}
