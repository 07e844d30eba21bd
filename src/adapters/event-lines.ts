import pino from 'pino';

import type { Field, Telemetry } from '../ports';

/** Bytes of lines held while standard output is slow; what comes beyond is dropped and counted. */
const HELD_BYTES = 256 * 1024;
/** Lines are written together once they have this many bytes, or after the period. */
const WRITE_BYTES = 4096;
/** Milliseconds after which lines are written even if they are few. */
const WRITE_PERIOD = 500;

/** Events as JSON lines on standard output; never waits for whoever reads them. */
export const createEventLines = (): Telemetry & { flush(): void } => {
  const destination = pino.destination({
    dest: 1,
    sync: false,
    minLength: WRITE_BYTES,
    maxLength: HELD_BYTES,
    periodicFlush: WRITE_PERIOD,
  });
  const logger = pino(
    {
      base: null,
      timestamp: pino.stdTimeFunctions.epochTime,
      formatters: { level: (level) => ({ level }) },
    },
    destination,
  );
  return {
    event: (name, fields: Readonly<Record<string, Field>> = {}) =>
      logger.info({ event: name, ...fields }),
    count: () => {},
    gauge: () => {},
    latency: () => {},
    flush: () => destination.flushSync(),
  };
};
