import { guarded } from '../../adapters/guarded';
import type { Instant } from '../../model';
import type { Clock } from '../../ports';

import type { Exchange } from './exchange';

/** What ends an exchange from outside. */
export type ExchangeInterruption = 'timeout' | 'connect-timeout' | 'cancelled';

/** The timers of an exchange in progress. */
export interface ExchangeTimers {
  /** Stops the time-out of the connection, which is established. */
  onConnected(): void;
  stop(): void;
}

/**
 * Starts the timers of an exchange, and listens for its cancellation. `connectBy` is undefined on an
 * established connection. `onDue` may be called after a timer is stopped.
 */
export const startTimers = (
  { deadline, signal }: Pick<Exchange, 'deadline' | 'signal'>,
  connectBy: Instant | undefined,
  clock: Clock,
  onDue: (why: ExchangeInterruption) => void,
): ExchangeTimers => {
  // Timers run before the sockets are polled, at which the answer may have arrived in time.
  const until = (due: Instant, why: ExchangeInterruption): NodeJS.Timeout =>
    setTimeout(
      guarded('exchange-timers timer', () =>
        setImmediate(guarded('exchange-timers timer', () => onDue(why))),
      ),
      Math.max(0, due - clock.now()),
    );
  const timer = until(deadline, 'timeout');
  const connectTimer = connectBy === undefined ? undefined : until(connectBy, 'connect-timeout');
  const onAbort = guarded('exchange-timers abort', () => onDue('cancelled'));
  signal.addEventListener('abort', onAbort, { once: true });
  return {
    onConnected: () => clearTimeout(connectTimer),
    stop: () => {
      clearTimeout(timer);
      clearTimeout(connectTimer);
      signal.removeEventListener('abort', onAbort);
    },
  };
};
