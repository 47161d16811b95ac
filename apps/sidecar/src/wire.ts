/** Constructs the sidecar's parts and connects them. */
import {
  AdminServer,
  createLogger,
  Disposer,
  installStopSignals,
  MetricRegistry,
  SystemClock,
  type NotRunReason,
} from '@jasminepost/core';
import {EngineClient} from '@jasminepost/engine';
import {
  Fleet,
  HelloGuard,
  MeshServer,
  type MemberInfo,
  type MeshLink,
  type MeshMessage,
  type StartMessage,
  type StatusMessage,
  type SuspectMessage,
} from '@jasminepost/mesh';
import {ConfigFollower} from '@jasminepost/operator';
import {
  ClaimStore,
  FenceCounter,
  InstanceListClient,
  KeyValueClient,
  KeyWatcher,
  parsePlan,
  planKeyOf,
  TermLease,
  type KeyValueCall,
  type ListedInstance,
} from '@jasminepost/platform';
import {AdmissionQueue, reportIntervalMs, SuspectList} from '@jasminepost/policy';
import {LoadBudget} from '@jasminepost/weight_store';
import type {Attempt} from './lib/attempt.ts';
import {ClaimRunner} from './lib/claim_runner.ts';
import {EngineSteward} from './lib/engine_steward.ts';
import {LoadReporter} from './lib/load_reporter.ts';
import {Planner} from './lib/planner.ts';
import {SidecarMetrics} from './lib/sidecar_metrics.ts';
import {UpstreamGate} from './lib/upstream_gate.ts';
import {UpstreamHealth} from './lib/upstream_health.ts';
import type {SidecarSettings} from './settings.ts';

const SUSPECT_MEMORY_MS = 600_000;
const PLANNER_TTL_MS = 9000;
/** Spreads looks at the planner's role so that a large fleet asks about 20 times a second. */
const PLANNER_TRY_MS_PER_PEER = 50;
const PLANNER_TRY_MIN_MS = 2000;

