import type { RequestListener, Server, ServerResponse } from 'node:http';

import type { DirectoryCodec, DirectoryQuery, ReadinessCodec } from '../ports';

import { createRequestServer, ignoreBody, inputOf, type ServerResources } from './arriving';

const OK = 200;
const NOT_FOUND = 404;
const SERVICE_UNAVAILABLE = 503;

/** A server that answers requests one after the other, and reads no more of one than its head. */
const createSmallServer = (resources: ServerResources, onRequest: RequestListener): Server =>
  createRequestServer(
    resources,
    { place: 'small-servers request', maxOpenCount: 1 },
    (req, res) => {
      ignoreBody(req, res);
      onRequest(req, res);
    },
  );

/** Writes an answer, which counts until its caller has taken it. */
const writeText = (res: ServerResponse, contentType: string, text: string): void => {
  if (res.socket) inputOf(res.socket)?.countAnswer(Buffer.byteLength(text));
  res.writeHead(OK, { 'content-type': contentType });
  res.end(text);
};

/** Creates the server for readiness checks: 200 if this gateway takes callers, otherwise 503. */
export const createReadinessServer = (
  resources: ServerResources,
  codec: ReadinessCodec,
  isReady: () => boolean,
): Server =>
  createSmallServer(resources, (req, res) => {
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
export const createDirectoryServer = (
  resources: ServerResources,
  codec: DirectoryCodec,
  service: DirectoryService,
): Server =>
  createSmallServer(resources, (req, res) => {
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
    writeText(res, 'application/json', codec.encode(addresses, service.ttlSeconds));
  });

/** Creates the server for metrics in the Prometheus text format. */
export const createMetricsServer = (
  resources: ServerResources,
  metrics: () => Promise<string>,
): Server =>
  createSmallServer(resources, (_, res) => {
    metrics().then(
      (text) => writeText(res, 'text/plain; version=0.0.4', text),
      () => res.destroy(),
    );
  });
