/** Status of this sidecar, for peers, operators and admission. */
import type {NotRunReason} from '@jasminepost/core';
import type {MemberInfo, StartMessage, StatusMessage} from '@jasminepost/mesh';
import type {ActiveConfig} from '@jasminepost/operator';
import type {SidecarSettings} from '../settings.ts';
import type {EngineController} from './engine_controller.ts';
import type {Planner} from './planner.ts';
import type {AttemptExecutor} from './attempt_executor.ts';
import type {UpstreamHealth} from './upstream_health.ts';

interface StatusContext {
  readonly settings: SidecarSettings;
  readonly self: MemberInfo;
  readonly activeConfig: ActiveConfig;
  readonly health: UpstreamHealth;
  readonly engineController: EngineController;
  /** Components that are constructed later. */
  executor(): AttemptExecutor;
  planner(): Planner;
}

/** @internal */
export class SidecarStatus {
  leaving = false;

  constructor(private readonly context: StatusContext) {}

  notReadyReason(): string | undefined {
    if (this.leaving) return 'leaving';
    if (this.context.activeConfig.current === undefined) return 'no configuration yet';
    return this.context.health.healthy ? undefined : 'upstream not healthy';
  }

  /** Reason why a request cannot run here; undefined when it can. */
  refusalReason(start: StartMessage): NotRunReason | undefined {
    const {health, settings, engineController} = this.context;
    if (this.leaving) return 'leaving';
    if (!health.healthy) return 'upstream_unhealthy';
    if (start.kind !== settings.upstreamKind) return 'model_not_ready';
    const isServed =
      start.kind === 'service'
        ? start.target === settings.service
        : engineController.isServing(start.target);
    return isServed ? undefined : 'model_not_ready';
  }

  /** Status message for peers. */
  peerStatus(): StatusMessage {
    const {health, settings, engineController} = this.context;
    const {state} = engineController;
    return {
      type: 'status',
      upstream: settings.id,
      kind: settings.upstreamKind,
      service: settings.service,
      leaving: this.leaving,
      healthy: health.healthy,
      models: engineController.servingModels(),
      adapters: engineController.readyAdapters(),
      plannerTerm: this.context.planner().activeTerm,
      freeMiB: Math.max(0, (state?.totalMiB ?? 0) - engineController.chargedMiB()),
      totalMiB: state?.totalMiB ?? 0,
      slots: state?.slots ?? settings.slots,
    };
  }

  /** Status document for operators. */
  operatorStatus(): Readonly<Record<string, unknown>> {
    const {activeConfig, self, engineController} = this.context;
    return {
      id: self.id,
      role: self.role,
      zone: self.zone,
      leaving: this.leaving,
      ready: this.notReadyReason() === undefined,
      generation: activeConfig.generation,
      hash: activeConfig.hash,
      inProgress: this.context.executor().inProgress,
      planner: this.context.planner().activeTerm,
      models: engineController.servingModels(),
      chargedMiB: engineController.chargedMiB(),
      totalMiB: engineController.state?.totalMiB ?? 0,
    };
  }
}
