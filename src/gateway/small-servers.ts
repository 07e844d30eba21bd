import http, {
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from 'node:http';

import { guarded } from '../adapters/guarded';
import type { DirectoryCodec, DirectoryQuery, ReadinessCodec } from '../ports';

import { ignoreBody, sliceInputs } from './arriving';

const OK = 200;
const NOT_FOUND = 404;
const SERVICE_UNAVAILABLE = 503;

/**
 * Creates a server in which an exception ends the connection of its request alone, and which reads
 * no more of a request than its head.
 */
const createGuardedServer = (onRequest: RequestListener): Server => {
  const server = http.createServer(
    guarded(
      'small-servers request',
      (req: IncomingMessage, res: ServerResponse) => {
        ignoreBody(req, res);
        onRequest(req, res);
      },
      (req) => {
        req.socket.destroy();
      },
    ),
  );
  sliceInputs(server);
  return server;
};

/** Creates the server for readiness checks: 200 if this gateway takes callers, otherwise 503. */
export const createReadinessServer = (codec: ReadinessCodec, isReady: () => boolean): Server =>
  createGuardedServer((req, res) => {
    if (!codec.isReadinessRequest(req.url ?? '')) res.statusCode = NOT_FOUND;
    else res.statusCode = isReady() ? OK : SERVICE_UNAVAILABLE;
    res.end();
  });

/** Source of the answers of the directory. */
export interface DirectoryService {
  /** Time in seconds for which callers may cache an answer. */
  readonly ttlSeconds: number;
  /** Returns the gateways to connect to, as `ip:port`; empty if none is known. */
  addressesFor(query: DirectoryQuery): readonly string[];
}

/** Creates the directory server, which tells callers the gateways to connect to. */
export const createDirectoryServer = (codec: DirectoryCodec, service: DirectoryService): Server =>
  createGuardedServer((req, res) => {
    const query = codec.decode(req.url ?? '');
    if (!query) {
      res.statusCode = NOT_FOUND;
      res.end();
      return;
    }
    const addresses = service.addressesFor(query);
    if (addresses.length === 0) {
      res.statusCode = SERVICE_UNAVAILABLE;
      res.end();
      return;
    }
    res.writeHead(OK, { 'content-type': 'application/json' });
    res.end(codec.encode(addresses, service.ttlSeconds));
  });

/** Creates the server for metrics in the Prometheus text format. */
export const createMetricsServer = (metrics: () => Promise<string>): Server =>
  createGuardedServer((_, res) => {
    metrics().then(
      (text) => {
        res.writeHead(OK, { 'content-type': 'text/plain; version=0.0.4' });
        res.end(text);
      },
      () => res.destroy(),
    );
  });
