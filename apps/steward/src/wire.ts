/** Wires the parts of a steward. */
import {
  AdminServer,
  createLogger,
  installUncaughtErrorHandlers,
  installStopSignals,
  errorMessage,
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
import type {EngineSpec} from '@jasminepost/serving';
import {EngineWatch} from './lib/engine_watch.ts';
import {LoadInterest} from './lib/load_interest.ts';
import {OrderDesk} from './lib/order_desk.ts';
import type {StewardSettings} from './settings.ts';

/** The replica runs on the same machine; a call that takes longer has been lost. */
const CONTROL_TIMEOUT_MS = 400;
const PREPARE_RETRY_MS = 700;
/** Stewards that start together spread their first calls to the store over this. */
const PREPARE_SPREAD_MS = 150;
/** Sizes of models change rarely; an unknown model is looked up after this at the earliest. */
const SPEC_VALID_MS = 10_000;
/** A day: sizes are read again when a placement names an unknown model. */
const SPEC_IDLE_MS = 86_400_000;

/** Starts a steward; resolves once it listens. */
export async function startSteward(settings: StewardSettings): Promise<void> {
  const {process: own} = settings;
  const clock = new SystemClock();
  const log = createLogger('steward', own.id, settings.logLevel);
  const registry = new MetricRegistry();
  installUncaughtErrorHandlers(log, registry);
  const orders = registry.counter<string>('orders', 'Orders by outcome', 'outcome');
  const linkFaults = registry.counter<LinkCloseReason>('link_faults', 'Links that ended', 'fault');
  const store = new StoreClient(
    own.store,
    registry.counter<StoreCall>('store_calls', 'Calls to the platform store', 'call'),
    (era, before) => log.warn('store came back from a copy', {era, before}),
  );
  const unreadHeaders = new UnreadHeaderCounter(registry, log);
  const control = new EngineControlClient(settings.replica, CONTROL_TIMEOUT_MS, names =>
    unreadHeaders.record(names, identity.id),
  );
  const fence = new FencingTokenAllocator(store, own.id);
  let identity = {id: '', bornMs: 0};
  const interest = new LoadInterest(own.zone);
  let spec: EngineSpec | undefined;
  let specReadMs = Number.NEGATIVE_INFINITY;

  const watch: EngineWatch = new EngineWatch({
    clock,
    log,
    report: () => control.report(),
    broadcast: message => mesh.broadcast(message),
    sendTo: (audience, message) => {
      const nowMs = clock.monotonicMs();
      mesh.broadcast(message, peer => interest.audienceOf(peer.id, peer.zone, nowMs) === audience);
    },
    gateways: () => mesh.links.size,
    moving: () => desk.moving,
    unloading: () => desk.unloading,
    loads: () => desk.loads,
    onReport: report => desk.onReport(report),
    onRestart: () => desk.onRestart(),
  });
  const desk: OrderDesk = new OrderDesk({
    clock,
    log,
    orders,
    fence,
    holder: own.id,
    order: order => control.order(order),
    refresh: () => watch.refresh(),
    spec: () => spec,
    replicaId: () => (identity.bornMs === (watch.report?.bornMs ?? 0) ? identity.id : ''),
    onChanged: () => watch.publish(),
  });
  const mesh: MeshServer = new MeshServer(
    {id: own.id, incarnation: Math.floor(clock.wallMs()), role: 'steward', zone: own.zone},
    new HandshakeAuthenticator(settings.meshKey),
    {
      onLink: link => {
        log.info('gateway linked', {gateway: link.peer?.id ?? ''});
        link.send(watch.toldMessage());
        link.send(watch.loadMessage('idle'));
      },
      onMessage: (link, message) => receive(link, message),
      onLinkLost: (link, fault) => {
        interest.forget(link.peer?.id ?? '');
        log.info('gateway lost', {gateway: link.peer?.id ?? '', fault});
      },
    },
    linkFaults,
  );
  const receive = (link: MeshLink, message: MeshMessage) => {
    switch (message.type) {
      case 'load_interest':
        if (interest.note(link.peer?.id ?? '', message.validMs, clock.monotonicMs())) {
          link.send(watch.loadMessage('near'));
        }
        return;
      case 'adapter_wish':
        desk.wishAdapter(message.model, message.adapter);
        return;
      case 'placement':
        desk.place(message);
        if (message.load !== '' && spec?.models.has(message.load) !== true) prepare.runSoon();
        return;
      case 'replica_identity':
        identity = {id: message.id, bornMs: message.bornMs};
        return;
      default:
        log.warn('message of this type is not for a steward', {type: message.type});
    }
  };

  /** Reserves order numbers and reads the sizes of models, again until both are known. */
  const prepare = new RepeatingTask(async () => {
    try {
      if (!fence.ready) await fence.reserveRange();
      if (clock.monotonicMs() - specReadMs > SPEC_VALID_MS) {
        const entry = await store.get(CONFIG_KEY);
        const decoded = entry === null ? undefined : decodeConfig(entry.value);
        if (decoded?.ok === true) {
          spec = decoded.value.services.get(own.service)?.engine;
          specReadMs = clock.monotonicMs();
          log.info('sizes read', {version: decoded.value.version, models: spec?.models.size ?? 0});
        }
      }
    } catch (thrown) {
      log.warn('store not reached', {error: errorMessage(thrown)});
    }
    return fence.ready && spec !== undefined ? SPEC_IDLE_MS : PREPARE_RETRY_MS;
  });

  await mesh.listen({host: own.ip, port: own.meshPort});
  watch.start();
  prepare.start(Math.random() * PREPARE_SPREAD_MS);
  const admin = new AdminServer(registry, {notReadyReason: () => undefined, status: () => ({})});
  await admin.tryListen({host: own.ip, port: settings.metricsPort}, log);
  log.info('started', {zone: own.zone, service: own.service, replica: settings.replica.host});

  onReloadSignal(() => log.info('settings file changed; addresses hold until the next start'));
  installStopSignals(async () => {
    log.info('stopped', {});
    watch.dispose();
    prepare.dispose();
    mesh.close();
    admin.close();
  });
}
