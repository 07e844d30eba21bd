import pino from 'pino';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

import { MILLIS_PER_SECOND } from '../model';
import type { EventField, Telemetry } from '../ports';

/** Bytes of lines held while standard output is slow; what comes beyond is dropped and counted. */
const HELD_BYTES = 256 * 1024;
/** Lines are written together once they have this many bytes, or after the period. */
const WRITE_BYTES = 4096;
/** Milliseconds after which lines are written even if they are few. */
const WRITE_PERIOD = 500;
const NAMESPACE = 'redwingmount';
/** Seconds; from an answer within a millisecond to the longest deadline on the users' sites. */
const BUCKETS = [0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 4, 8];

/** Telemetry that writes JSON lines and keeps metrics for a scrape. */
export interface EventLines extends Telemetry {
  /** All metrics in the Prometheus text format. */
  metrics(): Promise<string>;
  /** Writes what is held; only for the end of the process, as it waits. */
  flush(): void;
}

type Destination = ReturnType<typeof pino.destination>;

const openOutput = (): Destination =>
  pino.destination({
    dest: 1,
    sync: false,
    minLength: WRITE_BYTES,
    maxLength: HELD_BYTES,
    periodicFlush: WRITE_PERIOD,
  });

/** Events as JSON lines on standard output, which never wait for their reader, and metrics. */
export const createEventLines = (output: Destination = openOutput()): EventLines => {
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
  const known = <T>(all: Map<string, T>, name: string, make: () => T): T => {
    const found = all.get(name);
    if (found) return found;
    const made = make();
    all.set(name, made);
    return made;
  };
  let dropped = 0;
  output.on('drop', () => {
    dropped += 1;
  });
  output.on('drain', () => {
    if (dropped === 0) return;
    const lines = dropped;
    dropped = 0;
    logger.warn({ event: 'lines-dropped', lines });
  });
  return {
    event: (name, fields: Readonly<Record<string, EventField>> = {}) =>
      logger.info({ event: name, ...fields }),
    count: (name, labels = {}) =>
      known(
        counters,
        name,
        () =>
          new Counter({
            name: `${NAMESPACE}_${name}_total`,
            help: name.replaceAll('_', ' '),
            labelNames: Object.keys(labels),
            registers,
          }),
      ).inc(labels),
    gauge: (name, value, labels = {}) =>
      known(
        gauges,
        name,
        () =>
          new Gauge({
            name: `${NAMESPACE}_${name}`,
            help: name.replaceAll('_', ' '),
            labelNames: Object.keys(labels),
            registers,
          }),
      ).set(labels, value),
    latency: (name, millis) =>
      known(
        histograms,
        name,
        () =>
          new Histogram({
            name: `${NAMESPACE}_${name}_seconds`,
            help: name.replaceAll('_', ' '),
            buckets: BUCKETS,
            registers,
          }),
      ).observe(millis / MILLIS_PER_SECOND),
    metrics: () => registry.metrics(),
    flush: () => output.flushSync(),
  };
};
