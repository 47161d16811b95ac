/** Composition root of the gateway: creates its components and connects them. */
import {
  AdminServer,
  createLogger,
  errorMessage,
  installStopSignals,
  installUncaughtErrorHandlers,
  newId,
  onReloadSignal,
  SettingsError,
  SystemClock,
  UnreadHeaderCounter,
  type Logger,
} from '@jasminepost/core';
import {HandshakeAuthenticator, type MemberInfo} from '@jasminepost/mesh';
import {ListAgeLimit, PriorWaitEstimator, StreamVersions} from '@jasminepost/policy';
import {readProcessSettings, StoreClient} from '@jasminepost/platform';
import {ActiveConfig} from './lib/active_config.ts';
import {CallerMemory} from './lib/caller_memory.ts';
import {CallerServer} from './lib/caller_server.ts';
import {CrashDetector} from './lib/crash_detector.ts';
import {CrashNewsSync} from './lib/crash_news_sync.ts';
import {DefaultVersions} from './lib/default_versions.ts';
import {DemandMeter} from './lib/demand_meter.ts';
import {EngineSelector} from './lib/engine_selector.ts';
import {FleetWatcher} from './lib/fleet_watcher.ts';
import type {GatewayContext} from './lib/gateway_context.ts';
import {GatewayCount} from './lib/gateway_count.ts';
import {createGatewayMetrics} from './lib/gateway_metrics.ts';
import {GenerationQueue} from './lib/generation_queue.ts';
import {GracefulShutdown} from './lib/graceful_shutdown.ts';
import {OrganisationQuotas} from './lib/organisation_quotas.ts';
import {PlannerRole} from './lib/planner_role.ts';
import {PrefillEstimator} from './lib/prefill_estimator.ts';
import {serveReadiness} from './lib/readiness_server.ts';
import {ReplicaRateLimits} from './lib/replica_rate_limits.ts';
import {ReplicaTable} from './lib/replica_table.ts';
import {RetryBudgets} from './lib/retry_budgets.ts';
import {ServiceQueue} from './lib/service_queue.ts';
import {StewardLinks} from './lib/steward_links.ts';
import {StreamRecord} from './lib/stream_record.ts';
import {StreamWitnesses} from './lib/stream_witnesses.ts';
import {TrialLease} from './lib/trial_lease.ts';
import {ZoneOverflows} from './lib/zone_overflows.ts';
import {ZoneTraffic} from './lib/zone_traffic.ts';
import type {GatewaySettings} from './settings.ts';

/** Number of gateways assumed until the planner's gateway or the stewards have counted them. */
const INITIAL_GATEWAY_COUNT = 4;

