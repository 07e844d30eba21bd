import http, { type Server } from 'node:http';

import type { DirectoryCodec, DirectoryQuery, ReadinessCodec } from '../ports';

const OK = 200;
const NOT_FOUND = 404;
const SERVICE_UNAVAILABLE = 503;

/** Says whether this gateway takes callers. */
export const createReadinessServer = (codec: ReadinessCodec, isReady: () => boolean): Server =>
  http.createServer((req, res) => {
    req.resume();
    if (!codec.isReadinessRequest(req.url ?? '')) res.statusCode = NOT_FOUND;
    else res.statusCode = isReady() ? OK : SERVICE_UNAVAILABLE;
    res.end();
  });

/** What the directory answers from. */
export interface DirectoryService {
  readonly ttlSeconds: number;
  /** Callers' addresses of the gateways to use, `ip:port`; empty if none is known. */
  addressesFor(question: DirectoryQuery): readonly string[];
}

/** Tells callers where to connect. */
export const createDirectoryServer = (codec: DirectoryCodec, service: DirectoryService): Server =>
  http.createServer((req, res) => {
    req.resume();
    const question = codec.decode(req.url ?? '');
    if (!question) {
      res.statusCode = NOT_FOUND;
      res.end();
      return;
    }
    const addresses = service.addressesFor(question);
    if (addresses.length === 0) {
      res.statusCode = SERVICE_UNAVAILABLE;
      res.end();
      return;
    }
    res.writeHead(OK, { 'content-type': 'application/json' });
    res.end(codec.encode(addresses, service.ttlSeconds));
  });

/** Serves the metrics to the operators' scraper. */
export const createMetricsServer = (metrics: () => Promise<string>): Server =>
  http.createServer((req, res) => {
    req.resume();
    metrics().then(
      (text) => {
        res.writeHead(OK, { 'content-type': 'text/plain; version=0.0.4' });
        res.end(text);
      },
      () => res.destroy(),
    );
  });
