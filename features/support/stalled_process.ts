/** What a process makes of bytes that arrived while it stood still. */
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {buildConnector} from 'undici';
import {MetricRegistry, sleep, type HostPort} from '@jasminepost/core';
import {
  HandshakeAuthenticator,
  MeshClient,
  MeshServer,
  type LinkCloseReason,
  type MemberInfo,
} from '@jasminepost/mesh';
import {StoreClient, type StoreCall} from '@jasminepost/platform';
import {identifiedConnector} from '../../platform/src/lib/identified_connector.ts';

const HOST = '127.0.0.1';
const BORN_MS = 7;
const TIMEOUT_MS = 200;
const CHECK_MS = 20;
/** Longer than the timeout of each call. */
const STALL_MS = 3500;

export type StalledCall = 'a store response' | "a replica's report" | 'a message of a peer';

const ACCEPTS: Readonly<Record<StalledCall, () => Promise<boolean>>> = {
  'a store response': () =>
    withResponse({events: [], asOf: 3}, async address => {
      const calls = new MetricRegistry().counter<StoreCall>('calls', 'Calls.', 'kind');
      const store = new StoreClient(address, calls);
      const position = {era: 0, revision: 1};
      const found = await store
        .watch('a', position, TIMEOUT_MS, new AbortController().signal)
        .catch(() => undefined);
      await store.close();
      return found !== undefined;
    }),
  "a replica's report": () =>
    withResponse({born: BORN_MS}, address => {
      const expected = {
        bornMs: () => BORN_MS,
        onOther: () => undefined,
        onLeaving: () => undefined,
      };
      const connect = identifiedConnector(buildConnector({}), address, expected, TIMEOUT_MS);
      const {host: hostname, port} = address;
      return new Promise(resolve => {
        connect({hostname, port: String(port), protocol: 'http:'}, (error, socket) => {
          socket?.destroy();
          resolve(error === null);
        });
      });
    }),
  'a message of a peer': keepsLink,
};

/** @returns True when the process accepts what arrived while it stood still beyond its timeout. */
export function acceptsAfterStall(what: StalledCall): Promise<boolean> {
  return ACCEPTS[what]();
}

/** Blocks this process, as if it had been stopped. */
function standStill(): void {
  const endMs = performance.now() + STALL_MS;
  while (performance.now() < endMs);
}

/** Runs a call whose response is written just before the process stands still. */
async function withResponse(
  body: object,
  call: (address: HostPort) => Promise<boolean>,
): Promise<boolean> {
  const text = JSON.stringify(body);
  const head = 'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n';
  const sockets = new Set<Socket>();
  const server = createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.once('data', () => {
      socket.write(`${head}content-length: ${text.length}\r\n\r\n${text}`);
      standStill();
    });
  });
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  const {port} = server.address() as AddressInfo;
  const isAccepted = await call({host: HOST, port});
  server.close();
  for (const socket of sockets) socket.destroy();
  return isAccepted;
}

async function keepsLink(): Promise<boolean> {
  const authenticator = new HandshakeAuthenticator('key');
  const member = (id: string): MemberInfo => ({id, incarnation: 1, role: 'gateway', zone: 'a'});
  const faults = new MetricRegistry().counter<LinkCloseReason>('faults', 'Faults.', 'reason');
  const noEvents = {
    onLink: () => undefined,
    onMessage: () => undefined,
    onLinkLost: () => undefined,
  };
  const server = new MeshServer(member('a'), authenticator, noEvents, faults);
  const port = await server.listen({host: HOST, port: 0});
  let isLost = false;
  const client: MeshClient = await new Promise(resolve => {
    const opening = new MeshClient(
      {host: HOST, port},
      member('b'),
      authenticator,
      {
        onUp: () => resolve(opening),
        onMessage: () => undefined,
        onDown: (_client, reason) => (isLost = reason === 'silent'),
        isAwaitingReply: () => false,
      },
      faults,
    );
  });
  client.silenceTimeoutMs = TIMEOUT_MS;
  setTimeout(() => client.checkLiveness(performance.now()), CHECK_MS);
  server.broadcast({type: 'pong'});
  // The link writes in the same phase of the event loop, before this.
  setImmediate(standStill);
  await sleep(STALL_MS + CHECK_MS);
  client.dispose();
  server.close();
  return !isLost;
}
