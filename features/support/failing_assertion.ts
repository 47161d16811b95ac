/**
 * Program in which an assertion of the HTTP client fails: without the connector of the product's
 * clients, a connection ends while its response is paused. Prints the longest time in which the
 * event loop stood still, in milliseconds.
 */
import {createServer, type AddressInfo} from 'node:net';
import {Pool} from 'undici';

const INTERVAL_MS = 5;
const DURATION_MS = 1500;

let escaped = 0;
process.on('uncaughtException', () => (escaped += 1));

const server = createServer(socket => {
  socket.once('data', () => socket.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\na body'));
});
await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
const {port} = server.address() as AddressInfo;

let maxMs = 0;
let lastMs = performance.now();
setInterval(() => {
  maxMs = Math.max(maxMs, performance.now() - lastMs - INTERVAL_MS);
  lastMs = performance.now();
}, INTERVAL_MS);

setTimeout(() => {
  process.stdout.write(`${JSON.stringify({escaped, maxMs: Math.round(maxMs)})}\n`, () =>
    process.exit(),
  );
}, DURATION_MS);
new Pool(`http://127.0.0.1:${port}`).dispatch(
  {method: 'GET', path: '/'},
  {
    onRequestStart: () => undefined,
    onResponseStart: () => undefined,
    onResponseData: controller => controller.pause(),
    onResponseEnd: () => undefined,
    onResponseError: () => undefined,
  },
);
