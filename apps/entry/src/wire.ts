/** Constructs the entry's components and connects them. */
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
import {EntryCallerBackend} from './lib/entry_caller_backend.ts';
import {DemandReporter} from './lib/demand_reporter.ts';
import {Dispatcher} from './lib/dispatcher.ts';
import {EntryMetrics} from './lib/entry_metrics.ts';
import {ReplicaIndex} from './lib/replica_index.ts';
import {TraceLog} from './lib/trace_log.ts';
import type {EntrySettings} from './settings.ts';

const RETRY_BUDGET_RATIO = 0.08;
const RETRY_BUDGET_RESERVE = 10;
const SUSPECT_TTL_MS = 600_000;
const DEFAULT_TARGETS = {firstTokenMs: 320, betweenTokensMs: 27};

/** Starts an entry; resolves once all its ports are listening. @internal */
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
  const authenticator = new HandshakeAuthenticator(settings.meshKey);
  const kv = new KeyValueClient(
    settings.keyValueUrl,
    registry.counter<KeyValueCall>('key_value_calls', 'Calls to the key-value service.', 'call'),
  );
  const suspects = new SuspectList(SUSPECT_TTL_MS);
  const traces = new TraceLog();
  let hasInstanceList = false;
  let liveEntries = 1;
  let leaving = false;
  let isClosing = false;

  const fleet: Fleet = new Fleet(
    self,
    authenticator,
    {
      onUp: (_replica, link) => {
        index.invalidate();
        config.peerSync.announce(link);
      },
      onStatus: () => index.invalidate(),
      onDown: replica => {
        index.invalidate();
        dispatcher.onReplicaLost(replica);
      },
      onMessage: (replica, message) => onFleetMessage(replica, message),
    },
    metrics.linkFaults,
  );
  const index: ReplicaIndex = new ReplicaIndex(fleet);
  const config = new ConfigWatcher(kv, settings.watchMs, registry, log, peerLinks);
  const demandReporter = new DemandReporter(fleet, () => demandIntervalMs(liveEntries));
  const findOrganisation = (name: string) =>
    config.activeConfig.current?.document.declaration.organisations.find(o => o.name === name);
  const dispatcher: Dispatcher = new Dispatcher(
    {
      clock,
      zone: settings.zone,
      crossZoneMs: settings.crossZoneMs,
      processId: `${self.id}.${self.incarnation}`,
      index,
      suspects,
      retryBudget: new RetryBudget(RETRY_BUDGET_RATIO, RETRY_BUDGET_RESERVE),
      limiter: new OrganisationLimiter(),
      claims: new ClaimStore(kv, clock, settings.claimWindowMs),
      metrics,
      traces,
      log,
      organisationLimits: name => findOrganisation(name) ?? {requestsPerS: 0, concurrency: 0},
      latencyTargets: name => findOrganisation(name)?.targets ?? DEFAULT_TARGETS,
      liveEntries: () => liveEntries,
    },
    request => {
      if (request.kind === 'engine') demandReporter.countRequest(request.class, request.target);
    },
  );

  const meshServer: MeshServer = new MeshServer(
    self,
    authenticator,
    {
      onLink: link => config.peerSync.announce(link),
      onMessage: (link, message) => onServerMessage(link, message),
      onLinkLost: () => undefined,
    },
    metrics.linkFaults,
  );
  const notReadyReason = () => {
    if (config.activeConfig.current === undefined) return 'no configuration yet';
    return hasInstanceList ? undefined : 'no instance list yet';
  };
  const callerBackend = new EntryCallerBackend(config.activeConfig, dispatcher, metrics, () =>
    isClosing ? 'leaving' : notReadyReason(),
  );
  const callerServer = new CallerHttpServer(callerBackend, {
    maxBodyBytes: settings.maxBodyBytes,
    defaultTimeoutMs: settings.timeoutMs,
  });
  const adminServer = new AdminServer(registry, {
    notReadyReason: () => (leaving ? 'leaving' : notReadyReason()),
    status,
  });
  const instanceList = new InstanceListClient(
    settings.instanceListUrl,
    settings.listIntervalMs,
    applyInstanceList,
  );
  registry.gauge('requests_in_progress', 'Requests in progress.', () => dispatcher.requests.size);
  registry.gauge(
    'mesh_bytes',
    'Bytes over the links that are open.',
    () => fleet.openLinkBytes() + meshServer.openLinkBytes(),
  );
  registry.gauge('links', 'Open links to sidecars.', () => fleet.connected().length);

  function* peerLinks(): Iterable<MeshLink> {
    for (const replica of fleet.replicas.values()) {
      if (replica.client.link !== undefined) yield replica.client.link;
    }
    yield* meshServer.links;
  }

  function applyInstanceList(instances: ListedInstance[]): void {
    hasInstanceList = true;
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
    const reply = message.ask === 'explain' ? (traces.find(message.subject) ?? null) : status();
    link.send({type: 'operator_reply', json: JSON.stringify(reply)});
  }

  function status(): Readonly<Record<string, unknown>> {
    return {
      id: self.id,
      role: self.role,
      zone: self.zone,
      leaving,
      ready: notReadyReason() === undefined,
      generation: config.activeConfig.generation,
      hash: config.activeConfig.hash,
      inProgress: dispatcher.requests.size,
      replicas: fleet.connected().length,
      suspects: suspects.size,
    };
  }

  async function shutdown(): Promise<void> {
    leaving = true;
    callerServer.announceShutdown();
    log.info('leaving', {inProgress: dispatcher.requests.size});
    // A load balancer takes this long to notice the failing /readyz; new requests are served
    // until then.
    await sleep(settings.drainNoticeMs);
    // Connections stay open for the responses that are due; new requests on them are refused.
    isClosing = true;
    callerServer.stopListening();
    await dispatcher.whenIdle();
    await callerServer.close();
    demandReporter.dispose();
    instanceList.dispose();
    config.dispose();
    fleet.dispose();
    meshServer.close();
    adminServer.close();
    await kv.close();
    log.info('stopped', {});
  }

  await Promise.all([adminServer.listen(settings.admin), meshServer.listen(settings.mesh)]);
  await callerServer.listen(settings.listen);
  config.start();
  instanceList.start();
  demandReporter.start();
  installStopSignals(shutdown);
  log.info('listening', {listen: settings.listen, mesh: settings.mesh});
}
