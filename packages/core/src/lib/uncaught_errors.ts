/** Keeps a daemon running after an uncaught error, since it still serves unaffected requests. */
import type {Logger} from './logger.ts';
import type {MetricRegistry} from './metrics.ts';

type UncaughtErrorKind = 'exception' | 'rejection';

/**
 * Logs and counts uncaught errors, which would otherwise end the process. A request whose
 * processing such an error interrupted is ended by its own timeouts.
 *
 * @example
 * installUncaughtErrorHandlers(createLogger('entry', 'entry-1', 'info'), registry);
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
