/** Backend of the caller HTTP server: looks up keys, models and services in the active config. */
import type {
  ResponseSink,
  CallerBackend,
  ValidatedRequest,
  ErrorResponse,
  CallerIdentity,
} from '@jasminepost/caller';
import type {ActiveConfig, OrganisationDeclaration} from '@jasminepost/operator';
import type {Dispatcher} from './dispatcher.ts';
import type {EntryMetrics} from './entry_metrics.ts';

interface AuthenticatedCaller extends CallerIdentity {
  readonly declaration: OrganisationDeclaration;
}

/** @internal */
export class EntryCallerBackend implements CallerBackend {
  constructor(
    private readonly activeConfig: ActiveConfig,
    private readonly dispatcher: Dispatcher,
    private readonly metrics: EntryMetrics,
    private readonly notReady: () => string | undefined,
  ) {}

  notReadyReason(): string | undefined {
    return this.notReady();
  }

  authenticate(apiKey: string): AuthenticatedCaller | undefined {
    const credential = this.activeConfig.current?.authenticate(apiKey);
    if (credential === undefined) return undefined;
    const declaration = credential.organisation;
    return {organisation: declaration.name, class: declaration.class, declaration};
  }

  listModels(identity: CallerIdentity): readonly string[] {
    const config = this.activeConfig.current!;
    return (identity as AuthenticatedCaller).declaration.models.flatMap(name => {
      const adapters = config.models.get(name)?.adapters ?? [];
      return [name, ...adapters.map(adapter => `${name}:${adapter.name}`)];
    });
  }

  findModel(
    identity: CallerIdentity,
    requested: string,
  ): {readonly model: string; readonly adapter: string} | undefined {
    const found = this.activeConfig.current!.findModel(
      (identity as AuthenticatedCaller).declaration,
      requested,
    );
    return found === undefined ? undefined : {model: found.model.name, adapter: found.adapter};
  }

  findService(
    identity: CallerIdentity,
    name: string,
  ): {isNonIdempotent(method: string, path: string): boolean} | undefined {
    const service = this.activeConfig.current!.findService(
      (identity as AuthenticatedCaller).declaration,
      name,
    );
    if (service === undefined) return undefined;
    return {
      isNonIdempotent: (method, path) =>
        service.nonIdempotent.some(
          call => call.method === method && path.startsWith(call.pathPrefix),
        ),
    };
  }

  dispatch(request: ValidatedRequest, sink: ResponseSink): void {
    this.dispatcher.dispatch(request, sink);
  }

  onRejected(response: ErrorResponse): void {
    this.metrics.refusals.increment(response.code);
  }
}
