/** Event lines by `debug`, counters and gauges by prom-client, latencies by hdr-histogram-js. */
import createDebug from 'debug';
import { build, type Histogram } from 'hdr-histogram-js';
import { Counter, Gauge, Registry } from 'prom-client';

import type { EventField, Telemetry } from '../ports';

const MICROS_PER_MILLI = 1000;
const HIGHEST_MICROS = 600 * 1000 * MICROS_PER_MILLI;
const QUANTILES = [50, 90, 99, 99.9] as const;
const NAMESPACE = 'redwingmount';

const metricName = (name: string): string => `${NAMESPACE}_${name.replaceAll('-', '_')}`;

const quote = (value: EventField): string => {
  const text = String(value);
  return /^[^\s="]+$/.test(text) ? text : JSON.stringify(text);
};

/** One log line: `time=... event=... key=value ...`. */
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

/** A telemetry whose metrics can be read as Prometheus text. */
export interface TelemetryRegistry extends Telemetry {
  /** All metrics in the Prometheus text format. */
  metrics(): Promise<string>;
  /** Counter values by name and labels, for `/status`. */
  counters(): Promise<Readonly<Record<string, number>>>;
}

/** Latencies as a Prometheus summary in seconds. */
const summaryLines = (name: string, histogram: Histogram): readonly string[] => {
  const metric = `${metricName(name)}_seconds`;
  const seconds = (micros: number): number => micros / (MICROS_PER_MILLI * 1000);
  return [
    `# TYPE ${metric} summary`,
    ...QUANTILES.map(
      (q) => `${metric}{quantile="${q / 100}"} ${seconds(histogram.getValueAtPercentile(q))}`,
    ),
    `${metric}_count ${histogram.totalCount}`,
  ];
};

/** Telemetry that writes event lines to `write`. */
export const createTelemetry = (write: (line: string) => void): TelemetryRegistry => {
  const registry = new Registry();
  const counters = new Map<string, Counter>();
  const gauges = new Map<string, Gauge>();
  const histograms = new Map<string, Histogram>();
  const log = createDebug(NAMESPACE);
  log.enabled = true;
  log.log = (line: string) => write(line);
  createDebug.formatArgs = () => {};

  const metric = <T>(known: Map<string, T>, name: string, make: () => T): T => {
    const found = known.get(name);
    if (found) return found;
    const made = make();
    known.set(name, made);
    return made;
  };

  return {
    event: (name, fields = {}) => log(formatEvent(new Date(), name, fields).replaceAll('%', '%%')),
    count: (name, labels = {}) =>
      metric(
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
      metric(
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
      metric(histograms, name, () =>
        build({ lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_MICROS }),
      ).recordValue(Math.min(Math.max(1, Math.round(millis * MICROS_PER_MILLI)), HIGHEST_MICROS)),
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
          const tags = Object.values(labels).join(',');
          values[tags ? `${name}{${tags}}` : name] = value;
        });
      }
      return values;
    },
  };
};
