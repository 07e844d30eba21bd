/** A telemetry of key=value event lines, Prometheus counters and gauges, and latency summaries. */
import createDebug from 'debug';
import { build, type Histogram } from 'hdr-histogram-js';
import { Counter, Gauge, Registry } from 'prom-client';

import type { EventField, Telemetry } from '../ports';

const MICROS_PER_MILLI = 1000;
/** Latency in microseconds, 10 minutes, to which longer ones are cut. */
const MAX_LATENCY_MICROS = 600 * 1000 * MICROS_PER_MILLI;
const PERCENTILES = [50, 90, 99, 99.9] as const;
const NAMESPACE = 'redwingmount';

const metricName = (name: string): string => `${NAMESPACE}_${name.replaceAll('-', '_')}`;

/** Writes a value as it is, or as a JSON string if it is empty or has spaces, quotes or `=`. */
const quote = (value: EventField): string => {
  const text = String(value);
  return /^[^\s="]+$/.test(text) ? text : JSON.stringify(text);
};

/** Formats an event as a log line: `time=... event=... key=value ...`. */
export const formatEvent = (
  time: Date,
  name: string,
  fields: Readonly<Record<string, EventField>>,
): string =>
  [
    `time=${time.toISOString()}`,
    `event=${name}`,
    ...Object.entries(fields).map(([key, value]) => `${key}=${quote(value)}`),
  ].join(' ');

/** A telemetry whose metrics can be read back. */
export interface TelemetryRegistry extends Telemetry {
  /** Returns all metrics in the Prometheus text format. */
  metrics(): Promise<string>;
  /** Returns the counters' values by name and label values: `refused{not-run,shed}`. */
  counters(): Promise<Readonly<Record<string, number>>>;
}

/** Formats latencies as the lines of a Prometheus summary in seconds. */
const summaryLines = (name: string, histogram: Histogram): readonly string[] => {
  const metric = `${metricName(name)}_seconds`;
  const seconds = (micros: number): number => micros / (MICROS_PER_MILLI * 1000);
  return [
    `# TYPE ${metric} summary`,
    ...PERCENTILES.map(
      (q) => `${metric}{quantile="${q / 100}"} ${seconds(histogram.getValueAtPercentile(q))}`,
    ),
    `${metric}_count ${histogram.totalCount}`,
  ];
};

/**
 * Creates a telemetry that passes each event line to `write`. Each metric's labels are fixed by its
 * first use.
 */
export const createTelemetry = (write: (line: string) => void): TelemetryRegistry => {
  const registry = new Registry();
  const counters = new Map<string, Counter>();
  const gauges = new Map<string, Gauge>();
  const histograms = new Map<string, Histogram>();
  const log = createDebug(NAMESPACE);
  log.enabled = true;
  log.log = (line: string) => write(line);
  createDebug.formatArgs = () => {};

  const getOrCreate = <T>(metrics: Map<string, T>, name: string, create: () => T): T => {
    const found = metrics.get(name);
    if (found) return found;
    const created = create();
    metrics.set(name, created);
    return created;
  };

  return {
    event: (name, fields = {}) => log(formatEvent(new Date(), name, fields).replaceAll('%', '%%')),
    count: (name, labels = {}) =>
      getOrCreate(
        counters,
        name,
        () =>
          new Counter({
            name: `${metricName(name)}_total`,
            help: name,
            labelNames: Object.keys(labels),
            registers: [registry],
          }),
      ).inc(labels),
    gauge: (name, value, labels = {}) =>
      getOrCreate(
        gauges,
        name,
        () =>
          new Gauge({
            name: metricName(name),
            help: name,
            labelNames: Object.keys(labels),
            registers: [registry],
          }),
      ).set(labels, value),
    latency: (name, millis) =>
      getOrCreate(histograms, name, () =>
        build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_LATENCY_MICROS }),
      ).recordValue(
        Math.min(Math.max(1, Math.round(millis * MICROS_PER_MILLI)), MAX_LATENCY_MICROS),
      ),
    metrics: async () => {
      const summaries = [...histograms].flatMap(([name, histogram]) =>
        summaryLines(name, histogram),
      );
      return `${await registry.metrics()}${summaries.join('\n')}\n`;
    },
    counters: async () => {
      const values: Record<string, number> = {};
      for (const [name, counter] of counters) {
        const { values: samples } = await counter.get();
        samples.forEach(({ labels, value }) => {
          const labelValues = Object.values(labels).join(',');
          values[labelValues ? `${name}{${labelValues}}` : name] = value;
        });
      }
      return values;
    },
  };
};
