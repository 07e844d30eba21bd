import type { Server } from 'node:http';
import type { Socket } from 'node:net';

import { guarded } from '../../adapters/guarded';

/**
 * Has a server's idle connections closed at their time-out only if no request has arrived on them.
 * Load pattern: a host that was paused reads late, and timers run before the sockets are polled; a
 * request that came in time would be cut off unread. `isAwaited` tells whether something that was
 * read waits to be parsed.
 */
export const closeIdleOnceRead = (server: Server, isAwaited: (socket: Socket) => boolean): void => {
  const destroy = (socket: Socket): void => {
    socket.destroy();
  };
  server.on(
    'timeout',
    guarded(
      'idle-timeout timeout',
      (socket: Socket) => {
        const { bytesRead } = socket;
        // Immediates run after the sockets are polled.
        setImmediate(
          guarded('idle-timeout timer', () => {
            if (socket.bytesRead === bytesRead && !isAwaited(socket)) socket.destroy();
          }),
        );
      },
      destroy,
    ),
  );
};
