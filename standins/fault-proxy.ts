/**
 * A TCP proxy that drops, holds back, delays or resets traffic, with a separate mode for each
 * direction.
 */
import { createServer as createHttpServer } from 'node:http';
import { connect, createServer, type Socket } from 'node:net';

import { closeServer, asRequestListener, listen, readBody, sendJson, type StandIn } from './server';

/**
 * Treatment of the bytes of one direction. `drop` reads and discards them, as a one-way network
 * cut does; `freeze` stops reading, so that the sender's buffers fill.
 */
export type LinkMode = 'pass' | 'drop' | 'freeze' | { readonly delayMs: number };

/** JSON body of `POST /_control`. A field that is left out keeps its value. */
export interface FaultProxyControl {
  /** Mode from the connecting side to the target. */
  readonly up?: LinkMode;
  /** Mode from the target to the connecting side. */
  readonly down?: LinkMode;
  /** Resets the connections that are open now. */
  readonly reset?: boolean;
}

export interface FaultProxyOptions extends FaultProxyControl {
  readonly port: number;
  readonly controlPort: number;
  readonly targetHost: string;
  readonly targetPort: number;
}

/** A running proxy: `port` accepts the proxied connections, `controlPort` the HTTP commands. */
export interface FaultProxy extends StandIn {
  readonly controlPort: number;
}

/** Copies the bytes of one direction of one connection. */
class OneWayRelay {
  private mode: LinkMode = 'pass';

  private lastDueAt = 0;

  /** Whether bytes of this direction were discarded. */
  hasLostBytes = false;

  bytes = 0;

  constructor(
    private readonly source: Socket,
    private readonly destination: Socket,
  ) {
    source.on('data', (chunk) => this.forward(chunk));
    source.on('end', () => this.runWhenDue(() => destination.end()));
    source.on('close', () => this.runWhenDue(() => destination.destroy()));
    destination.on('drain', () => {
      if (this.mode !== 'freeze') source.resume();
    });
  }

  setMode(mode: LinkMode): void {
    this.mode = mode;
    if (mode === 'freeze') this.source.pause();
    else this.source.resume();
  }

  private forward(chunk: Buffer): void {
    if (this.mode === 'drop') {
      this.hasLostBytes = true;
      return;
    }
    this.runWhenDue(() => {
      this.bytes += chunk.length;
      if (!this.destination.destroyed && !this.destination.write(chunk)) this.source.pause();
    });
  }

  /** Runs `action` after the mode's delay and after earlier actions; skips it in mode `drop`. */
  private runWhenDue(action: () => void): void {
    if (this.mode === 'drop') return;
    const now = Date.now();
    const delay = typeof this.mode === 'object' ? this.mode.delayMs : 0;
    this.lastDueAt = Math.max(this.lastDueAt, now + delay);
    if (this.lastDueAt <= now) action();
    else setTimeout(action, this.lastDueAt - now);
  }
}

// resetAndDestroy after the socket's end fails inside Node.js and leaves the handle open.
const resetSocket = (socket: Socket): void => {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
};

/** A client connection, the proxy's connection to the target, and the relays between them. */
interface ProxiedConnection {
  readonly client: Socket;
  readonly target: Socket;
  readonly up: OneWayRelay;
  readonly down: OneWayRelay;
}

/** All connections through one proxy, and the modes that apply to them. */
class ProxiedLink {
  private readonly openConnections = new Set<ProxiedConnection>();

  private up: LinkMode = 'pass';

  private down: LinkMode = 'pass';

  private acceptedCount = 0;

  open(client: Socket, target: Socket): void {
    const proxied: ProxiedConnection = {
      client,
      target,
      up: new OneWayRelay(client, target),
      down: new OneWayRelay(target, client),
    };
    [client, target].forEach((socket) => {
      socket.setNoDelay(true);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => {
        if (client.destroyed && target.destroyed) this.openConnections.delete(proxied);
      });
    });
    this.acceptedCount += 1;
    this.openConnections.add(proxied);
    proxied.up.setMode(this.up);
    proxied.down.setMode(this.down);
  }

  apply({ up, down, reset }: FaultProxyControl): void {
    this.up = up ?? this.up;
    this.down = down ?? this.down;
    this.openConnections.forEach((proxied) => {
      // A byte stream with a gap is unusable, so the end of `drop` resets the connection.
      const hasGap =
        (proxied.up.hasLostBytes && this.up !== 'drop') ||
        (proxied.down.hasLostBytes && this.down !== 'drop');
      if (reset || hasGap) this.reset(proxied);
      else {
        proxied.up.setMode(this.up);
        proxied.down.setMode(this.down);
      }
    });
  }

  stats(): { readonly acceptedCount: number; readonly open: number } {
    return { acceptedCount: this.acceptedCount, open: this.openConnections.size };
  }

  private reset(proxied: ProxiedConnection): void {
    this.openConnections.delete(proxied);
    resetSocket(proxied.client);
    resetSocket(proxied.target);
  }
}

/** Starts a proxy on loopback; port 0 takes a free one. Rejects when a port is taken. */
export const startFaultProxy = async (options: FaultProxyOptions): Promise<FaultProxy> => {
  const { targetHost, targetPort } = options;
  const link = new ProxiedLink();
  link.apply(options);
  const server = createServer({ allowHalfOpen: true }, (client) => {
    const target = connect({ host: targetHost, port: targetPort, allowHalfOpen: true });
    link.open(client, target);
  });
  const control = createHttpServer(
    asRequestListener(async (req, res, url) => {
      if (url.pathname === '/_stats') return sendJson(res, 200, link.stats());
      if (url.pathname !== '/_control') return sendJson(res, 404, { error: 'not found' });
      link.apply(JSON.parse(String(await readBody(req))) as FaultProxyControl);
      sendJson(res, 200, {});
    }),
  );
  return {
    port: await listen(server, options.port),
    controlPort: await listen(control, options.controlPort),
    close: async () => {
      const closed = closeServer(server);
      link.apply({ reset: true });
      await Promise.all([closed, closeServer(control)]);
    },
  };
};
