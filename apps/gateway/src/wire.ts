/** Wires the parts of a gateway. */
import {
  AdminServer,
  createLogger,
  installStopSignals,
  messageOf,
  SettingsError,
  sleep,
  SystemClock,
  type Logger,
} from '@jasminepost/core';
import {TermLease} from '@jasminepost/key_value';
import {HelloGuard, MeshServer, type MemberInfo} from '@jasminepost/mesh';
import {decodeConfig, readProcessSettings, StoreClient} from '@jasminepost/platform';
import {WindowBudget} from '@jasminepost/policy';
import {RouteTable, type FleetConfig} from '@jasminepost/serving';
import {CallerServer} from './lib/caller_server.ts';
import {DemandMeter} from './lib/demand_meter.ts';
import {EngineLine} from './lib/engine_line.ts';
import {FleetFeed} from './lib/fleet_feed.ts';
import type {GatewayContext} from './lib/gateway_context.ts';
import {createGatewayMetrics} from './lib/gateway_metrics.ts';
import {PlannerDesk} from './lib/planner_desk.ts';
import {holderAddress, PLANNER_KEY} from './lib/planner_role.ts';
import {PlannerLink} from './lib/planner_link.ts';
import {PrefillEstimator} from './lib/prefill_estimator.ts';
import {serveReadiness} from './lib/readiness_server.ts';
import {ReplicaTable} from './lib/replica_table.ts';
import {StewardLinks} from './lib/steward_links.ts';
import type {GatewaySettings} from './settings.ts';

/** Share of the grace in which requests may finish; the rest is for the exit itself. */
const STOP_SHARE = 0.93;
/** The platform takes a gateway out after two missed checks, a second apart. */
const NOTICE_MS = 2600;
const STOP_POLL_MS = 50;

