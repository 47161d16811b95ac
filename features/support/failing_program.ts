/**
 * Program that throws from a timer and rejects a promise without a handler; run with the argument
 * `with` it installs the handlers. Prints its metrics and `still running` if it survives.
 */
import {createLogger, installUncaughtErrorHandlers, MetricRegistry, sleep} from '@jasminepost/core';

const registry = new MetricRegistry();
if (process.argv[2] === 'with') {
  installUncaughtErrorHandlers(createLogger('failing', 'failing-1', 'info'), registry);
}
setTimeout(() => {
  throw new Error('from a timer');
}, 0);
await sleep(50);
void Promise.reject(new Error('from a promise'));
await sleep(50);
process.stdout.write(`${registry.render()}still running\n`);
