/** Stand-in for the weight store: limits the rate of loads, and slows down many concurrent ones. */
import {parseBoundedInteger, parseHostPort, runProgram} from '@jasminepost/core';
import {JsonServer, sendJson} from './json_server.ts';

const SETTINGS = {
  listen: {flag: 'listen', help: 'host:port'},
  loadsPerS: {flag: 'loads-per-s', help: 'Most loads started a second', fallback: '2'},
  fullSpeed: {flag: 'full-speed', help: 'Concurrent loads at full speed', fallback: '20'},
  loadMs: {flag: 'load-ms', help: 'Duration of one load at full speed', fallback: '500'},
} as const;

void runProgram('stand-in-weight-store', SETTINGS, async raw => {
  const gapMs = 1000 / parseBoundedInteger('loads-per-s', raw.loadsPerS, 1, 10_000);
  const fullSpeed = parseBoundedInteger('full-speed', raw.fullSpeed, 1, 10_000);
  const loadMs = parseBoundedInteger('load-ms', raw.loadMs, 0, 600_000);
  const http = new JsonServer();
  let nextStartMs = 0;
  let inFlight = 0;
  let loads = 0;
  http.on('GET', '/v1/weights/:name', ({res}) => {
    const nowMs = performance.now();
    nextStartMs = Math.max(nowMs, nextStartMs + gapMs);
    inFlight += 1;
    loads += 1;
    const slowdown = Math.max(1, inFlight / fullSpeed);
    setTimeout(
      () => {
        inFlight -= 1;
        sendJson(res, 200, {loaded: true});
      },
      nextStartMs - nowMs + loadMs * slowdown,
    );
  });
  http.on('GET', '/admin/counters', ({res}) => sendJson(res, 200, {loads, inFlight}));
  await http.listen(parseHostPort('listen', raw.listen));
});
