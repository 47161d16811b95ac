/** Starts the key-value stand-in. */
import {parseBoundedInteger, parseHostPort, runProgram} from '@jasminepost/core';
import {KeyValueStandIn} from './key_value.ts';

const SETTINGS = {
  listen: {flag: 'listen', help: 'host:port'},
  writesPerS: {flag: 'writes-per-s', help: 'Most writes a second', fallback: '400'},
  readsPerS: {flag: 'reads-per-s', help: 'Most reads and watches a second', fallback: '2000'},
} as const;

void runProgram('stand-in-key-value', SETTINGS, async raw => {
  const standIn = new KeyValueStandIn(
    parseBoundedInteger('writes-per-s', raw.writesPerS, 1, 1e9),
    parseBoundedInteger('reads-per-s', raw.readsPerS, 1, 1e9),
  );
  await standIn.http.listen(parseHostPort('listen', raw.listen));
});
