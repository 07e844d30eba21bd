import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { guarded } from '../../adapters/guarded';
import type { Millis } from '../../model';

import type { UnreadBody } from './body-reader';
import { STOP_REFUSAL } from './planned-stop';
import { writeError, writeRefusal } from './replies';

/** Retry-After in milliseconds of a request whose body there is no memory for. */
const MEMORY_RETRY_AFTER_MS: Millis = 1000;
/** Time in milliseconds for which a caller whose body is refused may go on to send. */
const LINGER_MS: Millis = 1000;
const CONTENT_TOO_LARGE = 413;
const REQUEST_TIMEOUT = 408;

/**
 * Has a connection closed in one direction first, and read on for a moment: a caller that still sends
 * a body would get a reset in place of the answer.
 */
const lingerAtClose = (socket: Socket): void => {
  Object.assign(socket, {
    destroySoon: () => {
      if (socket.writable) socket.end();
      const destroy = guarded('unread-reply linger', () => {
        socket.destroy();
      });
      const timer = setTimeout(destroy, LINGER_MS);
      socket.once(
        'close',
        guarded('unread-reply close', () => clearTimeout(timer)),
      );
    },
  });
};

/** Answers a request whose body is not read to its end, and closes the connection after it. */
export const writeUnread = (res: ServerResponse, kind: UnreadBody['kind']): void => {
  if (res.socket) lingerAtClose(res.socket);
  res.setHeader('connection', 'close');
  switch (kind) {
    case 'body-too-large':
      writeError(res, CONTENT_TOO_LARGE, kind);
      return;
    case 'memory-short':
      writeRefusal(res, kind, MEMORY_RETRY_AFTER_MS);
      return;
    case 'stopping':
      writeRefusal(res, STOP_REFUSAL.why, STOP_REFUSAL.retryAfter);
      return;
    case 'body-late':
      writeError(res, REQUEST_TIMEOUT, kind);
  }
};
