/** Wires the parts of a gateway. */
import {
  AdminServer,
  createLogger,
  installUncaughtErrorHandlers,
  installStopSignals,
  errorMessage,
  onReloadSignal,
  SettingsError,
  SystemClock,
  UnreadHeaderCounter,
  type Logger,
} from '@jasminepost/core';
import {HandshakeAuthenticator, type MemberInfo} from '@jasminepost/mesh';
import {DeadlineHabit} from '@jasminepost/policy';
import {readProcessSettings, StoreClient} from '@jasminepost/platform';
import {RouteTable} from '@jasminepost/serving';
import {CallerServer} from './lib/caller_server.ts';
import {ConfigHolder} from './lib/config_holder.ts';
import {CrashShare} from './lib/crash_share.ts';
import {CrashWatch} from './lib/crash_watch.ts';
import {DemandMeter} from './lib/demand_meter.ts';
import {EngineLine} from './lib/engine_line.ts';
import {EnginePlacer} from './lib/engine_placer.ts';
import {FleetFeed} from './lib/fleet_feed.ts';
import type {GatewayContext} from './lib/gateway_context.ts';
import {GatewayCount} from './lib/gateway_count.ts';
import {createGatewayMetrics} from './lib/gateway_metrics.ts';
import {GracefulStop} from './lib/graceful_stop.ts';
import {LimitDesk} from './lib/limit_desk.ts';
import {PlannerRole} from './lib/planner_role.ts';
import {PrefillEstimator} from './lib/prefill_estimator.ts';
import {serveReadiness} from './lib/readiness_server.ts';
import {ReplicaTable} from './lib/replica_table.ts';
import {RetryBudgets} from './lib/retry_budgets.ts';
import {ServiceLine} from './lib/service_line.ts';
import {StewardLinks} from './lib/steward_links.ts';
import {TrialPermit} from './lib/trial_permit.ts';
import type {GatewaySettings} from './settings.ts';

/** Gateways assumed before the planner's or the stewards have counted them. */
const ASSUMED_GATEWAYS = 4;

