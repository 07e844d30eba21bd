import type { Socket } from 'node:net';

import { guarded } from '../../adapters/guarded';
import type { Telemetry } from '../../ports';

import type { CallerConnection } from './caller-connection';

/** Status lines for errors of the HTTP server by error code; all others are 400. */
const STATUS_BY_PARSER_ERROR: ReadonlyMap<string, string> = new Map([
  ['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
  ['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout'],
]);

/**
 * Answers a connection error of a caller; after a reset the socket is only destroyed. Where bytes
 * after a complete request are malformed, that request is answered first. No request is taken behind
 * the answer, which says that none has run.
 */
export const onClientError = (
  telemetry: Telemetry,
  connection: CallerConnection,
  err: NodeJS.ErrnoException,
  socket: Socket,
): void => {
  const code = err.code ?? 'unknown';
  telemetry.count('caller_errors', { code });
  if (code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const { last } = connection;
  if (last?.req.complete && !last.res.writableFinished) {
    last.res.once(
      'finish',
      guarded('client-errors finish', () => onClientError(telemetry, connection, err, socket)),
    );
    return;
  }
  connection.close();
  const status = STATUS_BY_PARSER_ERROR.get(code) ?? '400 Bad Request';
  socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
};
