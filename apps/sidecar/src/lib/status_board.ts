/** What this sidecar says of itself: to peers, to operators and to the requests it refuses. */
import type {NotRunReason} from '@jasminepost/core';
import type {MemberInfo, StartMessage, StatusMessage} from '@jasminepost/mesh';
import type {ActiveConfig} from '@jasminepost/operator';
import type {SidecarSettings} from '../settings.ts';
import type {EngineSteward} from './engine_steward.ts';
import type {Planner} from './planner.ts';
import type {UpstreamGate} from './upstream_gate.ts';
import type {UpstreamHealth} from './upstream_health.ts';

interface BoardContext {
  readonly settings: SidecarSettings;
  readonly self: MemberInfo;
  readonly keeper: ActiveConfig;
  readonly health: UpstreamHealth;
  readonly steward: EngineSteward;
  /** Parts that are constructed after the board. */
  gate(): UpstreamGate;
  planner(): Planner;
}

/** @internal */
export class StatusBoard {
  leaving = false;

  constructor(private readonly context: BoardContext) {}

  notReadyReason(): string | undefined {
    if (this.leaving) return 'leaving';
    if (this.context.keeper.current === undefined) return 'no configuration yet';
    return this.context.health.healthy ? undefined : 'upstream not healthy';
  }

  /** Why a request cannot run here; undefined when it can. */
  refusalOf(start: StartMessage): NotRunReason | undefined {
    const {health, settings, steward} = this.context;
    if (this.leaving) return 'leaving';
    if (!health.healthy) return 'upstream_unhealthy';
    if (start.kind !== settings.upstreamKind) return 'model_not_ready';
    const served =
      start.kind === 'service'
        ? start.target === settings.service
        : steward.isServing(start.target);
    return served ? undefined : 'model_not_ready';
  }

  /** Account for peers. */
  status(): StatusMessage {
    const {health, settings, steward} = this.context;
    const {state} = steward;
    return {
      type: 'status',
      upstream: settings.id,
      kind: settings.upstreamKind,
      service: settings.service,
      leaving: this.leaving,
      healthy: health.healthy,
      models: steward.servingModels(),
      adapters: steward.readyAdapters(),
      plannerTerm: this.context.planner().activeTerm,
      freeMiB: Math.max(0, (state?.totalMiB ?? 0) - steward.chargedMiB()),
      totalMiB: state?.totalMiB ?? 0,
      slots: state?.slots ?? settings.slots,
    };
  }

  /** Account for operators. */
  summary(): Readonly<Record<string, unknown>> {
    const {keeper, self, steward} = this.context;
    return {
      id: self.id,
      role: self.role,
      zone: self.zone,
      leaving: this.leaving,
      ready: this.notReadyReason() === undefined,
      generation: keeper.generation,
      hash: keeper.hash,
      inProgress: this.context.gate().inProgress,
      planner: this.context.planner().activeTerm,
      models: steward.servingModels(),
      chargedMiB: steward.chargedMiB(),
      totalMiB: steward.state?.totalMiB ?? 0,
    };
  }
}