/** Starts a gateway; resolves once it listens. */
export async function startGateway(settings: GatewaySettings): Promise<void> {
  const {process: own} = settings;
  if (own.callers === undefined || own.readiness === undefined) {
    throw new SettingsError('listenAddrs.front, listenAddrs.readyAddr', 'nothing', 'two addresses');
  }
  const clock = new SystemClock();
  const log = createLogger('gateway', own.id, settings.logLevel);
  const metrics = createGatewayMetrics({
    waiting: () => line.length + services.length,
    configVersion: () => config.version,
    storeRevision: () => feed.knownRevision,
    storeUnheardMs: () => feed.unheardMs,
    queuedBytes: () => planner.queuedBytes,
  });
  installUncaughtErrorHandlers(log, metrics.registry);
  const store = new StoreClient(own.store, metrics.storeCalls, (era, before) => {
    log.warn('store came back from a copy', {era, before, plans: planner.isRelay});
    feed.onNewEra();
    planner.onNewEra();
    share.onNewEra();
  });
  const guard = new HandshakeAuthenticator(settings.meshKey);
  const incarnation = Math.floor(clock.wallMs());
  const self: MemberInfo = {id: own.id, incarnation, role: 'gateway', zone: own.zone};

  const config = new ConfigHolder(log, applied => {
    server.applyRoutes(new RouteTable(applied));
    table.applyServices(applied.services);
    for (const replica of table.replicas.values()) links.addEngine(replica);
  });
  const engineOf = (service: string) => config.engineOf(service);
  const links = new StewardLinks({
    self,
    guard,
    port: own.meshPort,
    clock,
    log,
    faults: metrics.linkFaults,
    isEngine: service => engineOf(service) !== undefined,
    onAccount: (host, account) => planner.takeAccount(host, account),
    onState: replica => limits.onSteward(replica),
    onChanged: () => line.wake(),
  });
  const table = new ReplicaTable(clock, log, {
    onAdded: replica => links.addEngine(replica),
    onRemoved: replica => {
      links.remove(replica);
      limits.forget(replica);
    },
    onChanged: () => line.wake(),
  });
  const permit = new TrialPermit(store, own.id, own.minLeaseMs, log);
  const crashes = new CrashWatch({
    clock,
    log,
    evidence: metrics.crashEvidence,
    self: own.id,
    isLost: replica => replica.hasEnded || table.replicas.get(replica.id) !== replica,
    isListSound: () => feed.isSound,
    takeTrial: fingerprint => permit.take(fingerprint),
    announce: message => share.announce(message),
  });
  const share = new CrashShare({
    store,
    clock,
    log,
    self: own.id,
    announce: message => planner.announce(message),
    isPlannerHeard: () => planner.isRelay || feed.isRelayed,
    list: () => crashes.list(),
    take: message => crashes.take(message),
  });
  const estimator = new PrefillEstimator();
  const demand = new DemandMeter(estimator);
  const limits: LimitDesk = new LimitDesk({
    clock,
    log,
    permits: metrics.permits,
    replicas: () => table.replicas.values(),
    gateways: () => gateways(),
    ask: message => planner.askPermits(message),
    announce: message => planner.announceLimits(message),
    onChanged: () => {
      line.wake();
      services.wake();
    },
  });
  const placer = new EnginePlacer({
    clock,
    zone: own.zone,
    table,
    limits,
    estimator,
    engineOf,
    canLoadAdapter: replica => links.canLoadAdapter(replica),
    wishAdapter: (replica, model, adapter) => links.wishAdapter(replica, model, adapter),
  });
  const line: EngineLine = new EngineLine({
    clock,
    placer,
    estimator,
    demand,
    engineOf,
    isClosing: () => stop.closing,
    tryPermit: replica => limits.tryTake(replica),
    showInterest: replica => links.showInterest(replica),
  });
  const services = new ServiceLine(() => ctx);
  const {retryRatio: ratio, retrySlack: slack, retryWindowMs: windowMs} = own.bounds;
  const startedMs = own.isFirstStart ? Number.NEGATIVE_INFINITY : clock.monotonicMs();
  const budgets = new RetryBudgets({ratio, slack, windowMs}, startedMs);
  const gatewayCount = new GatewayCount(ASSUMED_GATEWAYS, log);
  const gateways = (): number => {
    const counts = [table.gateways(), feed.countedGateways, planner.linkedGateways];
    return gatewayCount.note(Math.max(...counts), clock.monotonicMs());
  };
  const ctx: GatewayContext = {
    clock,
    log,
    metrics,
    unreadHeaders: new UnreadHeaderCounter(metrics.registry, log),
    zone: own.zone,
    crossZoneMs: settings.crossZoneMs,
    table,
    estimator,
    line,
    services,
    limits,
    crashes,
    deadlines: new DeadlineHabit(),
    engineOf,
    retryBudget: service => budgets.of(service),
    gateways,
    configVersion: () => config.version,
    isDraining: () => stop.draining,
    isClosing: () => stop.closing,
    isStarting: () => feed.isFirstCall && !stop.draining,
    onFinished: request => server.onFinished(request),
  };
  const server = new CallerServer(() => ctx);
  const stop = new GracefulStop(clock, log, server, own.bounds.graceMs);
  const planner: PlannerRole = new PlannerRole({
    clock,
    log,
    store,
    minLeaseMs: own.minLeaseMs,
    self,
    address: {host: own.ip, port: own.meshPort},
    guard,
    faults: metrics.linkFaults,
    loadWindowS: own.bounds.loadWindowS,
    loadOvershoot: own.bounds.loadOvershoot,
    engines: () => config.engines(),
    replicasOf: service => table.ofService(service),
    isLinked: replica => links.isLinked(replica),
    place: (replica, message) => links.place(replica, message),
    onMove: move => metrics.placements.increment(move.source),
    takeDemand: () => demand.take(line.waitingByModel()),
    crashNews: () => crashes.list(),
    onCrashNews: message => crashes.take(message),
    limitNews: () => limits.news(),
    onLimitNews: message => limits.onNews(message),
    onPermits: message => limits.onGrant(message),
    onStoreChanges: message => feed.takeRelayed(message),
  });
  const feed: FleetFeed = new FleetFeed(store, log, own.replicaIntervalMs, {
    onConfig: (text, point) => config.take(text, point),
    onReplicaSnapshot: (changes, kind) => table.applySnapshot(changes, kind),
    onReplicaChange: (change, afterOutage) => table.applyChange(change, afterOutage),
    onOther: change => {
      planner.takeChange(change);
      share.takeChange(change);
    },
    isRelay: () => planner.isRelay,
    relay: message => planner.relay(message),
    gateways,
    linkedGateways: () => planner.linkedGateways,
  });
  const notReadyReason = () => {
    if (stop.draining) return 'draining';
    if (!config.isKnown) return 'no configuration';
    return table.wasRead ? undefined : 'no replicas read';
  };

  feed.start();
  share.start();
  await server.listen(own.callers);
  await planner.start();
  await serveReadiness(own.readiness, notReadyReason);
  const admin = new AdminServer(metrics.registry, {notReadyReason, status: () => ({})});
  // Callers are served all the same when the metrics address is taken.
  await admin.tryListen({host: own.ip, port: settings.metricsPort}, log);
  log.info('started', {zone: own.zone, ip: own.ip, graceMs: own.bounds.graceMs});

  onReloadSignal(() => reload(settings, log));
  installStopSignals(async () => {
    await stop.run();
    planner.dispose();
    feed.dispose();
    links.dispose();
    line.dispose();
    services.dispose();
    crashes.dispose();
    share.dispose();
    table.dispose();
  });
}

/** Reads the settings file again; addresses hold until the next start. */
function reload(settings: GatewaySettings, log: Logger): void {
  try {
    const next = readProcessSettings(settings.configPath);
    log.info('settings read again', {changed: changedFields(settings.process, next)});
  } catch (thrown) {
    log.error('settings malformed, the last ones stay', {error: errorMessage(thrown)});
  }
}

function changedFields(before: object, after: object): string[] {
  const old = before as Readonly<Record<string, unknown>>;
  return Object.entries(after)
    .filter(([field, value]) => JSON.stringify(old[field]) !== JSON.stringify(value))
    .map(([field]) => field);
}
