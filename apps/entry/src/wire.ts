/** Constructs the entry's parts and connects them. */
import {CallerHttpServer} from '@jasminepost/caller';
import {
  AdminServer,
  createLogger,
  installUncaughtErrorHandlers,
  installStopSignals,
  MetricRegistry,
  sleep,
  SystemClock,
} from '@jasminepost/core';
import {
  Fleet,
  HandshakeAuthenticator,
  MeshServer,
  type MemberInfo,
  type MeshLink,
  type MeshMessage,
  type Replica,
} from '@jasminepost/mesh';
import {ConfigWatcher} from '@jasminepost/operator';
import {
  ClaimStore,
  InstanceListClient,
  KeyValueClient,
  type KeyValueCall,
  type ListedInstance,
} from '@jasminepost/key_value';
import {demandIntervalMs, OrganisationLimiter, RetryBudget, SuspectList} from '@jasminepost/policy';
import {CallerGateway} from './lib/caller_gateway.ts';
import {DemandReporter} from './lib/demand_reporter.ts';
import {Dispatcher} from './lib/dispatcher.ts';
import {EntryMetrics} from './lib/entry_metrics.ts';
import {ReplicaIndex} from './lib/replica_index.ts';
import {TraceLog} from './lib/trace_log.ts';
import type {EntrySettings} from './settings.ts';

const RETRY_RATIO = 0.08;
const RETRY_RESERVE = 10;
const SUSPECT_MEMORY_MS = 600_000;
const DEFAULT_TARGETS = {firstTokenMs: 320, betweenTokensMs: 27};

