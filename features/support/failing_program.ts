/** A daemon in which errors escape from a timer and from a promise; it says so when it goes on. */
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