/** Starts a sidecar; resolves when it listens. @internal */
export async function startSidecar(settings: SidecarSettings): Promise<void> {
  const clock = new SystemClock();
  const log = createLogger('sidecar', settings.id, settings.logLevel);
  const registry = new MetricRegistry();
  const metrics = new SidecarMetrics(registry);
  const disposer = new Disposer();
  const self: MemberInfo = {
    id: settings.id,
    incarnation: clock.wallMs(),
    role: 'sidecar',
    zone: settings.zone,
  };
  const guard = new HelloGuard(settings.meshKey);
  const kv = new KeyValueClient(
    settings.keyValueUrl,
    registry.counter<KeyValueCall>('key_value_calls', 'Calls to the key-value service.', 'call'),
  );
  const moves = registry.counter<string>('moves', 'Planned moves.', 'kind');
  const suspects = new SuspectList(SUSPECT_MEMORY_MS);
  const claims = new ClaimStore(kv, clock, settings.claimWindowMs);
  let leaving = false;

  const server: MeshServer = new MeshServer(
    self,
    guard,
    {
      onLink: link => welcome(link),
      onMessage: (link, message) => receive(link, message),
      onLinkLost: link => gate.onLinkLost(link),
    },
    metrics.linkFaults,
  );
  const config = new ConfigFollower(kv, settings.watchMs, registry, log, () => server.links);
  const health = new UpstreamHealth(settings.upstreamUrl, metrics, announceStatus);
  const queue = new AdmissionQueue<Attempt>(limitsFor(settings.slots));
  const engine = new EngineClient(settings.upstreamUrl);
  const steward: EngineSteward = new EngineSteward({
    clock,
    log,
    metrics,
    engine,
    fences: new FenceCounter(kv, settings.id),
    fencing: settings.fencing,
    maxOrderDelayMs: settings.maxOrderDelayMs,
    modelOf: name => config.keeper.current?.models.get(name),
    inProgressFor: model => gate.inProgressFor(model),
    onChange: () => {
      queue.setLimits(limitsFor(steward.state?.slots ?? settings.slots));
      announceStatus();
    },
  });
  const gate: UpstreamGate = new UpstreamGate({
    clock,
    log,
    metrics,
    upstreamUrl: settings.upstreamUrl,
    queue,
    health,
    claims: new ClaimRunner(claims, clock, metrics, log),
    refusalOf,
    prepare: start =>
      start.adapter === ''
        ? Promise.resolve(true)
        : steward.ensureAdapter(
            start.target,
            start.adapter,
            clock.monotonicMs() + start.remainingMs,
          ),
    crashesOf: fingerprint => suspects.crashesOf(fingerprint, clock.monotonicMs()),
    announceSuspect,
  });
  const reporter = new LoadReporter(server, queue, () =>
    reportIntervalMs(server.links.size, settings.reportBytesPerS, settings.reportMinMs),
  );

  let listedSidecars: ListedInstance[] = [];
  let plannerFleet: Fleet | undefined;
  const list = new InstanceListClient(
    settings.instanceListUrl,
    settings.listIntervalMs,
    instances => {
      listedSidecars = instances.filter(i => i.role === 'sidecar');
      applyPlannerList();
    },
  );
  const lease = new TermLease(kv, 'planner', self.id, PLANNER_TTL_MS, clock, log, () =>
    Math.max(PLANNER_TRY_MIN_MS, listedSidecars.length * PLANNER_TRY_MS_PER_PEER),
  );
  const planner: Planner = new Planner({
    clock,
    log,
    kv,
    lease,
    keeper: config.keeper,
    budget: new LoadBudget(settings.loadsPerS, settings.loadsInFlight, clock.monotonicMs()),
    shards: settings.planShards,
    openFleet,
    onMoves: planned => {
      for (const move of planned) {
        moves.increment(move.kind);
        log.info('placement move', {...move});
      }
    },
    onTermChange: announceStatus,
  });
  const planWatcher = new KeyWatcher(
    kv,
    planKeyOf(settings.id, settings.planShards),
    settings.watchMs,
    entry => {
      if (entry === null) return;
      const copies = parsePlan(entry.value).copies[settings.id];
      if (copies !== undefined) steward.setDesired(copies);
    },
  );
  const admin = new AdminServer(registry, {
    notReadyReason: () => (leaving ? 'leaving' : notReady()),
    status: statusJson,
  });
  registry.gauge('attempts_in_progress', 'Attempts queued or running.', () => gate.inProgress);
  registry.gauge('memory_charged_mib', 'Memory that may be in use.', () => steward.chargedMiB());
  registry.gauge('mesh_bytes', 'Bytes over the links that are open.', () => server.openTraffic());
  registry.gauge('links', 'Open links from entries.', () => server.links.size);

  function limitsFor(slots: number) {
    const {paidReserve, paidMaxWaitMs, trialMaxWaitMs} = settings;
    return {slots, paidReserve, paidMaxWaitMs, trialMaxWaitMs};
  }

  function notReady(): string | undefined {
    if (config.keeper.current === undefined) return 'no configuration yet';
    return health.healthy ? undefined : 'upstream not healthy';
  }

  function refusalOf(start: StartMessage): NotRunReason | undefined {
    if (leaving) return 'leaving';
    if (!health.healthy) return 'upstream_unhealthy';
    if (start.kind !== settings.upstreamKind) return 'model_not_ready';
    if (start.kind === 'service') {
      return start.target === settings.service ? undefined : 'model_not_ready';
    }
    return steward.isServing(start.target) ? undefined : 'model_not_ready';
  }

  function currentStatus(): StatusMessage {
    const {state} = steward;
    return {
      type: 'status',
      upstream: settings.id,
      kind: settings.upstreamKind,
      service: settings.service,
      leaving,
      healthy: health.healthy,
      models: steward.servingModels(),
      adapters: steward.readyAdapters(),
      plannerTerm: planner.activeTerm,
      freeMiB: Math.max(0, (state?.totalMiB ?? 0) - steward.chargedMiB()),
      totalMiB: state?.totalMiB ?? 0,
      slots: state?.slots ?? settings.slots,
    };
  }

  function announceStatus(): void {
    server.broadcast(currentStatus());
  }

  function announceSuspect(message: SuspectMessage): void {
    takeSuspect(message);
    server.broadcast(message);
  }

  function takeSuspect(message: SuspectMessage): void {
    if (message.cleared) suspects.clear(message.fingerprint);
    else suspects.report(message.fingerprint, message.crashes, clock.monotonicMs());
  }

  function welcome(link: MeshLink): void {
    config.spreader.announce(link);
    link.send(currentStatus());
    reporter.reportTo(link);
    for (const suspect of suspects.list(clock.monotonicMs())) {
      link.send({type: 'suspect', ...suspect, cleared: false});
    }
  }

  function receive(link: MeshLink, message: MeshMessage): void {
    if (config.spreader.receive(link, message)) return;
    switch (message.type) {
      case 'start':
        gate.onStart(link, message);
        return;
      case 'cancel':
        gate.onCancel(link, message.attempt);
        return;
      case 'ack':
        gate.onAck(link, message.attempt, message.bytes);
        return;
      case 'demand':
        planner.onDemand(message);
        return;
      case 'suspect':
        takeSuspect(message);
        return;
      case 'operator_ask':
        if (message.ask === 'drain') void drain('operator');
        link.send({type: 'operator_reply', json: JSON.stringify(statusJson())});
        return;
      default:
        link.cut('message_malformed');
    }
  }

  function openFleet(): Fleet {
    plannerFleet = new Fleet(
      self,
      guard,
      {
        onUp: () => undefined,
        onStatus: () => undefined,
        onDown: () => undefined,
        onMessage: () => undefined,
      },
      metrics.linkFaults,
    );
    applyPlannerList();
    return plannerFleet;
  }

  function applyPlannerList(): void {
    plannerFleet?.applyList(
      listedSidecars.map(i => ({
        id: i.id,
        zone: i.zone,
        mesh: {host: i.host, port: i.port},
        leaving: i.state === 'leaving',
      })),
    );
  }

  function statusJson(): Readonly<Record<string, unknown>> {
    return {
      id: self.id,
      role: self.role,
      zone: self.zone,
      leaving,
      ready: notReady() === undefined,
      generation: config.keeper.generation,
      hash: config.keeper.hash,
      inProgress: gate.inProgress,
      planner: planner.activeTerm,
      models: steward.servingModels(),
      chargedMiB: steward.chargedMiB(),
      totalMiB: steward.state?.totalMiB ?? 0,
    };
  }

  function drain(cause: string): Promise<void> {
    if (!leaving) {
      leaving = true;
      log.info('leaving', {cause, inProgress: gate.inProgress});
      announceStatus();
      gate.drain(settings.drainMode);
    }
    return gate.whenIdle();
  }

  async function stop(): Promise<void> {
    lease.dispose();
    planner.dispose();
    await drain('signal');
    disposer.dispose();
    server.close();
    admin.close();
    await Promise.all([kv.close(), engine.close()]);
    log.info('stopped', {});
  }

  await Promise.all([admin.listen(settings.admin), server.listen(settings.mesh)]);
  disposer.add(() => gate.dispose());
  health.start();
  disposer.add(() => health.dispose());
  config.start();
  disposer.add(() => config.dispose());
  list.start();
  disposer.add(() => list.dispose());
  reporter.start();
  disposer.add(() => reporter.dispose());
  if (settings.upstreamKind === 'engine') {
    steward.start();
    disposer.add(() => steward.dispose());
    planWatcher.start();
    disposer.add(() => planWatcher.dispose());
    lease.start();
    planner.start();
  }
  installStopSignals(stop);
  log.info('listening', {mesh: settings.mesh, upstream: settings.upstreamUrl});
}