/** Starts an entry; resolves when it listens. @internal */
export async function startEntry(settings: EntrySettings): Promise<void> {
  const clock = new SystemClock();
  const log = createLogger('entry', settings.id, settings.logLevel);
  const registry = new MetricRegistry();
  installUncaughtErrorHandlers(log, registry);
  const metrics = new EntryMetrics(registry);
  const self: MemberInfo = {
    id: settings.id,
    incarnation: clock.wallMs(),
    role: 'entry',
    zone: settings.zone,
  };
  const guard = new HandshakeAuthenticator(settings.meshKey);
  const kv = new KeyValueClient(
    settings.keyValueUrl,
    registry.counter<KeyValueCall>('key_value_calls', 'Calls to the key-value service.', 'call'),
  );
  const suspects = new SuspectList(SUSPECT_MEMORY_MS);
  const traces = new TraceLog();
  let listed = false;
  let liveEntries = 1;
  let leaving = false;

  const fleet: Fleet = new Fleet(
    self,
    guard,
    {
      onUp: (_replica, link) => {
        index.invalidate();
        config.peerSync.announce(link);
      },
      onStatus: () => index.invalidate(),
      onDown: replica => {
        index.invalidate();
        dispatcher.loseReplica(replica);
      },
      onMessage: (replica, message) => onFleetMessage(replica, message),
    },
    metrics.linkFaults,
  );
  const index: ReplicaIndex = new ReplicaIndex(fleet);
  const config = new ConfigWatcher(kv, settings.watchMs, registry, log, spreadLinks);
  const demand = new DemandReporter(fleet, () => demandIntervalMs(liveEntries));
  const organisation = (name: string) =>
    config.activeConfig.current?.document.declaration.organisations.find(o => o.name === name);
  const dispatcher: Dispatcher = new Dispatcher(
    {
      clock,
      zone: settings.zone,
      crossZoneMs: settings.crossZoneMs,
      processId: `${self.id}.${self.incarnation}`,
      index,
      suspects,
      retryBudget: new RetryBudget(RETRY_RATIO, RETRY_RESERVE),
      limiter: new OrganisationLimiter(),
      claims: new ClaimStore(kv, clock, settings.claimWindowMs),
      metrics,
      traces,
      log,
      limitsOf: name => organisation(name) ?? {requestsPerS: 0, concurrency: 0},
      targetsOf: name => organisation(name)?.targets ?? DEFAULT_TARGETS,
      liveEntries: () => liveEntries,
    },
    call => {
      if (call.kind === 'engine') demand.count(call.class, call.target);
    },
  );

  const server: MeshServer = new MeshServer(
    self,
    guard,
    {
      onLink: link => config.peerSync.announce(link),
      onMessage: (link, message) => onServerMessage(link, message),
      onLinkLost: () => undefined,
    },
    metrics.linkFaults,
  );
  const notReady = () => {
    if (config.activeConfig.current === undefined) return 'no configuration yet';
    return listed ? undefined : 'no instance list yet';
  };
  const gateway = new CallerGateway(config.activeConfig, dispatcher, metrics, notReady);
  const front = new CallerHttpServer(gateway, {
    maxBodyBytes: settings.maxBodyBytes,
    defaultTimeoutMs: settings.timeoutMs,
  });
  const admin = new AdminServer(registry, {
    notReadyReason: () => (leaving ? 'leaving' : notReady()),
    status,
  });
  const list = new InstanceListClient(settings.instanceListUrl, settings.listIntervalMs, applyList);
  registry.gauge('requests_in_progress', 'Requests in progress.', () => dispatcher.runs.size);
  registry.gauge(
    'mesh_bytes',
    'Bytes over the links that are open.',
    () => fleet.openLinkBytes() + server.openLinkBytes(),
  );
  registry.gauge('links', 'Open links to sidecars.', () => fleet.connected().length);

  function* spreadLinks(): Iterable<MeshLink> {
    for (const replica of fleet.replicas.values()) {
      if (replica.client.link !== undefined) yield replica.client.link;
    }
    yield* server.links;
  }

  function applyList(instances: ListedInstance[]): void {
    listed = true;
    liveEntries = Math.max(1, instances.filter(i => i.role === 'entry').length);
    const sidecars = instances.filter(i => i.role === 'sidecar');
    fleet.updateSidecars(
      sidecars.map(i => ({
        id: i.id,
        zone: i.zone,
        mesh: {host: i.host, port: i.port},
        leaving: i.state === 'leaving',
      })),
    );
    index.invalidate();
  }

  function onFleetMessage(replica: Replica, message: MeshMessage): void {
    if (dispatcher.receive(replica, message)) return;
    const link = replica.client.link;
    if (link !== undefined && config.peerSync.receive(link, message)) return;
    if (message.type === 'suspect') suspects.applyUpdate(message, clock.monotonicMs());
  }

  function onServerMessage(link: MeshLink, message: MeshMessage): void {
    if (config.peerSync.receive(link, message)) return;
    if (message.type !== 'operator_ask') return;
    const answer = message.ask === 'explain' ? (traces.find(message.subject) ?? null) : status();
    link.send({type: 'operator_reply', json: JSON.stringify(answer)});
  }

  function status(): Readonly<Record<string, unknown>> {
    return {
      id: self.id,
      role: self.role,
      zone: self.zone,
      leaving,
      ready: notReady() === undefined,
      generation: config.activeConfig.generation,
      hash: config.activeConfig.hash,
      inProgress: dispatcher.runs.size,
      replicas: fleet.connected().length,
      suspects: suspects.size,
    };
  }

  async function stop(): Promise<void> {
    leaving = true;
    front.announceShutdown();
    log.info('leaving', {inProgress: dispatcher.runs.size});
    // The balancer needs this long to see /readyz; until then new requests are still served.
    await sleep(settings.drainNoticeMs);
    front.stopListening();
    await dispatcher.whenIdle();
    front.close();
    demand.dispose();
    list.dispose();
    config.dispose();
    fleet.dispose();
    server.close();
    admin.close();
    await kv.close();
    log.info('stopped', {});
  }

  await Promise.all([admin.listen(settings.admin), server.listen(settings.mesh)]);
  await front.listen(settings.listen);
  config.start();
  list.start();
  demand.start();
  installStopSignals(stop);
  log.info('listening', {listen: settings.listen, mesh: settings.mesh});
}
