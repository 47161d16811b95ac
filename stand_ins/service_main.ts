/** Stand-in for a service without models; counts the executions of each request. */
import {parseBoundedInteger, parseHostPort, runProgram} from '@jasminepost/core';
import {JsonServer, parseJson, sendJson, type JsonCall} from './json_server.ts';

const SETTINGS = {
  listen: {flag: 'listen', help: 'host:port'},
  workMs: {flag: 'work-ms', help: 'Duration of one call', fallback: '5'},
} as const;

interface Faults {
  /** Number of further calls that are refused with the `x-not-run` header. */
  refuse: number;
  /** Number of further calls that run but get no response. */
  cut: number;
  workMs: number;
  /** Bytes of padding in each response. */
  paddingBytes: number;
}

void runProgram('stand-in-service', SETTINGS, async raw => {
  const http = new JsonServer();
  const incarnation = `${process.pid}-${Date.now()}`;
  const executions = new Map<string, number>();
  let faults: Faults = {
    refuse: 0,
    cut: 0,
    workMs: parseBoundedInteger('work-ms', raw.workMs, 0, 600_000),
    paddingBytes: 0,
  };

  const run = (call: JsonCall) => {
    if (faults.refuse > 0) {
      faults.refuse -= 1;
      call.res.setHeader('x-not-run', 'true');
      sendJson(call.res, 503, {error: 'busy'});
      return;
    }
    const key = String(call.req.headers['idempotency-key'] ?? call.text);
    executions.set(key, (executions.get(key) ?? 0) + 1);
    const cut = faults.cut > 0;
    if (cut) faults.cut -= 1;
    setTimeout(() => {
      if (cut) call.res.destroy();
      else
        sendJson(call.res, 200, {
          ran: key,
          path: call.params['*'],
          bytes: call.text.length,
          padding: 'x'.repeat(faults.paddingBytes),
        });
    }, faults.workMs);
  };

  http.on('GET', '/health', ({res}) => {
    res.end(incarnation);
  });
  http.on('POST', '/admin/faults', ({res, text}) => {
    faults = {...faults, ...parseJson<Faults>(text)};
    sendJson(res, 200, faults);
  });
  http.on('GET', '/admin/counters', ({res}) => {
    sendJson(res, 200, Object.fromEntries(executions));
  });
  for (const method of ['GET', 'POST', 'PUT'] as const) http.on(method, '/*', run);
  await http.listen(parseHostPort('listen', raw.listen));
});
