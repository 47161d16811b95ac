/** Requests that wait for a connection to a replica that is no longer to be used when it is free. */
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {sleep} from '@jasminepost/core';
import {NotStartedError, ReplicaClient} from '@jasminepost/platform';

const HOST = '127.0.0.1';
const BORN_MS = 7;
const RESPONSE_MS = 200;
const REPORT_PATH = '/-/report';

export type AwaitedEvent = 'the response before it' | 'the report of its replica';

export interface WaitingRequestResult {
  /** True when the request failed as one of which nothing was sent. */
  readonly endedNotStarted: boolean;
  /** Paths that the replica received, and the number of connections. */
  readonly paths: readonly string[];
  readonly connections: number;
}

/** Sends `/a` where that is awaited, then `/b`, which is no longer to be sent, and at last `/c`. */
export async function waitInVain(awaited: AwaitedEvent): Promise<WaitingRequestResult> {
  const paths: string[] = [];
  const sockets = new Set<Socket>();
  const server = createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('data', data => {
      const path = data.toString('latin1').split(' ')[1];
      paths.push(path);
      const body = path === REPORT_PATH ? JSON.stringify({born: BORN_MS}) : 'x';
      const head = `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n`;
      setTimeout(() => socket.write(head + body), RESPONSE_MS);
    });
  });
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  const {port} = server.address() as AddressInfo;
  const client = new ReplicaClient({host: HOST, port}, 1, {
    bornMs: () => (awaited === 'the report of its replica' ? BORN_MS : undefined),
    onOther: () => undefined,
    onLeaving: () => undefined,
  });
  let mayStart = true;
  const first = awaited === 'the response before it' ? send(client, '/a', () => true) : undefined;
  const second = send(client, '/b', () => mayStart);
  await sleep(RESPONSE_MS / 2);
  mayStart = false;
  await first;
  const error = await second;
  await send(client, '/c', () => true);
  client.destroy();
  server.close();
  for (const socket of sockets) socket.destroy();
  return {endedNotStarted: error instanceof NotStartedError, paths, connections: sockets.size};
}

/** @returns The error that ended the request; undefined when it was answered. */
function send(
  client: ReplicaClient,
  path: string,
  mayStart: () => boolean,
): Promise<Error | undefined> {
  return new Promise(resolve => {
    client.send(
      {
        method: 'GET',
        path,
        rawHeaders: [],
        body: Buffer.alloc(0),
        systemHeaders: {
          deadlineMs: 1000,
          replicaId: 'a',
          urgency: undefined,
          lastEventId: '',
          caller: undefined,
        },
        mayStart,
      },
      {
        onHead: () => undefined,
        onData: () => true,
        onEnd: () => resolve(undefined),
        onError: (error, neverSent) => resolve(neverSent ? error : new Error('may have been sent')),
      },
    );
  });
}
