/** Constructs the sidecar's components and connects them. */
import {
  AdminServer,
  createLogger,
  installUncaughtErrorHandlers,
  Disposer,
  type Disposable,
  installStopSignals,
  MetricRegistry,
  SystemClock,
} from '@jasminepost/core';
import {EngineClient} from '@jasminepost/engine';
import {HandshakeAuthenticator, MeshServer, type MemberInfo} from '@jasminepost/mesh';
import {ConfigWatcher} from '@jasminepost/operator';
import {
  ClaimStore,
  FencingTokenAllocator,
  InstanceListClient,
  KeyValueClient,
  KeyWatcher,
  parsePlan,
  planKeyForReplica,
  LeaderLease,
  type KeyValueCall,
} from '@jasminepost/key_value';
import {
  AdmissionQueue,
  reportIntervalMs,
  SuspectList,
  type AdmissionLimits,
} from '@jasminepost/policy';
import {LoadRateLimiter} from '@jasminepost/weight_store';
import type {Attempt} from './lib/attempt.ts';
import {ClaimedAttemptRunner} from './lib/claimed_attempt_runner.ts';
import {EngineController} from './lib/engine_controller.ts';
import {LoadReporter} from './lib/load_reporter.ts';
import {PeerMessageHandler} from './lib/peer_message_handler.ts';
import {Planner} from './lib/planner.ts';
import {PlannerFleet} from './lib/planner_fleet.ts';
import {SidecarMetrics} from './lib/sidecar_metrics.ts';
import {SidecarStatus} from './lib/sidecar_status.ts';
import {AttemptExecutor} from './lib/attempt_executor.ts';
import {UpstreamHealth} from './lib/upstream_health.ts';
import type {SidecarSettings} from './settings.ts';

const SUSPECT_TTL_MS = 600_000;
const PLANNER_LEASE_TTL_MS = 9000;
/** Scales the poll interval with the fleet, so that all sidecars poll about 20 times a second. */
const LEASE_POLL_MS_PER_SIDECAR = 50;
const LEASE_POLL_MIN_MS = 2000;

interface Component extends Disposable {
  start(): void;
}

/**
 * Constructs all components without starting them. Components that depend on each other are passed
 * as functions.
 */
