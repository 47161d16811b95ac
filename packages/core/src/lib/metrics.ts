/** Counters, gauges and latency histograms, rendered in the Prometheus text format. */
import * as hdr from 'hdr-histogram-js';

const HIGHEST_TRACKABLE_US = 3_600_000_000;
const QUANTILES = [50, 95, 99] as const;

/** Counter with one label, such as the reason of a refusal. @public */
export class CounterFamily<L extends string> {
  private readonly counts = new Map<L, number>();

  constructor(
    readonly name: string,
    readonly help: string,
    readonly label: string,
  ) {}

  increment(value: L, by = 1): void {
    this.counts.set(value, (this.counts.get(value) ?? 0) + by);
  }

  get(value: L): number {
    return this.counts.get(value) ?? 0;
  }

  render(): string {
    const lines = [`# HELP ${this.name} ${this.help}`, `# TYPE ${this.name} counter`];
    for (const [value, count] of this.counts) {
      lines.push(`${this.name}{${this.label}="${value}"} ${count}`);
    }
    return lines.join('\n');
  }
}

/** A value read when the metrics are rendered. @public */
export class Gauge {
  constructor(
    readonly name: string,
    readonly help: string,
    private readonly read: () => number,
  ) {}

  render(): string {
    return `# HELP ${this.name} ${this.help}\n# TYPE ${this.name} gauge\n${this.name} ${this.read()}`;
  }
}

/** Latency distribution with a resolution of microseconds. @public */
export class Histogram {
  private readonly histogram = hdr.build({
    highestTrackableValue: HIGHEST_TRACKABLE_US,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 32,
  });

  constructor(
    readonly name: string,
    readonly help: string,
  ) {}

  recordMs(valueMs: number): void {
    const valueUs = Math.min(HIGHEST_TRACKABLE_US, Math.max(1, Math.round(valueMs * 1000)));
    this.histogram.recordValue(valueUs);
  }

  quantileMs(percentile: number): number {
    return this.histogram.getValueAtPercentile(percentile) / 1000;
  }

  count(): number {
    return this.histogram.totalCount;
  }

  render(): string {
    const lines = [`# HELP ${this.name} ${this.help}`, `# TYPE ${this.name} summary`];
    for (const q of QUANTILES) {
      lines.push(`${this.name}{quantile="${q / 100}"} ${this.quantileMs(q)}`);
    }
    lines.push(`${this.name}_count ${this.count()}`);
    return lines.join('\n');
  }
}

/** All metrics of one process. @public */
export class MetricRegistry {
  private readonly metrics: Array<{render(): string}> = [];

  counter<L extends string>(name: string, help: string, label: string): CounterFamily<L> {
    return this.add(new CounterFamily<L>(`jasminepost_${name}`, help, label));
  }

  gauge(name: string, help: string, read: () => number): Gauge {
    return this.add(new Gauge(`jasminepost_${name}`, help, read));
  }

  histogram(name: string, help: string): Histogram {
    return this.add(new Histogram(`jasminepost_${name}`, help));
  }

  render(): string {
    return this.metrics.map(metric => metric.render()).join('\n') + '\n';
  }

  private add<M extends {render(): string}>(metric: M): M {
    this.metrics.push(metric);
    return metric;
  }
}
