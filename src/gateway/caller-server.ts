import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { CallerLimits, Instant, Millis } from '../model';
import { MILLIS_PER_SECOND } from '../model';

import type { CallerRequest } from './forwarding';
import type { GatewayContext } from './context';
import { endToEnd } from './headers';
import { writeError, writeRefusal, writeReply, type CallerReply } from './replies';

/** What serves the requests that a server has read. */
export interface CallerService {
  /** Bounds on what callers send; undefined until a configuration is known. */
  limits(): CallerLimits | undefined;
  isStopping(): boolean;
  serve(request: CallerRequest): Promise<CallerReply>;
}

/** Until a configuration is known; as in the users' first configurations. */
const FIRST_LIMITS: CallerLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 2 ** 20,
  headerTimeout: 3000,
  idleTimeout: 15_000,
};
/** Where a caller names no time, the longest that any request is kept. */
const LONGEST_WAIT: Millis = 60_000;
/** Bytes of callers' bodies held at once; beyond it requests are refused. */
const HELD_BODY_BYTES = 48 * 2 ** 20;
/** Time that a caller may take over its body, in parts of the time for its head. */
const BODY_TIME_FACTOR = 10;
const BAD_GATEWAY = 502;
const CONTENT_TOO_LARGE = 413;
/** Errors of the parser that have a status of their own. */
const STATUS_OF_ERROR: ReadonlyMap<string, string> = new Map([
  ['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
  ['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout'],
]);

/** The caller side: reads requests whole, writes replies whole. */
export class CallerServer {
  readonly server: http.Server;

  /** Requests between their last byte and the last byte of their answer. */
  inFlight = 0;

  lastRequestAt: Instant = Number.NEGATIVE_INFINITY;

  private heldBytes = 0;

  constructor(
    private readonly context: GatewayContext,
    private readonly service: CallerService,
  ) {
    this.server = http.createServer({ noDelay: true, connectionsCheckingInterval: 500 });
    this.server.on('request', (req, res) => this.onRequest(req, res));
    this.server.on('clientError', (err: NodeJS.ErrnoException, socket: Socket) =>
      this.onClientError(err, socket),
    );
    this.applyLimits();
  }

  /** Puts the configuration's bounds in force; for connections and requests that begin later. */
  applyLimits(): void {
    const limits = this.service.limits() ?? FIRST_LIMITS;
    const { server } = this;
    (server as { maxHeaderSize?: number }).maxHeaderSize = limits.maxHeaderBytes;
    server.headersTimeout = limits.headerTimeout;
    server.requestTimeout = limits.headerTimeout * BODY_TIME_FACTOR;
    server.keepAliveTimeout = limits.idleTimeout;
  }

  private onRequest(req: IncomingMessage, res: ServerResponse): void {
    const { clock } = this.context;
    const arrivedAt = clock.now();
    this.lastRequestAt = arrivedAt;
    this.inFlight += 1;
    const left = new AbortController();
    res.once('close', () => {
      this.inFlight -= 1;
      left.abort();
    });
    const chunks: Buffer[] = [];
    let size = 0;
    const limits = this.service.limits() ?? FIRST_LIMITS;
    const release = (): void => {
      this.heldBytes -= size;
      size = 0;
    };
    res.once('close', release);
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      this.heldBytes += chunk.length;
      const isTooLarge = size > limits.maxBodyBytes;
      if (!isTooLarge && this.heldBytes <= HELD_BODY_BYTES) {
        chunks.push(chunk);
        return;
      }
      req.pause();
      req.removeAllListeners('data');
      res.setHeader('connection', 'close');
      if (isTooLarge) writeError(res, CONTENT_TOO_LARGE, 'body-too-large');
      else writeRefusal(res, 'memory', MILLIS_PER_SECOND);
    });
    req.on('end', () => {
      if (res.headersSent) return;
      const request = this.decode(req, Buffer.concat(chunks), arrivedAt, left.signal);
      void this.service
        .serve(request)
        .then((reply) => writeReply(res, reply, this.service.isStopping()))
        .catch((err: unknown) => {
          this.context.telemetry.event('request-broke', {
            request: request.id,
            error: err instanceof Error ? (err.stack ?? err.message) : String(err),
          });
          if (!res.headersSent) writeError(res, BAD_GATEWAY, 'internal');
          else res.destroy();
        });
    });
  }

  private decode(
    req: IncomingMessage,
    body: Buffer,
    arrivedAt: Instant,
    signal: AbortSignal,
  ): CallerRequest {
    const { headerConventions } = this.context;
    const header = (name: string): string => {
      const value = req.headers[name];
      return typeof value === 'string' ? value : '';
    };
    const remaining = header(headerConventions.remainingMs);
    const wait = /^\d{1,9}$/.test(remaining) ? Number(remaining) : LONGEST_WAIT;
    return {
      id: header(headerConventions.requestId),
      method: req.method ?? 'GET',
      target: req.url ?? '/',
      host: req.headers.host ?? '',
      rawHeaders: endToEnd(
        req.rawHeaders,
        new Set([headerConventions.remainingMs, headerConventions.targetUpstream]),
      ),
      body,
      arrivedAt,
      deadline: arrivedAt + wait,
      signal,
    };
  }

  private onClientError(err: NodeJS.ErrnoException, socket: Socket): void {
    const code = err.code ?? 'unknown';
    this.context.telemetry.count('caller_errors', { code });
    if (code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    const status = STATUS_OF_ERROR.get(code) ?? '400 Bad Request';
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  }
}
