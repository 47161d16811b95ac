/** Composition root of the steward: creates its components and connects them. */
import {
  AdminServer,
  createLogger,
  errorMessage,
  installStopSignals,
  installUncaughtErrorHandlers,
  MetricRegistry,
  onReloadSignal,
  RepeatingTask,
  SystemClock,
  UnreadHeaderCounter,
} from '@jasminepost/core';
import {FencingTokenAllocator} from '@jasminepost/key_value';
import {
  HandshakeAuthenticator,
  MeshServer,
  type LinkCloseReason,
  type MeshLink,
  type MeshMessage,
} from '@jasminepost/mesh';
import {
  CONFIG_KEY,
  decodeConfig,
  EngineControlClient,
  StoreClient,
  type StoreCall,
} from '@jasminepost/platform';
import {StreamVersions} from '@jasminepost/policy';
import type {EngineSpec} from '@jasminepost/serving';
import {EngineMonitor} from './lib/engine_monitor.ts';
import {LoadSubscriptions} from './lib/load_subscriptions.ts';
import {OrderExecutor} from './lib/order_executor.ts';
import type {StewardSettings} from './settings.ts';

/** The replica runs on the same instance, so a call that takes longer counts as lost. */
const CONTROL_TIMEOUT_MS = 400;
const PREPARE_RETRY_MS = 700;
/** Jitter of the first store call, for stewards that start at the same time. */
const PREPARE_JITTER_MS = 150;
/** Minimum time between two reads of the model sizes, which change rarely. */
const MIN_SPEC_REREAD_MS = 10_000;
/** One day; a placement that names an unknown model triggers an earlier read. */
const SPEC_REFRESH_MS = 86_400_000;

/** Starts the steward; resolves once it accepts connections. */
export async function startSteward(settings: StewardSettings): Promise<void> {
  const {process: instance} = settings;
  const clock = new SystemClock();
  const log = createLogger('steward', instance.id, settings.logLevel);
  const registry = new MetricRegistry();
  installUncaughtErrorHandlers(log, registry);
  const orders = registry.counter<string>('orders', 'Orders by outcome', 'outcome');
  const linkFaults = registry.counter<LinkCloseReason>('link_faults', 'Links that ended', 'fault');
  const store = new StoreClient(
    instance.store,
    registry.counter<StoreCall>('store_calls', 'Calls to the platform store', 'call'),
    (era, before) => log.warn('store restored from an older copy', {era, before}),
  );
  const unreadHeaders = new UnreadHeaderCounter(registry, log);
  const control = new EngineControlClient(settings.replica, CONTROL_TIMEOUT_MS, names =>
    unreadHeaders.record(names, identity.id),
  );
  const fencingTokens = new FencingTokenAllocator(store, instance.id);
  let identity = {id: '', bornMs: 0};
  const streamVersions = new StreamVersions();
  const loadSubscriptions = new LoadSubscriptions(instance.zone);
  let spec: EngineSpec | undefined;
  let specReadMs = Number.NEGATIVE_INFINITY;

  const monitor: EngineMonitor = new EngineMonitor({
    clock,
    log,
    readReport: () => control.report(),
    broadcast: message => mesh.broadcast(message),
    broadcastTo: (audience, message) => {
      const nowMs = clock.monotonicMs();
      mesh.broadcast(
        message,
        peer => loadSubscriptions.audienceOf(peer.id, peer.zone, nowMs) === audience,
      );
    },
    gateways: () => mesh.links.size,
    moving: () => orderExecutor.moving,
    unloading: () => orderExecutor.unloading,
    weightStoreLoads: () => orderExecutor.weightStoreLoads,
    onReport: report => orderExecutor.onReport(report),
    onRestart: () => orderExecutor.onRestart(),
  });
  const orderExecutor: OrderExecutor = new OrderExecutor({
    clock,
    log,
    orders,
    fencingTokens,
    holder: instance.id,
    sendOrder: order => control.order(order),
    refresh: () => monitor.refresh(),
    spec: () => spec,
    replicaId: () => (identity.bornMs === (monitor.report?.bornMs ?? 0) ? identity.id : ''),
    onChanged: () => monitor.publish(),
  });
  const mesh: MeshServer = new MeshServer(
    {
      id: instance.id,
      incarnation: Math.floor(clock.wallMs()),
      role: 'steward',
      zone: instance.zone,
    },
    new HandshakeAuthenticator(settings.meshKey),
    {
      onLink: link => {
        log.info('gateway linked', {gateway: link.peer?.id ?? ''});
        link.send(monitor.publishedStateMessage());
        link.send(monitor.loadMessage('idle'));
      },
      onMessage: (link, message) => receive(link, message),
      onLinkLost: (link, fault) => {
        loadSubscriptions.remove(link.peer?.id ?? '');
        log.info('gateway lost', {gateway: link.peer?.id ?? '', fault});
      },
    },
    linkFaults,
  );
  const receive = (link: MeshLink, message: MeshMessage) => {
    switch (message.type) {
      case 'load_interest':
        if (loadSubscriptions.renew(link.peer?.id ?? '', message.validMs, clock.monotonicMs())) {
          link.send(monitor.loadMessage('near'));
        }
        return;
      case 'adapter_wish':
        orderExecutor.requestAdapter(message.model, message.adapter);
        return;
      case 'placement':
        orderExecutor.applyPlacement(message);
        if (message.load !== '' && spec?.models.has(message.load) !== true) preparation.runSoon();
        return;
      case 'stream_begun':
        streamVersions.remember(message.requestId, message.version, clock.monotonicMs());
        return;
      case 'streams_ask':
        link.send({
          type: 'streams_reply',
          streams: message.requestIds.map(requestId => ({
            requestId,
            version: streamVersions.versionOf(requestId) ?? '',
          })),
        });
        return;
      case 'replica_identity':
        identity = {id: message.id, bornMs: message.bornMs};
        return;
      default:
        log.warn('message type not handled by a steward', {type: message.type});
    }
  };

  /** Reserves fencing tokens and reads the model sizes; retries until both are known. */
  const preparation = new RepeatingTask(async () => {
    try {
      if (!fencingTokens.ready) await fencingTokens.reserveRange();
      if (clock.monotonicMs() - specReadMs > MIN_SPEC_REREAD_MS) {
        const entry = await store.get(CONFIG_KEY);
        const decoded = entry === null ? undefined : decodeConfig(entry.value);
        if (decoded?.ok === true) {
          spec = decoded.value.services.get(instance.service)?.engine;
          specReadMs = clock.monotonicMs();
          log.info('model sizes read', {
            version: decoded.value.version,
            models: spec?.models.size ?? 0,
          });
        }
      }
    } catch (thrown) {
      log.warn('store unavailable', {error: errorMessage(thrown)});
    }
    return fencingTokens.ready && spec !== undefined ? SPEC_REFRESH_MS : PREPARE_RETRY_MS;
  });

  await mesh.listen({host: instance.ip, port: instance.meshPort});
  monitor.start();
  preparation.start(Math.random() * PREPARE_JITTER_MS);
  const admin = new AdminServer(registry, {notReadyReason: () => undefined, status: () => ({})});
  await admin.tryListen({host: instance.ip, port: settings.metricsPort}, log);
  log.info('started', {
    zone: instance.zone,
    service: instance.service,
    replica: settings.replica.host,
  });

  onReloadSignal(() => log.info('settings file changed; new addresses apply after a restart'));
  installStopSignals(async () => {
    log.info('stopped', {});
    monitor.dispose();
    preparation.dispose();
    mesh.close();
    admin.close();
  });
}
