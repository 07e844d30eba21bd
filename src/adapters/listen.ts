/** Opens listening sockets. */
import type { Server } from 'node:http';

import { Left, Right, type Either } from 'purify-ts';

import { guarded } from './guarded';

/**
 * The reason why a server can't listen. `code` is that of the operating system, such as EADDRINUSE.
 */
export interface ListenError {
  readonly kind: 'listen-failed';
  readonly address: string;
  readonly port: number;
  readonly code: string;
}

/**
 * Listens on an IP address and port. Resolves once the server listens or has failed to; it may be
 * tried again then.
 */
export const listen = (
  server: Server,
  address: string,
  port: number,
): Promise<Either<ListenError, Server>> =>
  new Promise((resolve) => {
    const onListening = guarded('listen listening', () => resolve(Right(server)));
    const onError = guarded('listen error', (err: NodeJS.ErrnoException) => {
      if (!server.listening) {
        server.off('error', onError);
        server.off('listening', onListening);
      }
      resolve(Left({ kind: 'listen-failed', address, port, code: err.code ?? 'unknown' }));
    });
    // Stays, as an error without a listener would end the process: one of a later accept, for example.
    server.on('error', onError);
    server.listen(port, address, onListening);
  });
