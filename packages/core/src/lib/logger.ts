/** Structured logs: one JSON object per line on standard output. */
import winston from 'winston';
import {BoundedLogStream, openStandardOutput} from './bounded_log_stream.ts';

/** @public */
export type Logger = winston.Logger;

const SECRET_FIELDS = new Set(['authorization', 'apiKey', 'meshKey', 'secret']);

const redactSecrets = winston.format(info => {
  for (const field of Object.keys(info)) {
    if (SECRET_FIELDS.has(field)) info[field] = '[redacted]';
  }
  return info;
});

/**
 * Creates the logger of a process; values of fields that hold secrets are redacted.
 *
 * @example
 * createLogger('entry', 'entry-1', 'info').info('ready', {generation: 3});
 * @public
 */
export function createLogger(program: string, instance: string, level: string): Logger {
  return winston.createLogger({
    level,
    defaultMeta: {program, instance},
    format: winston.format.combine(
      redactSecrets(),
      winston.format.timestamp(),
      winston.format.json(),
    ),
    transports: [
      new winston.transports.Stream({stream: new BoundedLogStream(openStandardOutput())}),
    ],
  });
}
