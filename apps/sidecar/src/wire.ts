/** Constructs the sidecar's parts and connects them. */
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
import {ClaimRunner} from './lib/claim_runner.ts';
import {EngineSteward} from './lib/engine_steward.ts';
import {LoadReporter} from './lib/load_reporter.ts';
import {PeerDesk} from './lib/peer_desk.ts';
import {Planner} from './lib/planner.ts';
import {PlannerFleet} from './lib/planner_fleet.ts';
import {SidecarMetrics} from './lib/sidecar_metrics.ts';
import {StatusBoard} from './lib/status_board.ts';
import {UpstreamGate} from './lib/upstream_gate.ts';
import {UpstreamHealth} from './lib/upstream_health.ts';
import type {SidecarSettings} from './settings.ts';

const SUSPECT_MEMORY_MS = 600_000;
const PLANNER_TTL_MS = 9000;
/** Spreads looks at the planner's role so that a large fleet asks about 20 times a second. */
const PLANNER_TRY_MS_PER_PEER = 50;
const PLANNER_TRY_MIN_MS = 2000;

interface Part extends Disposable {
  start(): void;
}

/** Constructs every part; nothing runs yet. Parts that need each other meet through functions. */
function construct(settings: SidecarSettings) {
  const clock = new SystemClock();
  const log = createLogger('sidecar', settings.id, settings.logLevel);
  const registry = new MetricRegistry();
  installUncaughtErrorHandlers(log, registry);
  const metrics = new SidecarMetrics(registry);
  const disposer = new Disposer();
  const {id, zone} = settings;
  const self: MemberInfo = {id, incarnation: clock.wallMs(), role: 'sidecar', zone};
  const guard = new HandshakeAuthenticator(settings.meshKey);
  const suspects = new SuspectList(SUSPECT_MEMORY_MS);
  const kv = new KeyValueClient(
    settings.keyValueUrl,
    registry.counter<KeyValueCall>('key_value_calls', 'Calls to the key-value service.', 'call'),
  );
  const limits = (slots: number): AdmissionLimits => {
    const {paidReserve, paidMaxWaitMs, paidRedirectMs, trialMaxWaitMs} = settings;
    return {slots, paidReserve, paidMaxWaitMs, paidRedirectMs, trialMaxWaitMs};
  };

  const server: MeshServer = new MeshServer(
    self,
    guard,
    {
      onLink: link => desk.welcome(link),
      onMessage: (link, message) => desk.receive(link, message),
      onLinkLost: link => gate.onLinkLost(link),
    },
    metrics.linkFaults,
  );
  const config = new ConfigWatcher(kv, settings.watchMs, registry, log, () => server.links);
  const health = new UpstreamHealth(settings.upstreamUrl, metrics, () => desk.announceStatus());
  const queue = new AdmissionQueue<Attempt>(limits(settings.slots));
  const engine = new EngineClient(settings.upstreamUrl);
  const steward: EngineSteward = new EngineSteward({
    clock,
    log,
    metrics,
    engine,
    fences: new FencingTokenAllocator(kv, id),
    fencing: settings.fencing,
    maxOrderDelayMs: settings.maxOrderDelayMs,
    modelOf: name => config.activeConfig.current?.models.get(name),
    inProgressFor: model => gate.inProgressFor(model),
    onChange: () => {
      queue.setLimits(limits(steward.state?.slots ?? settings.slots));
      desk.announceStatus();
    },
  });
  const board = new StatusBoard({
    settings,
    self,
    keeper: config.activeConfig,
    health,
    steward,
    gate: () => gate,
    planner: () => planner,
  });
  const desk: PeerDesk = new PeerDesk({
    clock,
    server,
    spreader: config.peerSync,
    suspects,
    board,
    gate: () => gate,
    planner: () => planner,
    reporter: () => reporter,
    drain: () => void drain('operator'),
  });
  const gate: UpstreamGate = new UpstreamGate({
    clock,
    log,
    metrics,
    upstreamUrl: settings.upstreamUrl,
    queue,
    health,
    claims: new ClaimRunner(new ClaimStore(kv, clock, settings.claimWindowMs), clock, metrics, log),
    refusalOf: start => board.refusalOf(start),
    prepare: start => steward.prepare(start.target, start.adapter, start.remainingMs),
    crashesOf: fingerprint => suspects.crashCount(fingerprint, clock.monotonicMs()),
    announceSuspect: message => desk.announceSuspect(message),
  });
  const plannerFleet = new PlannerFleet(self, guard, metrics.linkFaults);
  const reporter: LoadReporter = new LoadReporter(server, queue, () =>
    reportIntervalMs(
      // An entry hears from every sidecar, and a sidecar speaks to every entry.
      Math.max(server.links.size, plannerFleet.listed.length),
      settings.reportBytesPerS,
      settings.reportMinMs,
    ),
  );
  const list = new InstanceListClient(
    settings.instanceListUrl,
    settings.listIntervalMs,
    instances => plannerFleet.applyList(instances),
  );
  const lease = new LeaderLease(kv, 'planner', id, PLANNER_TTL_MS, clock, log, () =>
    Math.max(PLANNER_TRY_MIN_MS, plannerFleet.listed.length * PLANNER_TRY_MS_PER_PEER),
  );
  const moves = registry.counter<string>('moves', 'Planned moves.', 'kind');
  const planner: Planner = new Planner({
    clock,
    log,
    kv,
    lease,
    keeper: config.activeConfig,
    budget: new LoadRateLimiter(settings.loadsPerS, settings.loadsInFlight, clock.monotonicMs()),
    shards: settings.planShards,
    openFleet: () => plannerFleet.open(),
    closeFleet: () => plannerFleet.close(),
    onMoves: planned => {
      for (const move of planned) {
        moves.increment(move.kind);
        log.info('placement move', {...move});
      }
    },
    onTermChange: () => desk.announceStatus(),
  });
  const planKey = planKeyForReplica(id, settings.planShards);
  const planWatcher = new KeyWatcher(kv, planKey, settings.watchMs, entry => {
    const copies = entry === null ? undefined : parsePlan(entry.value).copies[id];
    if (copies !== undefined) steward.setDesired(copies);
  });
  const admin = new AdminServer(registry, {
    notReadyReason: () => board.notReadyReason(),
    status: () => board.summary(),
  });
  registry.gauge('attempts_in_progress', 'Attempts queued or running.', () => gate.inProgress);
  registry.gauge('memory_charged_mib', 'Memory that may be in use.', () => steward.chargedMiB());
  registry.gauge('links', 'Open links from entries.', () => server.links.size);
  registry.gauge('mesh_bytes', 'Bytes over the links that are open.', () => server.openLinkBytes());

  const drain = (cause: string): Promise<void> => {
    if (!board.leaving) {
      board.leaving = true;
      log.info('leaving', {cause, inProgress: gate.inProgress});
      desk.announceStatus();
      gate.drain(settings.drainMode);
    }
    return gate.whenIdle();
  };
  disposer.add(() => gate.dispose());
  const always: Part[] = [health, config, list, reporter];
  const forEngines: Part[] = [steward, planWatcher, lease, planner];
  const starters = settings.upstreamKind === 'engine' ? [...always, ...forEngines] : always;
  return {admin, desk, disposer, drain, engine, kv, lease, log, planner, server, starters};
}

/** Starts a sidecar; resolves when it listens. @internal */
export async function startSidecar(settings: SidecarSettings): Promise<void> {
  const parts = construct(settings);
  const {admin, desk, disposer, lease, planner, server, starters} = parts;
  await Promise.all([admin.listen(settings.admin), server.listen(settings.mesh)]);
  for (const part of starters) {
    part.start();
    disposer.add(() => part.dispose());
  }
  installStopSignals(async () => {
    // The role goes first, so that another sidecar takes it over while this one drains.
    lease.dispose();
    planner.dispose();
    await parts.drain('signal');
    disposer.dispose();
    server.close();
    admin.close();
    await Promise.all([parts.kv.close(), parts.engine.close()]);
    parts.log.info('stopped', {});
  });
  desk.announceStatus();
  parts.log.info('listening', {mesh: settings.mesh, upstream: settings.upstreamUrl});
}
