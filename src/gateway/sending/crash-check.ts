import net from 'node:net';

import { guarded } from '../../adapters/guarded';
import type { Endpoint, Millis } from '../../model';

import type { ExchangeResult } from './exchange';

/** Time in milliseconds within which an upstream that has crashed refuses a connection. */
const CRASH_CHECK_TIMEOUT_MS: Millis = 100;

/** Whether the result is what a request meets whose upstream crashes while it runs. */
export const isBrokenOff = (result: ExchangeResult): boolean =>
  result.kind === 'failed' && result.sent && (result.why === 'reset' || result.why === 'truncated');

/**
 * Whether nothing listens at an endpoint. Silence is no proof of it, since the path may be cut.
 */
export const refusesConnections = ({ address, port }: Endpoint): Promise<boolean> =>
  new Promise((resolve) => {
    const socket = net.connect({ host: address, port });
    const settle = (refuses: boolean): void => {
      socket.destroy();
      resolve(refuses);
    };
    socket.setTimeout(
      CRASH_CHECK_TIMEOUT_MS,
      guarded('crash-check timeout', () => settle(false)),
    );
    socket.once(
      'connect',
      guarded('crash-check connect', () => settle(false)),
    );
    socket.once(
      'error',
      guarded('crash-check error', (err: NodeJS.ErrnoException) =>
        settle(err.code === 'ECONNREFUSED'),
      ),
    );
  });
