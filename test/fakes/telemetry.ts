import type { Telemetry } from '../../src/ports';

/** A telemetry that keeps counters and drops events, latencies and gauges. */
export interface CountingTelemetry extends Telemetry {
  /** Counts by name and label values, joined by spaces. */
  readonly counts: ReadonlyMap<string, number>;
}

/** Returns a telemetry that writes no output. */
export const silentTelemetry = (): CountingTelemetry => {
  const counts = new Map<string, number>();
  return {
    counts,
    event: () => {},
    latency: () => {},
    gauge: () => {},
    count: (name, labels = {}) => {
      const key = [name, ...Object.values(labels)].join(' ');
      counts.set(key, (counts.get(key) ?? 0) + 1);
    },
  };
};
