export {BoundedLogStream, openStandardOutput} from './lib/bounded_log_stream.ts';
export {assert, assertNever} from './lib/assert.ts';
export {BlockBuffer} from './lib/block_buffer.ts';
export {BufferBudget, type BudgetedBuffer} from './lib/buffer_budget.ts';
export {SystemClock, type Clock} from './lib/clock.ts';
export {parseDaemonSettings, DAEMON_SETTINGS, type DaemonSettings} from './lib/daemon_settings.ts';
export {Disposer, type Disposable} from './lib/disposer.ts';
export {
  DeclarationError,
  JasminepostError,
  MeshError,
  PlatformError,
  SettingsError,
  UpstreamError,
  errorMessage,
  type DeclarationIssue,
} from './lib/errors.ts';
export {discardBody, MAX_DISCARD_BYTES, MAX_DISCARD_MS} from './lib/discard_body.ts';
export {GarbagePacer} from './lib/garbage_pacer.ts';
export {GrowingBuffer} from './lib/growing_buffer.ts';
export {newId} from './lib/ids.ts';
export {installUncaughtErrorHandlers} from './lib/uncaught_errors.ts';
export {createLogger, type Logger} from './lib/logger.ts';
export {CounterFamily, Gauge, Histogram, MetricRegistry} from './lib/metrics.ts';
export {runProgram} from './lib/program.ts';
export {PolledTimeout} from './lib/polled_timeout.ts';
export {RepeatingTask} from './lib/repeating_task.ts';
export {err, ok, type Result} from './lib/result.ts';
export {parseBoundedInteger, parseHostPort, type HostPort} from './lib/settings.ts';
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
  failedBeforeSend,
  notRun,
  verdictForSendFailure,
  type CompletedReason,
  type MayHaveRunReason,
  type NotRunReason,
  type Verdict,
} from './lib/verdict.ts';
export type {RequestClass, UpstreamKind} from './lib/shared_types.ts';
export {isCloseDelimited} from './lib/body_framing.ts';
export {httpConnector} from './lib/http_connector.ts';
export {resetConnection} from './lib/reset_connection.ts';
export {listenOn} from './lib/listen_on.ts';
export {ResetDetector} from './lib/reset_detector.ts';
export {UnreadHeaderCounter} from './lib/unread_headers.ts';
