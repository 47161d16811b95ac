/** Steps that recent requests went through, for `jasminepost explain`. */

const MAX_TRACES = 2000;

interface TraceStep {
  readonly atMs: number;
  readonly step: string;
  readonly replica: string;
  readonly reason: string;
}

/** @internal */
export interface RequestTrace {
  readonly requestId: string;
  readonly organisation: string;
  readonly target: string;
  readonly steps: TraceStep[];
}

/** Holds the newest traces; the oldest is dropped when it is full. @internal */
export class TraceLog {
  private readonly traces = new Map<string, RequestTrace>();

  open(requestId: string, organisation: string, target: string): RequestTrace {
    const trace = {requestId, organisation, target, steps: []};
    this.traces.set(requestId, trace);
    if (this.traces.size > MAX_TRACES) this.traces.delete(this.traces.keys().next().value!);
    return trace;
  }

  find(requestId: string): RequestTrace | undefined {
    return this.traces.get(requestId);
  }
}
