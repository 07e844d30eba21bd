/** Helpers that the stand-ins' servers share. */
import type { IncomingMessage, Server as HttpServer, ServerResponse } from 'node:http';
import type { AddressInfo, Server } from 'node:net';

/** A running stand-in. */
export interface StandIn {
  readonly port: number;
  close(): Promise<void>;
}

/** Stops listening and resolves when all connections are closed; breaks open HTTP connections. */
export const closeServer = (server: HttpServer | Server): Promise<void> =>
  new Promise((resolve) => {
    server.close(() => resolve());
    if ('closeAllConnections' in server) server.closeAllConnections();
  });

/** Listens on loopback; port 0 takes a free one. Returns the port; rejects when it is taken. */
export const listen = (server: HttpServer | Server, port: number): Promise<number> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', () => resolve((server.address() as AddressInfo).port));
  });

/** Reads the whole request body; rejects when the connection closes before its end. */
export const readBody = async (req: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
};

export const sendJson = (
  res: ServerResponse,
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): void => {
  const body = Buffer.from(JSON.stringify(value));
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': body.length,
    ...headers,
  });
  res.end(body);
};

/**
 * Turns an async handler into a listener for `createServer`. A handler that rejects is answered 400,
 * or the connection is closed when the answer has begun.
 */
export const asRequestListener =
  (handle: (req: IncomingMessage, res: ServerResponse, url: URL) => Promise<void>) =>
  (req: IncomingMessage, res: ServerResponse): void => {
    const url = new URL(req.url ?? '/', 'http://standin');
    handle(req, res, url).catch((err: unknown) => {
      if (res.headersSent || res.destroyed) res.destroy();
      else sendJson(res, 400, { error: String(err) });
    });
  };

/** Resolves after `millis` milliseconds; at once for 0 or less. */
export const sleep = (millis: number): Promise<void> =>
  new Promise((resolve) => {
    if (millis <= 0) resolve();
    else setTimeout(resolve, millis);
  });
