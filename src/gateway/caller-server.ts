import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { CallerLimits, Instant, Millis } from '../model';

import type { CallerRequest } from './forwarding';
import type { GatewayContext } from './context';
import { endToEndHeaders } from './headers';
import type { MemoryGuard } from './memory-guard';
import { Pipeline } from './pipeline';
import { RELAY_HEADERS } from './relay-headers';
import { writeError, writeReply, type CallerReply } from './replies';

/** Functions of the gateway that the caller server calls. */
export interface CallerService {
  /** Returns the limits on what callers send; undefined until a configuration is known. */
  limits(): CallerLimits | undefined;
  isStopping(): boolean;
  /** Counts what is buffered for callers, of all servers of this gateway. */
  readonly memory: MemoryGuard;
  /** Serves a request that has been read completely. */
  serve(request: CallerRequest): Promise<CallerReply>;
  /** Returns how many upstreams may run a request that another gateway has passed on. */
  relayedMaxRuns?(req: IncomingMessage): number | undefined;
  /** Sets headers of this gateway's own on a response before the reply is written. */
  setHeaders?(res: ServerResponse, reply: CallerReply): void;
}

/** Limits in force until a configuration is known. */
const INITIAL_LIMITS: CallerLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 2 ** 20,
  headerTimeout: 3000,
  idleTimeout: 15_000,
};
/** Time-out in milliseconds of a request whose caller states no remaining time. */
const DEFAULT_REQUEST_TIMEOUT_MS: Millis = 60_000;
/** Time-out for a whole request, as a multiple of the time-out for its head. */
const BODY_TIMEOUT_RATIO = 10;
const BAD_GATEWAY = 502;
const CONTENT_TOO_LARGE = 413;
/** Status lines for errors of the HTTP server by error code; all others are 400. */
const STATUS_BY_PARSER_ERROR: ReadonlyMap<string, string> = new Map([
  ['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
  ['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout'],
]);

/** HTTP server for callers: reads requests completely and writes the replies. */
export class CallerServer {
  readonly server: http.Server;

  /** Number of requests whose head has been read and whose response is not closed. */
  inFlight = 0;

  /** When the head of the last request arrived; -Infinity before the first. */
  lastRequestAt: Instant = Number.NEGATIVE_INFINITY;

  /** The unanswered requests of each connection. */
  private readonly pipelines = new WeakMap<Socket, Pipeline>();

  /** When the connections closed that had unanswered requests. */
  private readonly departures = new WeakMap<Pipeline, Instant>();

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

  /** Applies the configured limits to connections and requests that begin later. */
  applyLimits(): void {
    const limits = this.service.limits() ?? INITIAL_LIMITS;
    const { server } = this;
    (server as { maxHeaderSize?: number }).maxHeaderSize = limits.maxHeaderBytes;
    server.headersTimeout = limits.headerTimeout;
    server.requestTimeout = limits.headerTimeout * BODY_TIMEOUT_RATIO;
    server.keepAliveTimeout = limits.idleTimeout;
  }

  /** Reads and answers a request, which may come from another server than this one's. */
  onRequest(req: IncomingMessage, res: ServerResponse): void {
    this.lastRequestAt = this.context.clock.now();
    const pipeline = this.pipelineOf(req.socket);
    pipeline.lastReadAt = this.lastRequestAt;
    const isRead = pipeline.add({ req, res }, () => this.read(req, res));
    if (!isRead) return;
    this.inFlight += 1;
    res.once('close', () => {
      this.inFlight -= 1;
    });
  }

  private pipelineOf(socket: Socket): Pipeline {
    const known = this.pipelines.get(socket);
    if (known) return known;
    const pipeline = new Pipeline(socket);
    this.pipelines.set(socket, pipeline);
    socket.prependOnceListener('close', () => this.logDeparture(pipeline));
    return pipeline;
  }

  /** Logs that a caller's connection has closed while requests of it are unanswered. */
  private logDeparture(pipeline: Pipeline): void {
    const now = this.context.clock.now();
    this.departures.set(pipeline, now);
    if (pipeline.openCount === 0) return;
    this.context.telemetry.count('caller_departures');
    this.context.telemetry.event('caller-left', {
      open: pipeline.openCount,
      waiting: pipeline.waitingCount,
      readMs: Math.round(now - pipeline.lastReadAt),
    });
  }

  /** Logs that a request has ended after its caller's connection closed. */
  private logUndelivered(socket: Socket, request: CallerRequest, reply: CallerReply): void {
    const leftAt = this.departures.get(this.pipelineOf(socket));
    if (leftAt === undefined) return;
    this.context.telemetry.event('undelivered', {
      request: request.id,
      outcome: reply.kind,
      leftMs: Math.round(this.context.clock.now() - leftAt),
    });
  }

  /** Reads a request's body, has it served and writes the reply. */
  private read(req: IncomingMessage, res: ServerResponse): void {
    const arrivedAt = this.context.clock.now();
    const callerLeft = new AbortController();
    res.once('close', () => callerLeft.abort());
    const chunks: Buffer[] = [];
    let size = 0;
    const limits = this.service.limits() ?? INITIAL_LIMITS;
    const { memory } = this.service;
    const { socket } = req;
    const release = (): void => {
      memory.release(socket, size);
      size = 0;
    };
    res.once('close', release);
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      memory.add(socket, chunk.length);
      if (size <= limits.maxBodyBytes) {
        chunks.push(chunk);
        memory.pauseIfHigh(req);
        return;
      }
      req.pause();
      req.removeAllListeners('data');
      res.setHeader('connection', 'close');
      this.pipelineOf(socket).close();
      writeError(res, CONTENT_TOO_LARGE, 'body-too-large');
    });
    req.on('end', () => {
      if (res.headersSent) return;
      const request = this.decode(req, Buffer.concat(chunks), arrivedAt, callerLeft.signal);
      void this.service
        .serve(request)
        .then((reply) => {
          release();
          this.logUndelivered(socket, request, reply);
          this.countAnswer(socket, res, reply);
          this.service.setHeaders?.(res, reply);
          writeReply(res, reply, this.closesAfter(socket, res, reply));
        })
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

  /**
   * Returns whether the connection closes after a response, and stops reading requests behind it if
   * so. A stopping gateway first answers what it has read.
   */
  private closesAfter(socket: Socket, res: ServerResponse, reply: CallerReply): boolean {
    const pipeline = this.pipelineOf(socket);
    const closes = this.service.isStopping() && pipeline.isLast(res);
    const isUnframed = reply.kind === 'answer' && reply.head.endsWithConnection;
    if (closes || isUnframed || reply.kind === 'nobody') pipeline.close();
    return closes;
  }

  /** Counts an answer that is complete in memory until the caller's socket has taken it. */
  private countAnswer(socket: Socket, res: ServerResponse, reply: CallerReply): void {
    if (reply.kind !== 'answer' || reply.body.kind !== 'whole' || res.destroyed) return;
    const { memory } = this.service;
    let size = reply.body.bytes.length;
    const release = (): void => {
      memory.release(socket, size);
      size = 0;
    };
    res.once('finish', release);
    res.once('close', release);
    memory.add(socket, size);
  }

  /** Builds the request to forward from what the HTTP server has read. */
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
    const timeout = /^\d{1,9}$/.test(remaining) ? Number(remaining) : DEFAULT_REQUEST_TIMEOUT_MS;
    return {
      id: header(headerConventions.requestId),
      method: req.method ?? 'GET',
      target: req.url ?? '/',
      host: req.headers.host ?? '',
      rawHeaders: endToEndHeaders(
        req.rawHeaders,
        new Set([
          headerConventions.remainingMs,
          headerConventions.targetUpstream,
          RELAY_HEADERS.maxRuns,
        ]),
      ),
      body,
      arrivedAt,
      deadline: arrivedAt + timeout,
      relayedMaxRuns: this.service.relayedMaxRuns?.(req),
      signal,
    };
  }

  /**
   * Answers a connection error of a caller; after a reset the socket is only destroyed. Where bytes
   * after a complete request are malformed, that request is answered first.
   */
  private onClientError(err: NodeJS.ErrnoException, socket: Socket): void {
    const code = err.code ?? 'unknown';
    this.context.telemetry.count('caller_errors', { code });
    if (code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    const last = this.pipelines.get(socket)?.last;
    if (last?.req.complete && !last.res.writableFinished) {
      last.res.once('finish', () => this.onClientError(err, socket));
      return;
    }
    const status = STATUS_BY_PARSER_ERROR.get(code) ?? '400 Bad Request';
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  }
}