/** Starts the gateway; resolves once it accepts connections. */
export async function startGateway(settings: GatewaySettings): Promise<void> {
  const {process: instance} = settings;
  if (instance.callers === undefined || instance.readiness === undefined) {
    throw new SettingsError('listenAddrs.front, listenAddrs.readyAddr', 'nothing', 'two addresses');
  }
  const clock = new SystemClock();
  const log = createLogger('gateway', instance.id, settings.logLevel);
  const metrics = createGatewayMetrics({
    waiting: () => generations.length + services.length,
    configVersion: () => activeConfig.version,
    storeRevision: () => fleetWatcher.knownRevision,
    storeContactAgeMs: () => fleetWatcher.contactAgeMs,
    queuedBytes: () => planner.queuedBytes,
    callerBytes: () => memory.budget.usedBytes,
  });
  const {memoryBytes} = instance;
  const memory = new CallerMemory({memoryBytes, log, evictions: metrics.memoryEvictions});
  installUncaughtErrorHandlers(log, metrics.registry);
  const store = new StoreClient(instance.store, metrics.storeCalls, (era, before) => {
    log.warn('store restored from an older copy', {era, before, plans: planner.isRelay});
    fleetWatcher.onStoreRestored();
    planner.onStoreRestored();
    crashNewsSync.onStoreRestored();
    defaultVersions.onStoreRestored();
    streamRecord.onStoreRestored();
  });
  const authenticator = new HandshakeAuthenticator(settings.meshKey);
  const incarnation = Math.floor(clock.wallMs());
  const self: MemberInfo = {id: instance.id, incarnation, role: 'gateway', zone: instance.zone};

  const activeConfig = new ActiveConfig(log, applied => {
    quotas.apply(applied.organisations ?? []);
    server.applyConfig(applied);
    table.applyServices(applied.services);
    for (const replica of table.replicas.values()) stewardLinks.addEngine(replica);
  });
  const engineOf = (service: string) => activeConfig.engineOf(service);
  const stewardLinks = new StewardLinks({
    self,
    authenticator,
    port: instance.meshPort,
    clock,
    log,
    faults: metrics.linkFaults,
    isEngine: service => engineOf(service) !== undefined,
    onLoadReport: (host, report) => planner.recordLoadReport(host, report),
    onLinked: host => streamWitnesses.onLinked(host),
    onStreamsReply: (host, reply) => streamWitnesses.onReply(host, reply),
    onStateChanged: replica => limits.onSteward(replica),
    onChanged: () => generations.scheduleDispatch(),
  });
  const streamWitnesses = new StreamWitnesses({
    clock,
    hostsOf: service => stewardLinks.hostsOf(service),
    send: (host, message) => stewardLinks.send(host, message),
  });
  const table = new ReplicaTable(clock, log, {
    onAdded: replica => stewardLinks.addEngine(replica),
    onRemoved: replica => {
      stewardLinks.remove(replica);
      streamWitnesses.forget(replica);
      limits.forget(replica);
    },
    onChanged: () => {
      generations.scheduleDispatch();
      services.scheduleDispatch();
    },
  });
  const trialLease = new TrialLease(store, instance.id, instance.minLeaseMs, log);
  const crashes = new CrashDetector({
    clock,
    log,
    evidence: metrics.crashEvidence,
    self: instance.id,
    isLost: replica => replica.hasEnded || table.replicas.get(replica.id) !== replica,
    isListUpToDate: () => fleetWatcher.isUpToDate,
    isRelay: () => planner.isRelay,
    acquireTrial: fingerprint => trialLease.acquire(fingerprint),
    announce: message => crashNewsSync.announce(message),
  });
  const crashNewsSync = new CrashNewsSync({
    store,
    clock,
    log,
    self: instance.id,
    announce: message => planner.announceCrashes(message),
    isRelay: () => planner.isRelay,
    isPlannerReachable: () => planner.isRelay || fleetWatcher.isRelayed,
    list: () => crashes.list(),
    applyNews: message => crashes.applyNews(message),
  });
  const defaultVersions = new DefaultVersions({
    store,
    clock,
    log,
    isFirstStart: instance.isFirstStart,
    isPlanner: () => planner.isRelay && table.hasSnapshot,
    resumableServices: () => activeConfig.resumableServices(),
    versionsOf: service => table.versionsOf(service),
  });
  const streamRecord = new StreamRecord({
    store,
    clock,
    log,
    self: newId(instance.id),
    gateways: () => gateways(),
    applyDefault: (service, found) => defaultVersions.applyRange(service, found),
  });
  const listAgeLimit = new ListAgeLimit(instance.bounds.drainMs);
  const mayChooseReplica = () =>
    listAgeLimit.mayChoose(fleetWatcher.contactAgeMs, clock.monotonicMs());
  const estimator = new PrefillEstimator();
  const demand = new DemandMeter(estimator);
  const limits: ReplicaRateLimits = new ReplicaRateLimits({
    clock,
    log,
    permits: metrics.permits,
    replicas: () => table.replicas.values(),
    gateways: () => gateways(),
    ask: message => planner.requestPermits(message),
    announce: message => planner.announceLimits(message),
    onChanged: () => {
      generations.scheduleDispatch();
      services.scheduleDispatch();
    },
  });
  const quotas = new OrganisationQuotas({
    clock,
    log,
    credit: metrics.credit,
    tolerance: instance.bounds.quota,
    gateways: () => gateways(),
    configVersion: () => activeConfig.version,
    ask: message => planner.requestPermits(message),
    onCredit: () => {
      generations.scheduleDispatch();
      services.scheduleDispatch();
    },
  });
  const zoneTraffic = new ZoneTraffic({zone: instance.zone, metrics, engineOf});
  const zoneOverflows = new ZoneOverflows({
    zone: instance.zone,
    roundTripMs: settings.crossZoneMs,
    msPerMb: settings.crossZoneMsPerMb,
    isEnabled: settings.zoneOverflow,
    traffic: zoneTraffic,
    random: Math.random,
  });
  const engineSelector = new EngineSelector({
    clock,
    zone: instance.zone,
    zoneOverflows,
    table,
    limits,
    estimator,
    engineOf,
    canLoadAdapter: replica => stewardLinks.canLoadAdapter(replica),
    requestAdapter: (replica, model, adapter) =>
      stewardLinks.requestAdapter(replica, model, adapter),
  });
  const generations: GenerationQueue = new GenerationQueue({
    clock,
    selector: engineSelector,
    estimator,
    demand,
    engineOf,
    isClosing: () => shutdown.closing,
    mayChooseReplica,
    tryUsePermit: replica => limits.tryUsePermit(replica),
    renewLoadSubscription: replica => stewardLinks.renewLoadSubscription(replica),
  });
  const services = new ServiceQueue(() => ctx);
  const {retryRatio: ratio, retrySlack: slack, retryWindowMs: windowMs} = instance.bounds;
  const startedMs = instance.isFirstStart ? Number.NEGATIVE_INFINITY : clock.monotonicMs();
  const budgets = new RetryBudgets({ratio, slack, windowMs}, startedMs);
  const gatewayCount = new GatewayCount(INITIAL_GATEWAY_COUNT, log);
  const gateways = (): number => {
    const counts = [
      table.gateways(),
      fleetWatcher.reportedGatewayCount,
      planner.linkedGatewayCount,
    ];
    return gatewayCount.record(Math.max(...counts), clock.monotonicMs());
  };
  const ctx: GatewayContext = {
    clock,
    log,
    metrics,
    unreadHeaders: new UnreadHeaderCounter(metrics.registry, log),
    zone: instance.zone,
    crossZoneMs: settings.crossZoneMs,
    zoneOverflows,
    zoneTraffic,
    table,
    estimator,
    generations,
    services,
    limits,
    quotas,
    crashes,
    memory,
    streamVersions: new StreamVersions(),
    defaultVersions,
    streamRecord,
    streamWitnesses,
    priorWait: new PriorWaitEstimator(),
    engineOf,
    retryBudget: service => budgets.forService(service),
    gateways,
    configVersion: () => activeConfig.version,
    configCurrency: () => ({
      ageMs: fleetWatcher.configAgeMs,
      applyMs: instance.bounds.configApplyMs,
      isNewerAnnounced: fleetWatcher.isNewerConfigAnnounced,
    }),
    listAgeMs: () => fleetWatcher.contactAgeMs,
    mayChooseReplica,
    endsConnection: req => shutdown.draining && !server.isFollowed(req),
    isClosing: () => shutdown.closing,
    isStarting: () => fleetWatcher.isFirstCall && !shutdown.draining,
    onFinished: request => server.onFinished(request),
  };
  const server = new CallerServer(() => ctx);
  const shutdown = new GracefulShutdown(clock, log, server, instance.bounds.graceMs);
  const planner: PlannerRole = new PlannerRole({
    clock,
    log,
    store,
    minLeaseMs: instance.minLeaseMs,
    self,
    address: {host: instance.ip, port: instance.meshPort},
    authenticator,
    faults: metrics.linkFaults,
    loadWindowS: instance.bounds.loadWindowS,
    loadOvershoot: instance.bounds.loadOvershoot,
    engines: () => activeConfig.engines(),
    replicasOf: service => table.usableOf(service),
    isLinked: replica => stewardLinks.isLinked(replica),
    sendPlacement: (replica, message) => stewardLinks.sendPlacement(replica, message),
    onMove: move => metrics.placements.increment(move.source),
    gateways,
    collectDemand: () => demand.collect(generations.waitingByModel()),
    crashNews: () => crashes.list(),
    onCrashNews: message => crashNewsSync.onNews(message),
    limitNews: () => limits.news(),
    onLimitNews: message => limits.onNews(message),
    onPermits: message => {
      if (message.units === undefined) limits.onGrant(message);
      else quotas.onGrant(message);
    },
    knownGateways: () => {
      const count = gateways();
      return gatewayCount.known || count;
    },
    configVersion: () => activeConfig.version,
    bucketOf: organisation => quotas.bucketOf(organisation),
    onStoreChanges: (message, asOfMs) => fleetWatcher.applyRelayed(message, asOfMs),
  });
  const fleetWatcher: FleetWatcher = new FleetWatcher(store, log, instance.heartbeatIntervalMs, {
    onConfig: (text, point) => activeConfig.apply(text, point),
    onReplicaSnapshot: (changes, kind) => table.applySnapshot(changes, kind),
    onReplicaChange: (change, afterOutage) => table.applyChange(change, afterOutage),
    onOtherChange: change => {
      planner.onStoreChange(change);
      crashNewsSync.applyChange(change);
      defaultVersions.applyChange(change);
      return !crashNewsSync.isReport(change);
    },
    isRelay: () => planner.isRelay,
    relay: message => planner.relay(message),
    gateways,
    linkedGatewayCount: () => planner.linkedGatewayCount,
  });
  const notReadyReason = () => {
    if (shutdown.draining) return 'draining';
    if (!activeConfig.isKnown) return 'no configuration';
    return table.hasSnapshot ? undefined : 'no replicas read';
  };

  fleetWatcher.start();
  crashNewsSync.start();
  defaultVersions.start();
  await server.listen(instance.callers);
  await planner.start();
  await serveReadiness(instance.readiness, notReadyReason);
  const admin = new AdminServer(metrics.registry, {notReadyReason, status: () => ({})});
  // Callers are served even when the metrics address is already in use.
  await admin.tryListen({host: instance.ip, port: settings.metricsPort}, log);
  log.info('started', {zone: instance.zone, ip: instance.ip, graceMs: instance.bounds.graceMs});

  onReloadSignal(() => reloadSettings(settings, log));
  installStopSignals(async () => {
    await shutdown.run();
    planner.dispose();
    fleetWatcher.dispose();
    stewardLinks.dispose();
    generations.dispose();
    services.dispose();
    quotas.dispose();
    crashes.dispose();
    crashNewsSync.dispose();
    defaultVersions.dispose();
    streamRecord.dispose();
    streamWitnesses.dispose();
    table.dispose();
  });
}

/** Reads the settings file again and logs the changed fields; addresses apply after a restart. */
function reloadSettings(settings: GatewaySettings, log: Logger): void {
  try {
    const next = readProcessSettings(settings.configPath);
    log.info('settings read again', {changed: changedFields(settings.process, next)});
  } catch (thrown) {
    log.error('settings malformed, keeping the previous ones', {error: errorMessage(thrown)});
  }
}

function changedFields(before: object, after: object): string[] {
  const old = before as Readonly<Record<string, unknown>>;
  return Object.entries(after)
    .filter(([field, value]) => JSON.stringify(old[field]) !== JSON.stringify(value))
    .map(([field]) => field);
}
