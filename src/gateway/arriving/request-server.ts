import http, {
  type IncomingMessage,
  type RequestListener,
  type Server,
  ServerResponse,
} from 'node:http';
import type { Socket } from 'node:net';

import { guarded } from '../../adapters/guarded';
import type { Millis } from '../../model';

import type { HostConnections } from '../connections';
import { closeIdleOnceRead } from './idle-timeout';
import { RequestInput, type RequestInputOptions } from './request-input';

/** What the HTTP servers of a gateway share. */
export interface ServerResources extends Omit<RequestInputOptions, 'maxOpenCount'> {
  /** Counts the connections of all servers. */
  readonly connections: HostConnections;
}

/** How an HTTP server reads requests. */
export interface RequestServerOptions {
  /** The place in the program of what serves the requests. */
  readonly place: string;
  /** Number of unanswered requests of a connection at which no further one is parsed. */
  readonly maxOpenCount: number;
  /** Maximum size in bytes of the headers of a request; that of Node.js if left out. */
  readonly maxHeaderSize?: number;
}

/** Interval in milliseconds at which connections are checked for heads that don't arrive. */
const CHECK_INTERVAL_MS: Millis = 500;
/** Longest time in milliseconds for a head until a configuration is known. */
const HEADER_TIMEOUT_MS: Millis = 3000;
const BAD_REQUEST = 400;
const EXPECTATION_FAILED = 417;

const inputs = new WeakMap<Socket, RequestInput>();

/** Returns what reads requests from a socket of a request server. */
export const inputOf = (socket: Socket): RequestInput | undefined => inputs.get(socket);

/** Refuses a request before anything serves it, and reads nothing behind it. */
const refuseUnserved = (req: IncomingMessage, res: ServerResponse, status: number): void => {
  inputOf(req.socket)?.discard();
  res.writeHead(status, { connection: 'close', 'content-length': 0 });
  res.end();
};

const lacksHost = ({ httpVersion, headers }: IncomingMessage): boolean =>
  httpVersion === '1.1' && headers.host === undefined;

/**
 * Creates an HTTP server that reads requests with `RequestInput`, so that none is made of bytes which
 * it doesn't take yet. An exception of
 * `onRequest` ends the connection of its request alone.
 */
export const createRequestServer = (
  { connections, ...shared }: ServerResources,
  { place, maxOpenCount, maxHeaderSize }: RequestServerOptions,
  onRequest: RequestListener,
): Server => {
  /** The server makes one for each request that it has parsed, also for those that it refuses itself. */
  class CountedResponse extends ServerResponse {
    constructor(...args: ConstructorParameters<typeof ServerResponse>) {
      super(...args);
      const [req] = args;
      const { socket } = req;
      const input = inputOf(socket);
      input?.onHead(req);
      connections.begin(socket);
      this.once(
        'close',
        guarded('request-server response', () => {
          connections.end(socket);
          input?.onResponseEnd();
        }),
      );
    }
  }
  const server = http.createServer({
    noDelay: true,
    connectionsCheckingInterval: CHECK_INTERVAL_MS,
    headersTimeout: HEADER_TIMEOUT_MS,
    requireHostHeader: false,
    ...(maxHeaderSize === undefined ? {} : { maxHeaderSize }),
    ServerResponse: CountedResponse as typeof ServerResponse,
  });
  const destroy = (req: IncomingMessage): void => {
    req.socket.destroy();
  };
  server.on(
    'request',
    guarded(
      place,
      (req: IncomingMessage, res: ServerResponse) => {
        if (lacksHost(req)) refuseUnserved(req, res, BAD_REQUEST);
        else onRequest(req, res);
      },
      destroy,
    ),
  );
  server.on(
    'checkExpectation',
    guarded(
      'request-server expectation',
      (req: IncomingMessage, res: ServerResponse) => refuseUnserved(req, res, EXPECTATION_FAILED),
      destroy,
    ),
  );
  server.on(
    'connection',
    guarded(
      'request-server connection',
      (socket: Socket) => {
        const input = new RequestInput(socket, { ...shared, maxOpenCount });
        inputs.set(socket, input);
        socket.once(
          'close',
          guarded('request-server close', () => {
            input.close();
            connections.remove(socket);
          }),
        );
        connections.add(socket);
      },
      (socket) => socket.destroy(),
    ),
  );
  closeIdleOnceRead(server, (socket) => inputOf(socket)?.hasPending ?? false);
  return server;
};
