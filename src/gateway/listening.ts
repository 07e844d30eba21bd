import type { Server } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { listen } from '../adapters/listen';
import type { Endpoint, Millis } from '../model';

import type { GatewayContext } from './context';

/** Time in milliseconds between two tries to listen on a port that is in use. */
const RETRY_PERIOD_MS: Millis = 100;
const IN_USE = 'EADDRINUSE';

/** A port that can't be listened on; `code` is that of the operating system. */
export class PortError extends Error {
  constructor(
    { address, port }: Endpoint,
    readonly code: string,
  ) {
    super(`can't listen on ${address}:${port}: ${code}`);
  }
}

/** A port to listen on, with a server or by a function that rejects with a `PortError`. */
export type Listener =
  | { readonly at: Endpoint; readonly server: Server }
  | { readonly at: Endpoint; bind(): Promise<void> };

const bindServer = async (server: Server, at: Endpoint): Promise<void> => {
  (await listen(server, at.address, at.port)).ifLeft(({ code }) => {
    throw new PortError(at, code);
  });
};

/**
 * Listens on all ports, one after the other. While one is in use it is tried again until the stop
 * grace period is over, then this rejects with a `PortError`. Load pattern: a process that is replaced
 * still has its ports while it stops, and an outgoing connection may have one for a while.
 */
export const listenOnAll = async (
  { clock, telemetry, settings }: Pick<GatewayContext, 'clock' | 'telemetry' | 'settings'>,
  listeners: readonly Listener[],
): Promise<void> => {
  const giveUpAt = clock.now() + settings.bounds.stopGrace;
  const inUse = new Set<Listener>();
  for (const listener of listeners) {
    for (;;) {
      try {
        await ('server' in listener ? bindServer(listener.server, listener.at) : listener.bind());
        break;
      } catch (err) {
        const isInUse = err instanceof PortError && err.code === IN_USE;
        if (!isInUse || clock.now() >= giveUpAt) throw err;
        if (!inUse.has(listener)) telemetry.event('port-in-use', { ...listener.at });
        inUse.add(listener);
        await sleep(RETRY_PERIOD_MS);
      }
    }
  }
};
