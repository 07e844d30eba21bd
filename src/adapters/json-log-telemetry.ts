import pino from 'pino';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

import { guarded } from './guarded';
import { MILLIS_PER_SECOND } from '../model';
import type { EventField, Telemetry } from '../ports';

/**
 * Size in bytes of the lines buffered while standard output is slow. Further lines are dropped and
 * counted.
 */
const MAX_BUFFERED_BYTES = 256 * 1024;
/** Size in bytes of buffered lines from which they are written without waiting for the period. */
const MIN_WRITE_BYTES = 4096;
/** Time in milliseconds between writes of the buffered lines, however few they are. */
const FLUSH_PERIOD_MS = 500;
/** Time in milliseconds for which the end of the process waits for buffered lines to be written. */
const FLUSH_LIMIT_MS = 100;
/** The first part of each metric's name. */
const METRIC_PREFIX = 'redwingmount';
/**
 * Upper bounds in seconds of the latency buckets: from an answer within 1 ms to the longest
 * deadline.
 */
const LATENCY_BUCKETS_SECONDS = [0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 4, 8];

/** Telemetry that writes events as JSON lines and keeps metrics for Prometheus to scrape. */
export interface JsonLogTelemetry extends Telemetry {
  /** Returns all metrics in the Prometheus text format. */
  metrics(): Promise<string>;
  /** Resolves when the buffered lines are written, or can't be; for the end of the process. */
  flush(): Promise<void>;
}

type Destination = ReturnType<typeof pino.destination>;

/** A failed write of the log. */
interface LogFailure {
  readonly code: string;
  /** Number of failed writes since the last one that succeeded. */
  readonly errors: number;
}

const openOutput = (): Destination =>
  pino.destination({
    dest: 1,
    sync: false,
    minLength: MIN_WRITE_BYTES,
    maxLength: MAX_BUFFERED_BYTES,
    periodicFlush: FLUSH_PERIOD_MS,
  });

/**
 * Creates a telemetry that writes to `output`, by default standard output. Writing never waits for
 * a slow reader. Each metric's labels are fixed by its first use.
 */
export const createJsonLogTelemetry = (output: Destination = openOutput()): JsonLogTelemetry => {
  const logger = pino(
    {
      base: null,
      timestamp: pino.stdTimeFunctions.epochTime,
      formatters: { level: (level) => ({ level }) },
    },
    output,
  );
  const registry = new Registry();
  const registers = [registry];
  const counters = new Map<string, Counter>();
  const gauges = new Map<string, Gauge>();
  const histograms = new Map<string, Histogram>();
  const getOrCreate = <T>(metrics: Map<string, T>, name: string, create: () => T): T => {
    const found = metrics.get(name);
    if (found) return found;
    const created = create();
    metrics.set(name, created);
    return created;
  };
  let failure: LogFailure | undefined;
  // A full disk is not the end of the process: lines wait, or are dropped, until there is room.
  output.on(
    'error',
    guarded('json-log-telemetry error', ({ code = 'unknown' }: NodeJS.ErrnoException) => {
      failure = { code, errors: (failure?.errors ?? 0) + 1 };
    }),
  );
  output.on(
    'write',
    guarded('json-log-telemetry write', () => {
      const ended = failure;
      failure = undefined;
      if (ended) logger.warn({ event: 'log-failed', ...ended });
    }),
  );
  // Called when the process exits, where it would try again without end.
  const flushSync = output.flushSync.bind(output);
  Object.assign(output, {
    flushSync: () => {
      if (!failure) flushSync();
    },
  });
  let droppedCount = 0;
  output.on(
    'drop',
    guarded('json-log-telemetry drop', () => {
      droppedCount += 1;
    }),
  );
  output.on(
    'drain',
    guarded('json-log-telemetry drain', () => {
      if (droppedCount === 0) return;
      const lines = droppedCount;
      droppedCount = 0;
      logger.warn({ event: 'lines-dropped', lines });
    }),
  );
  return {
    event: (name, fields: Readonly<Record<string, EventField>> = {}) =>
      logger.info({ event: name, ...fields }),
    count: (name, labels = {}) =>
      getOrCreate(
        counters,
        name,
        () =>
          new Counter({
            name: `${METRIC_PREFIX}_${name}_total`,
            help: name.replaceAll('_', ' '),
            labelNames: Object.keys(labels),
            registers,
          }),
      ).inc(labels),
    gauge: (name, value, labels = {}) =>
      getOrCreate(
        gauges,
        name,
        () =>
          new Gauge({
            name: `${METRIC_PREFIX}_${name}`,
            help: name.replaceAll('_', ' '),
            labelNames: Object.keys(labels),
            registers,
          }),
      ).set(labels, value),
    latency: (name, millis) =>
      getOrCreate(
        histograms,
        name,
        () =>
          new Histogram({
            name: `${METRIC_PREFIX}_${name}_seconds`,
            help: name.replaceAll('_', ' '),
            buckets: LATENCY_BUCKETS_SECONDS,
            registers,
          }),
      ).observe(millis / MILLIS_PER_SECOND),
    metrics: () => registry.metrics(),
    flush: () =>
      new Promise((resolve) => {
        const timer = setTimeout(guarded('json-log-telemetry timer', resolve), FLUSH_LIMIT_MS);
        output.flush(
          guarded('json-log-telemetry flush', () => {
            clearTimeout(timer);
            resolve();
          }),
        );
      }),
  };
};
