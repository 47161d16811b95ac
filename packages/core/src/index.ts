export {BoundedLogStream, openStandardOutput} from './lib/bounded_log_stream.ts';
export {assert, exhaustive} from './lib/assert.ts';
export {SystemClock, type Clock} from './lib/clock.ts';
export {checkDaemonSettings, DAEMON_SETTINGS, type DaemonSettings} from './lib/daemon_settings.ts';
export {Disposer, type Disposable} from './lib/disposer.ts';
export {
  DeclarationError,
  JasminepostError,
  MeshError,
  PlatformError,
  SettingsError,
  UpstreamError,
  messageOf,
  type DeclarationFault,
} from './lib/errors.ts';
export {newId} from './lib/ids.ts';
export {installFaultBarrier} from './lib/fault_barrier.ts';
export {createLogger, type Logger} from './lib/logger.ts';
export {CounterFamily, Gauge, Histogram, MetricRegistry} from './lib/metrics.ts';
export {runProgram} from './lib/program.ts';
export {RepeatingTask} from './lib/repeating_task.ts';
export {err, ok, type Result} from './lib/result.ts';
export {checkDuration, checkHostPort, type HostPort} from './lib/settings.ts';
export {fnv1a32, sha256Hex} from './lib/hashing.ts';
export {backoffMs, sleep} from './lib/backoff.ts';
export {AdminServer, type AdminState} from './lib/admin_server.ts';
export {onReloadSignal} from './lib/reload_signal.ts';
export {installStopSignals} from './lib/stop_signals.ts';
export {
  COMPLETED_REASONS,
  MAY_HAVE_RUN_REASONS,
  NOT_RUN_REASONS,
  completed,
  mayHaveRun,
  neverSent,
  notRun,
  verdictOfSendFailure,
  type CompletedReason,
  type MayHaveRunReason,
  type NotRunReason,
  type Verdict,
} from './lib/verdict.ts';
export type {RequestClass, UpstreamKind} from './lib/vocabulary.ts';
export {resetNow} from './lib/reset_now.ts';
export {listenOn} from './lib/listen_on.ts';
export {ResetWatch} from './lib/reset_watch.ts';
export {UnreadHeaders} from './lib/unread_headers.ts';