function createComponents(settings: SidecarSettings) {
  const clock = new SystemClock();
  const log = createLogger('sidecar', settings.id, settings.logLevel);
  const registry = new MetricRegistry();
  installUncaughtErrorHandlers(log, registry);
  const metrics = new SidecarMetrics(registry);
  const disposer = new Disposer();
  const {id, zone} = settings;
  const self: MemberInfo = {id, incarnation: clock.wallMs(), role: 'sidecar', zone};
  const authenticator = new HandshakeAuthenticator(settings.meshKey);
  const suspects = new SuspectList(SUSPECT_TTL_MS);
  const kv = new KeyValueClient(
    settings.keyValueUrl,
    registry.counter<KeyValueCall>('key_value_calls', 'Calls to the key-value service.', 'call'),
  );
  const admissionLimits = (slots: number): AdmissionLimits => {
    const {paidReserve, paidMaxWaitMs, paidRedirectMs, trialMaxWaitMs} = settings;
    return {slots, paidReserve, paidMaxWaitMs, paidRedirectMs, trialMaxWaitMs};
  };

  const server: MeshServer = new MeshServer(
    self,
    authenticator,
    {
      onLink: link => messageHandler.sendInitialState(link),
      onMessage: (link, message) => messageHandler.receive(link, message),
      onLinkLost: link => executor.onLinkLost(link),
    },
    metrics.linkFaults,
  );
  const configFollower = new ConfigWatcher(kv, settings.watchMs, registry, log, () => server.links);
  const health = new UpstreamHealth(settings.upstreamUrl, metrics, () =>
    messageHandler.announceStatus(),
  );
  const queue = new AdmissionQueue<Attempt>(admissionLimits(settings.slots));
  const engine = new EngineClient(settings.upstreamUrl);
  const engineController: EngineController = new EngineController({
    clock,
    log,
    metrics,
    engine,
    fencingTokens: new FencingTokenAllocator(kv, id),
    fencing: settings.fencing,
    maxOrderDelayMs: settings.maxOrderDelayMs,
    findModel: name => configFollower.activeConfig.current?.models.get(name),
    inProgressFor: model => executor.inProgressFor(model),
    onChange: () => {
      queue.setLimits(admissionLimits(engineController.state?.slots ?? settings.slots));
      messageHandler.announceStatus();
    },
  });
  const sidecarStatus = new SidecarStatus({
    settings,
    self,
    activeConfig: configFollower.activeConfig,
    health,
    engineController,
    executor: () => executor,
    planner: () => planner,
  });
  const messageHandler: PeerMessageHandler = new PeerMessageHandler({
    clock,
    server,
    configPeerSync: configFollower.peerSync,
    suspects,
    status: sidecarStatus,
    executor: () => executor,
    planner: () => planner,
    reporter: () => reporter,
    drain: () => void drain('operator'),
  });
  const executor: AttemptExecutor = new AttemptExecutor({
    clock,
    log,
    metrics,
    upstreamUrl: settings.upstreamUrl,
    queue,
    health,
    claims: new ClaimedAttemptRunner(
      new ClaimStore(kv, clock, settings.claimWindowMs),
      clock,
      metrics,
      log,
    ),
    refusalReason: start => sidecarStatus.refusalReason(start),
    prepare: start => engineController.prepare(start.target, start.adapter, start.remainingMs),
    crashCount: fingerprint => suspects.crashCount(fingerprint, clock.monotonicMs()),
    announceSuspect: message => messageHandler.announceSuspect(message),
  });
  const plannerFleet = new PlannerFleet(self, authenticator, metrics.linkFaults);
  const reporter: LoadReporter = new LoadReporter(server, queue, () =>
    reportIntervalMs(
      // Each entry receives reports from every sidecar, and each sidecar sends to every entry, so
      // the larger of the two numbers sets the interval.
      Math.max(server.links.size, plannerFleet.listedSidecars.length),
      settings.reportBytesPerS,
      settings.reportMinMs,
    ),
  );
  const instanceList = new InstanceListClient(
    settings.instanceListUrl,
    settings.listIntervalMs,
    instances => plannerFleet.applyInstanceList(instances),
  );
  const lease = new LeaderLease(kv, 'planner', id, PLANNER_LEASE_TTL_MS, clock, log, () =>
    Math.max(LEASE_POLL_MIN_MS, plannerFleet.listedSidecars.length * LEASE_POLL_MS_PER_SIDECAR),
  );
  const moves = registry.counter<string>('moves', 'Planned moves.', 'kind');
  const planner: Planner = new Planner({
    clock,
    log,
    kv,
    lease,
    activeConfig: configFollower.activeConfig,
    loadRateLimiter: new LoadRateLimiter(
      settings.loadsPerS,
      settings.loadsInFlight,
      clock.monotonicMs(),
    ),
    shardCount: settings.planShards,
    openFleet: () => plannerFleet.open(),
    closeFleet: () => plannerFleet.close(),
    onMoves: planned => {
      for (const move of planned) {
        moves.increment(move.kind);
        log.info('placement move', {...move});
      }
    },
    onTermChange: () => messageHandler.announceStatus(),
  });
  const planKey = planKeyForReplica(id, settings.planShards);
  const planWatcher = new KeyWatcher(kv, planKey, settings.watchMs, entry => {
    const copies = entry === null ? undefined : parsePlan(entry.value).copies[id];
    if (copies !== undefined) engineController.setDesiredModels(copies);
  });
  const admin = new AdminServer(registry, {
    notReadyReason: () => sidecarStatus.notReadyReason(),
    status: () => sidecarStatus.operatorStatus(),
  });
  registry.gauge('attempts_in_progress', 'Attempts queued or running.', () => executor.inProgress);
  registry.gauge('memory_charged_mib', 'Memory that may be in use.', () =>
    engineController.chargedMiB(),
  );
  registry.gauge('links', 'Open links from entries.', () => server.links.size);
  registry.gauge('mesh_bytes', 'Bytes over the links that are open.', () => server.openLinkBytes());

  const drain = (cause: string): Promise<void> => {
    if (!sidecarStatus.leaving) {
      sidecarStatus.leaving = true;
      log.info('leaving', {cause, inProgress: executor.inProgress});
      messageHandler.announceStatus();
      executor.drain(settings.drainMode);
    }
    return executor.whenIdle();
  };
  disposer.add(() => executor.dispose());
  const commonComponents: Component[] = [health, configFollower, instanceList, reporter];
  const engineComponents: Component[] = [engineController, planWatcher, lease, planner];
  const activeComponents =
    settings.upstreamKind === 'engine'
      ? [...commonComponents, ...engineComponents]
      : commonComponents;
  return {
    admin,
    messageHandler,
    disposer,
    drain,
    engine,
    kv,
    lease,
    log,
    planner,
    server,
    activeComponents,
  };
}

/** Starts a sidecar; resolves once all its ports are listening. @internal */
export async function startSidecar(settings: SidecarSettings): Promise<void> {
  const components = createComponents(settings);
  const {admin, messageHandler, disposer, lease, planner, server, activeComponents} = components;
  await Promise.all([admin.listen(settings.admin), server.listen(settings.mesh)]);
  for (const component of activeComponents) {
    component.start();
    disposer.add(() => component.dispose());
  }
  installStopSignals(async () => {
    // Give up the planner role first, so that another sidecar takes it over during the drain.
    lease.dispose();
    planner.dispose();
    await components.drain('signal');
    disposer.dispose();
    server.close();
    admin.close();
    await Promise.all([components.kv.close(), components.engine.close()]);
    components.log.info('stopped', {});
  });
  messageHandler.announceStatus();
  components.log.info('listening', {mesh: settings.mesh, upstream: settings.upstreamUrl});
}
