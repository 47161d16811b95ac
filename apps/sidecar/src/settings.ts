/** Command-line settings of the sidecar. */
import {
  parseDaemonSettings,
  DAEMON_SETTINGS,
  type DaemonSettings,
  parseBoundedInteger,
  SettingsError,
} from '@jasminepost/core';

/** @internal */
export const SIDECAR_SETTINGS = {
  ...DAEMON_SETTINGS,
  mesh: {
    flag: 'mesh',
    help: 'host:port for mesh links from entries, planners and operators',
    fallback: '127.0.0.1:8090',
  },
  admin: {
    flag: 'admin',
    help: 'host:port for health checks and metrics',
    fallback: '127.0.0.1:8091',
  },
  upstreamKind: {
    flag: 'upstream-kind',
    help: 'engine or service: what the upstream is',
    fallback: 'engine',
  },
  upstreamUrl: {flag: 'upstream-url', help: 'URL of the upstream'},
  service: {
    flag: 'service',
    help: 'Name of the plain service, if the upstream is one',
    fallback: '',
  },
  slots: {flag: 'slots', help: 'Calls that a plain service runs concurrently', fallback: '32'},
  fencing: {
    flag: 'fencing',
    help: 'honoured or ignored: whether the engine refuses older fencing tokens',
    fallback: 'honoured',
  },
  maxOrderDelayMs: {
    flag: 'max-order-delay-ms',
    help: 'Longest time that an order to the engine can be in flight, in ms',
    fallback: '10000',
  },
  reportMinMs: {
    flag: 'report-min-ms',
    help: 'Shortest interval between load reports, in ms',
    fallback: '500',
  },
  reportBytesPerS: {
    flag: 'report-bytes-per-s',
    help: 'Bytes per second to spend on load reports',
    fallback: '14500',
  },
  paidReserve: {
    flag: 'paid-reserve',
    help: 'Slots that trial requests leave free for paid ones',
    fallback: '0',
  },
  paidMaxWaitMs: {
    flag: 'paid-max-wait-ms',
    help: 'Longest expected wait at which paid requests are admitted, in ms',
    fallback: '30000',
  },
  paidRedirectMs: {
    flag: 'paid-redirect-ms',
    help: 'Longest expected wait of paid requests that another replica could serve, in ms',
    fallback: '50',
  },
  trialMaxWaitMs: {
    flag: 'trial-max-wait-ms',
    help: 'Longest expected wait at which trial requests are admitted, in ms',
    fallback: '250',
  },
  drainMode: {
    flag: 'drain-mode',
    help: 'finish: wait for streams; move: let resumable streams continue on another replica',
    fallback: 'finish',
  },
  planShards: {
    flag: 'plan-shards',
    help: 'Number of documents that the plan is split into',
    fallback: '8',
  },
  loadsPerS: {
    flag: 'loads-per-s',
    help: 'Loads per second that the weight store allows',
    fallback: '2',
  },
  loadsInFlight: {
    flag: 'loads-in-flight',
    help: 'Concurrent loads that the weight store serves at full speed',
    fallback: '20',
  },
} as const;

type RawSettings = Readonly<Record<keyof typeof SIDECAR_SETTINGS, string>>;

/** @internal */
export interface SidecarSettings extends DaemonSettings {
  readonly upstreamKind: 'engine' | 'service';
  readonly upstreamUrl: string;
  readonly service: string;
  readonly slots: number;
  readonly fencing: 'honoured' | 'ignored';
  readonly maxOrderDelayMs: number;
  readonly reportMinMs: number;
  readonly reportBytesPerS: number;
  readonly paidReserve: number;
  readonly paidMaxWaitMs: number;
  readonly trialMaxWaitMs: number;
  readonly paidRedirectMs: number;
  readonly drainMode: 'finish' | 'move';
  readonly planShards: number;
  readonly loadsPerS: number;
  readonly loadsInFlight: number;
}

const HOUR_MS = 3_600_000;

/** Parses and checks the settings. @throws SettingsError naming the malformed flag. @internal */
export function parseSidecarSettings(raw: RawSettings): SidecarSettings {
  const upstreamKind = parseChoice('upstream-kind', raw.upstreamKind, [
    'engine',
    'service',
  ] as const);
  if (upstreamKind === 'service' && raw.service === '') {
    throw new SettingsError('--service', 'nothing', 'the name of the plain service');
  }
  return {
    ...parseDaemonSettings(raw),
    upstreamKind,
    upstreamUrl: raw.upstreamUrl,
    service: raw.service,
    slots: parseBoundedInteger('slots', raw.slots, 1, 100_000),
    fencing: parseChoice('fencing', raw.fencing, ['honoured', 'ignored'] as const),
    maxOrderDelayMs: parseBoundedInteger('max-order-delay-ms', raw.maxOrderDelayMs, 0, HOUR_MS),
    reportMinMs: parseBoundedInteger('report-min-ms', raw.reportMinMs, 20, 60_000),
    reportBytesPerS: parseBoundedInteger('report-bytes-per-s', raw.reportBytesPerS, 100, 1e9),
    paidReserve: parseBoundedInteger('paid-reserve', raw.paidReserve, 0, 100_000),
    paidMaxWaitMs: parseBoundedInteger('paid-max-wait-ms', raw.paidMaxWaitMs, 0, HOUR_MS),
    paidRedirectMs: parseBoundedInteger('paid-redirect-ms', raw.paidRedirectMs, 0, HOUR_MS),
    trialMaxWaitMs: parseBoundedInteger('trial-max-wait-ms', raw.trialMaxWaitMs, 0, HOUR_MS),
    drainMode: parseChoice('drain-mode', raw.drainMode, ['finish', 'move'] as const),
    planShards: parseBoundedInteger('plan-shards', raw.planShards, 1, 256),
    loadsPerS: parseBoundedInteger('loads-per-s', raw.loadsPerS, 1, 10_000),
    loadsInFlight: parseBoundedInteger('loads-in-flight', raw.loadsInFlight, 1, 10_000),
  };
}

function parseChoice<T extends string>(flag: string, text: string, allowed: readonly T[]): T {
  const found = allowed.find(value => value === text);
  if (found === undefined)
    throw new SettingsError(`--${flag}`, JSON.stringify(text), allowed.join(' or '));
  return found;
}
