/** Keeps a daemon running when an error escapes: it serves others than the one whose work failed. */
import type {Logger} from './logger.ts';
import type {MetricRegistry} from './metrics.ts';

/** How an error escaped. */
type UncaughtErrorKind = 'exception' | 'rejection';

/**
 * Logs and counts errors that nothing else has taken, which would end the process. A request whose
 * work such an error ended has timers of its own.
 *
 * @example
 * installFaultBarrier(createLogger('entry', 'entry-1', 'info'), registry);
 * @public
 */
export function installUncaughtErrorHandlers(log: Logger, registry: MetricRegistry): void {
  const help = 'Unexpected errors that nothing has taken';
  const uncaughtErrors = registry.counter<UncaughtErrorKind>('escaped_errors', help, 'kind');
  const handleError = (kind: UncaughtErrorKind, thrown: unknown) => {
    uncaughtErrors.increment(kind);
    const error = thrown instanceof Error ? (thrown.stack ?? thrown.message) : String(thrown);
    log.error('unexpected error', {kind, error});
  };
  process.on('uncaughtException', thrown => handleError('exception', thrown));
  process.on('unhandledRejection', thrown => handleError('rejection', thrown));
}
