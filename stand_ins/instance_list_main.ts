/** Stand-in for the platform's delayed instance list; see docs/contracts/instance_list.md. */
import {parseBoundedInteger, parseHostPort, runProgram} from '@jasminepost/core';
import {JsonServer, parseJson, sendJson} from './json_server.ts';

const SETTINGS = {
  listen: {flag: 'listen', help: 'host:port'},
  lagMs: {flag: 'lag-ms', help: 'Age of the list that is returned', fallback: '2000'},
} as const;

interface Snapshot {
  readonly atMs: number;
  readonly instances: readonly unknown[];
}

void runProgram('stand-in-instance-list', SETTINGS, async raw => {
  const lagMs = parseBoundedInteger('lag-ms', raw.lagMs, 0, 600_000);
  const http = new JsonServer();
  let snapshots: Snapshot[] = [{atMs: Number.NEGATIVE_INFINITY, instances: []}];
  http.on('GET', '/v1/instances', ({res}) => {
    const shownMs = performance.now() - lagMs;
    const shown = snapshots.filter(snapshot => snapshot.atMs <= shownMs);
    snapshots = snapshots.slice(Math.max(0, shown.length - 1));
    sendJson(res, 200, {instances: snapshots[0].instances});
  });
  http.on('POST', '/admin/instances', ({res, text}) => {
    const {instances = []} = parseJson<{instances: unknown[]}>(text);
    snapshots.push({atMs: performance.now(), instances});
    sendJson(res, 200, {});
  });
  await http.listen(parseHostPort('listen', raw.listen));
});