/** Starts a gateway; resolves once it listens. */
export async function startGateway(settings: GatewaySettings): Promise<void> {
  const {process: own} = settings;
  if (own.callers === undefined || own.readiness === undefined) {
    throw new SettingsError('listenAddrs.front, listenAddrs.readyAddr', 'nothing', 'two addresses');
  }
  const clock = new SystemClock();
  const log = createLogger('gateway', own.id, settings.logLevel);
  const metrics = createGatewayMetrics(() => line.length);
  const store = new StoreClient(own.store, metrics.storeCalls);
  const guard = new HelloGuard(settings.meshKey);
  const self: MemberInfo = {
    id: own.id,
    incarnation: Math.floor(clock.wallMs()),
    role: 'gateway',
    zone: own.zone,
  };
  let config: FleetConfig | undefined;
  let replicasRead = false;
  let draining = false;
  let closing = false;
  const engineOf = (service: string) => config?.services.get(service)?.engine;

  const links = new StewardLinks(self, guard, own.meshPort, clock, log, metrics.linkFaults, () =>
    line.wake(),
  );
  const table = new ReplicaTable(clock, log, {
    onAdded: replica => {
      if (engineOf(replica.entry.service) !== undefined) links.add(replica);
    },
    onRemoved: replica => links.remove(replica),
    onChanged: () => line.wake(),
  });
  const estimator = new PrefillEstimator();
  const demand = new DemandMeter(estimator, clock.monotonicMs());
  const line = new EngineLine({
    clock,
    zone: own.zone,
    table,
    estimator,
    demand,
    engineOf,
    isClosing: () => closing,
    canLoadAdapter: replica => links.canLoadAdapter(replica),
    wishAdapter: (replica, model, adapter) => links.wishAdapter(replica, model, adapter),
  });
  const budgets = new Map<string, WindowBudget>();
  const ctx: GatewayContext = {
    clock,
    log,
    metrics,
    zone: own.zone,
    crossZoneMs: settings.crossZoneMs,
    table,
    estimator,
    line,
    engineOf,
    retryBudget: service => {
      const known = budgets.get(service);
      if (known !== undefined) return known;
      const {retryRatio: ratio, retrySlack: slack, retryWindowMs: windowMs} = own.bounds;
      const budget = new WindowBudget({ratio, slack, windowMs});
      budgets.set(service, budget);
      return budget;
    },
    gateways: () => {
      let most = ASSUMED_GATEWAYS;
      for (const {gateways} of table.replicas.values()) most = Math.max(most, gateways);
      return most;
    },
    configVersion: () => config?.version ?? 0,
    isDraining: () => draining,
    onFinished: request => server.onFinished(request),
  };
  const server = new CallerServer(() => ctx);
  let plannerKnown = false;
  const lease = new TermLease(
    store,
    PLANNER_KEY,
    `${own.ip}:${own.meshPort}`,
    Math.max(PLANNER_LEASE_MS, own.minLeaseMs),
    clock,
    log,
    () => (plannerKnown ? HELD_LOOK_MS : FREE_LOOK_MS),
  );
  const planner = new PlannerDesk({
    clock,
    log,
    lease,
    storeReached: () => feed.reached,
    heldByOther: () => plannerKnown && !plannerLink.isOwnRole,
    loadWindowS: own.bounds.loadWindowS,
    loadOvershoot: own.bounds.loadOvershoot,
    engines: () =>
      [...(config?.services.values() ?? [])].flatMap(({name, engine}) =>
        engine === undefined ? [] : [{service: name, spec: engine}],
      ),
    replicasOf: service => table.ofService(service),
    isLinked: replica => links.isLinked(replica),
    place: (replica, message) => links.place(replica, message),
    onMove: (_service, move) => metrics.placements.increment(move.source),
  });
  const plannerLink = new PlannerLink(
    self,
    {host: own.ip, port: own.meshPort},
    guard,
    log,
    metrics.linkFaults,
    () =>
      demand.take(clock.monotonicMs(), key => {
        const cut = key.indexOf('/');
        return line.waitingFor(key.slice(0, cut), key.slice(cut + 1));
      }),
    message => planner.takeDemand(own.id, message),
  );
  const mesh = new MeshServer(
    self,
    guard,
    {
      onLink: () => undefined,
      onMessage: (link, message) => {
        if (message.type === 'model_demand') planner.takeDemand(link.peer?.id ?? '', message);
      },
      onLinkLost: () => undefined,
    },
    metrics.linkFaults,
  );
  const feed = new FleetFeed(store, log, {
    onConfig: (text, revision) => {
      const decoded = decodeConfig(text);
      if (!decoded.ok) {
        log.error('configuration malformed, the last one stays', {error: decoded.error, revision});
        return;
      }
      if (config !== undefined && decoded.value.version <= config.version) return;
      config = decoded.value;
      server.applyRoutes(new RouteTable(config));
      table.applyServices(config.services);
      for (const replica of table.replicas.values()) {
        if (engineOf(replica.entry.service) !== undefined) links.add(replica);
      }
      log.info('configuration in force', {
        version: config.version,
        revision,
        routes: config.routes.length,
      });
    },
    onReplicaSnapshot: (changes, afterOutage) => {
      table.applySnapshot(changes, afterOutage);
      replicasRead = true;
    },
    onReplicaChange: (change, afterOutage) => table.applyChange(change, afterOutage),
    onOther: change => {
      const holder = holderAddress(change);
      if (holder === undefined) return;
      plannerKnown = holder.address !== undefined;
      plannerLink.setHolder(holder.address);
      if (!plannerKnown) lease.lookSoon();
    },
  });
  const notReadyReason = () => {
    if (draining) return 'draining';
    if (config === undefined) return 'no configuration';
    return replicasRead ? undefined : 'no replicas read';
  };
  feed.start();
  lease.start();
  await server.listen(own.callers);
  await mesh.listen({host: own.ip, port: own.meshPort});
  await serveReadiness(own.readiness, notReadyReason);
  await startAdmin(settings, log, metrics.registry, notReadyReason);
  log.info('started', {zone: own.zone, ip: own.ip, graceMs: own.bounds.graceMs});

  process.on('SIGHUP', () => reload(settings, log));
  installStopSignals(async () => {
    draining = true;
    const startedMs = clock.monotonicMs();
    const untilMs = startedMs + own.bounds.graceMs * STOP_SHARE;
    log.info('stopping', {requests: server.busy});
    while (clock.monotonicMs() < startedMs + NOTICE_MS) await sleep(STOP_POLL_MS);
    closing = true;
    server.stopAccepting();
    while (server.busy > 0 && clock.monotonicMs() < untilMs) {
      await sleep(STOP_POLL_MS);
      server.closeIdle();
    }
    log.info('stopped', {unfinished: server.busy, tookMs: clock.monotonicMs() - startedMs});
    lease.dispose();
    planner.dispose();
    plannerLink.dispose();
    mesh.close();
    feed.dispose();
    links.dispose();
    line.dispose();
    table.dispose();
  });
}

/** Term of the planner's lease: a lost planner is replaced after this. */
const PLANNER_LEASE_MS = 2000;
/** Looks at the role while it is free, and while the feed shows a holder. */
const FREE_LOOK_MS = 300;
const HELD_LOOK_MS = 8000;
/** Gateways assumed before the stewards have counted them. */
const ASSUMED_GATEWAYS = 4;

async function startAdmin(
  settings: GatewaySettings,
  log: Logger,
  registry: ReturnType<typeof createGatewayMetrics>['registry'],
  notReadyReason: () => string | undefined,
): Promise<void> {
  const admin = new AdminServer(registry, {notReadyReason, status: () => ({})});
  try {
    await admin.listen({host: settings.process.ip, port: settings.metricsPort});
  } catch (thrown) {
    // Callers are served all the same.
    log.error('metrics address not available', {
      port: settings.metricsPort,
      error: messageOf(thrown),
    });
  }
}

/** Reads the settings file again; addresses hold until the next start. */
function reload(settings: GatewaySettings, log: Logger): void {
  try {
    const next = readProcessSettings(settings.configPath);
    log.info('settings read again', {changed: changedFields(settings.process, next)});
  } catch (thrown) {
    log.error('settings malformed, the last ones stay', {error: messageOf(thrown)});
  }
}

function changedFields(before: object, after: object): string[] {
  const old = before as Readonly<Record<string, unknown>>;
  return Object.entries(after)
    .filter(([field, value]) => JSON.stringify(old[field]) !== JSON.stringify(value))
    .map(([field]) => field);
}
