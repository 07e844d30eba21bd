/**
 * A TCP link that can be cut: open connections are reset and new ones refused until it is restored.
 * It can also go silent: open connections carry nothing any more, new ones work.
 */
import { connect, createServer, type Socket } from 'node:net';

import { closeServer, listen, type StandIn } from './server';

/** A link from `port` to a target port on loopback. */
export interface CuttableLink extends StandIn {
  cut(): Promise<void>;
  restore(): Promise<void>;
  silence(): void;
}

/** Starts a link on `linkPort`, which nothing else may take while the link is cut. */
export const startCuttableLink = async (
  targetPort: number,
  linkPort: number,
): Promise<CuttableLink> => {
  const sockets = new Set<Socket>();
  const silenced = new WeakSet<Socket>();
  const server = createServer((client) => {
    const target = connect({ host: '127.0.0.1', port: targetPort });
    [client, target].forEach((socket) => {
      sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => {
        sockets.delete(socket);
        if (silenced.has(socket)) return;
        client.destroy();
        target.destroy();
      });
    });
    client.pipe(target).pipe(client);
  });
  const port = await listen(server, linkPort);
  const cut = (): Promise<void> => {
    const closed = server.listening ? closeServer(server) : Promise.resolve();
    sockets.forEach((socket) => socket.resetAndDestroy());
    return closed;
  };
  return {
    port,
    cut,
    restore: async () => {
      await listen(server, port);
    },
    silence: () =>
      sockets.forEach((socket) => {
        silenced.add(socket);
        socket.unpipe();
        socket.resume();
      }),
    close: cut,
  };
};
