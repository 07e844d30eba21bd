/** An upstream that answers each request with bytes that don't end until its caller closes. */
import { createServer, type Socket } from 'node:net';

import { closeServer, listen, type StandIn } from '../server';

/** A running upstream. */
export interface EndlessUpstream extends StandIn {
  /** Number of open connections. */
  readonly openCount: number;
  /** Number of bytes that callers' sockets have taken so far. */
  readonly takenBytes: number;
}

/** Size in bytes of one write. */
const WRITE_BYTES = 16 * 1024;
const REQUEST_ID = /^x-redwingmount-request-id: *(.*)$/im;

/** Writes `repeated` until the connection closes, no faster than it is taken. */
export const writeWithoutEnd = (socket: Socket, repeated: string): void => {
  const block = Buffer.from(repeated.repeat(Math.ceil(WRITE_BYTES / repeated.length)), 'latin1');
  const write = (): void => {
    if (socket.destroyed) return;
    if (socket.write(block)) setImmediate(write);
    else socket.once('drain', write);
  };
  write();
};

/** Starts an upstream whose answers begin with `start`, given the request's id. */
export const startEndlessUpstream = async (
  start: string | ((id: string) => string),
  repeated: string,
): Promise<EndlessUpstream> => {
  const sockets = new Set<Socket>();
  let closedBytes = 0;
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => {
      sockets.delete(socket);
      closedBytes += socket.bytesWritten - socket.writableLength;
    });
    socket.once('data', (chunk) => {
      const id = REQUEST_ID.exec(chunk.toString('latin1'))?.[1]?.trim() ?? '';
      socket.write(typeof start === 'string' ? start : start(id));
      writeWithoutEnd(socket, repeated);
    });
  });
  const port = await listen(server, 0);
  return {
    port,
    get openCount() {
      return sockets.size;
    },
    get takenBytes() {
      return [...sockets].reduce(
        (sum, socket) => sum + socket.bytesWritten - socket.writableLength,
        closedBytes,
      );
    },
    close: () => {
      const closed = closeServer(server);
      sockets.forEach((socket) => socket.destroy());
      return closed;
    },
  };
};
