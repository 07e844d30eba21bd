import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { detached, guarded } from '../../adapters/guarded';
import type { CallerLimits, Instant, Millis } from '../../model';

import type { ArrivalTimes } from './arrival-times';
import { BodyReader, type UnreadBody } from './body-reader';
import { requestCostOf } from '../../core/memory';
import { CallerConnection, CallerExchange, MAX_OPEN_COUNT } from './caller-connection';
import type { GatewayContext } from '../context';
import { discardAnswer } from '../sending/gateway-reply';
import { onClientError } from './client-errors';
import { STOP_REFUSAL } from './planned-stop';
import { deadlineOf, decodeRequest, type CallerRequest } from '../request/caller-request';
import type { RelayTerms } from '../request/relay-headers';
import { createRequestServer, inputOf, type ServerResources } from './request-server';
import type { CallerReply } from './replies';
import { ReplyWriter, type ReplyService } from './reply-writer';
import { writeUnread } from './unread-reply';

/** Functions of the gateway that the caller server calls. */
export interface CallerService extends ReplyService {
  /** Returns the limits on what callers send; undefined until a configuration is known. */
  limits(): CallerLimits | undefined;
  /** Tells when requests arrived, at all servers of this gateway. */
  readonly arrivals: ArrivalTimes;
  /** What the servers of this gateway share. */
  readonly resources: ServerResources;
  /** Returns the time-out in milliseconds of a request's route; undefined if no route is known. */
  timeoutOf?(req: IncomingMessage): Millis | undefined;
  /** Serves a request that has been read completely. */
  serve(request: CallerRequest): Promise<CallerReply>;
  /** Returns what another gateway says of a request that it has passed on; else undefined. */
  relayTerms?(req: IncomingMessage): RelayTerms | undefined;
}

/** Limits in force until a configuration is known. */
const INITIAL_LIMITS: CallerLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 2 ** 20,
  headerTimeout: 3000,
  idleTimeout: 15_000,
};
/** Time-out for a whole request, as a multiple of the time-out for its head. */
const BODY_TIMEOUT_RATIO = 10;
/** The reply to a request that may have run when a stop breaks it off. */
const BROKEN_OFF = { kind: 'lost', why: STOP_REFUSAL.why, isTimeout: false } as const;

/** HTTP server for callers: reads requests completely and writes the replies. */
export class CallerServer {
  readonly server: Server;

  /** Requests whose head has been read and whose response is not closed. */
  private readonly open = new Set<CallerExchange>();

  /** Whether a stop has broken off what was in flight. */
  private isOver = false;

  /** When the head of the last request arrived; -Infinity before the first. */
  lastRequestAt: Instant = Number.NEGATIVE_INFINITY;

  private readonly replies: ReplyWriter;

  private readonly connections = new WeakMap<Socket, CallerConnection>();

  constructor(
    private readonly context: GatewayContext,
    private readonly service: CallerService,
  ) {
    this.replies = new ReplyWriter(context, service);
    this.server = createRequestServer(
      service.resources,
      { place: 'caller-server request', maxOpenCount: MAX_OPEN_COUNT },
      (req, res) => this.onRequest(req, res),
    );
    this.server.on(
      'clientError',
      guarded(
        'caller-server clientError',
        (err: NodeJS.ErrnoException, socket: Socket) => {
          inputOf(socket)?.dropPending();
          onClientError(this.context.telemetry, this.connectionOf(socket), err, socket);
        },
        (_, socket) => socket.destroy(),
      ),
    );
    this.applyLimits();
  }

  /** Number of requests whose head has been read and whose response is not closed. */
  get inFlight(): number {
    return this.open.size;
  }

  /** Answers all requests in flight, and all that are read from now on, as a stop breaks them off. */
  breakOff(): void {
    this.isOver = true;
    [...this.open].forEach((exchange) => exchange.breakOff());
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
    const connection = this.connectionOf(req.socket);
    const exchange = this.exchangeOf(connection, req, res);
    if (!connection.add(exchange)) return;
    this.open.add(exchange);
    exchange.onEnd(() => this.open.delete(exchange));
    this.read(connection, exchange);
    if (this.isOver) exchange.breakOff();
  }

  private exchangeOf(
    connection: CallerConnection,
    req: IncomingMessage,
    res: ServerResponse,
  ): CallerExchange {
    const { memory } = this.service.resources;
    const headBytes = memory.heapBytes(requestCostOf(req.rawHeaders));
    const holding = memory.open(connection.peer, () => {
      const { openCount: open } = connection;
      this.context.telemetry.event('caller-disconnected', { why: 'memory', open });
      connection.disconnect();
    });
    return new CallerExchange(req, res, holding, headBytes);
  }

  private connectionOf(socket: Socket): CallerConnection {
    const known = this.connections.get(socket);
    if (known) return known;
    const connection = new CallerConnection(socket, this.context.clock, (left) =>
      this.onLeave(left),
    );
    this.connections.set(socket, connection);
    return connection;
  }

  /** Logs that a caller has left while requests of it are unanswered. */
  private onLeave({ openCount, waitingCount, lastReadAt }: CallerConnection): void {
    if (openCount === 0) return;
    this.context.telemetry.count('caller_departures');
    this.context.telemetry.event('caller-left', {
      open: openCount,
      waiting: waitingCount,
      readMs: Math.round(this.context.clock.now() - lastReadAt),
    });
  }

  /** Reads a request's body, has the request served and writes the reply. */
  private read(connection: CallerConnection, exchange: CallerExchange): void {
    const { req } = exchange;
    const { arrivals } = this.service;
    const { clock, headerConventions } = this.context;
    const readAt = clock.now();
    const arrivedAt = Math.min(
      arrivals.arrivalAt(req.socket),
      inputOf(req.socket)?.readAt ?? Number.POSITIVE_INFINITY,
    );
    const timeout = this.service.timeoutOf?.(req) ?? Number.POSITIVE_INFINITY;
    const reader = new BodyReader(req, {
      holding: exchange.holding,
      headBytes: exchange.headBytes,
      clock,
      maxBytes: (this.service.limits() ?? INITIAL_LIMITS).maxBodyBytes,
      answerBy: Math.min(deadlineOf(req, headerConventions, arrivedAt), arrivedAt + timeout),
      onWhole: (body) => {
        const relayTerms = this.service.relayTerms?.(req);
        const { ended: signal } = exchange;
        const { peer: caller } = connection;
        const read = { body, arrivedAt, readAt, relayTerms, signal, caller };
        const request = decodeRequest(req, headerConventions, read);
        exchange.forgetHead();
        this.serveInTurn(connection, exchange, request, () => reader.release());
      },
      onUnread: (why) => {
        reader.release();
        this.refuseUnread(connection, exchange, why);
      },
    });
    exchange.onEnd(() => reader.release());
    exchange.onBreakOff(() => reader.giveUp('stopping'));
    reader.start();
  }

  /** Has a request served once the requests read before it are. */
  private serveInTurn(
    connection: CallerConnection,
    exchange: CallerExchange,
    request: CallerRequest,
    release: () => void,
  ): void {
    exchange.onBreakOff(() => this.breakOffRequest(connection, exchange, request, STOP_REFUSAL));
    const { id } = request;
    // Not held by a turn that comes after the end of the exchange.
    let waiting: CallerRequest | undefined = request;
    exchange.onEnd(() => {
      waiting = undefined;
    });
    const input = inputOf(exchange.req.socket);
    input?.onQueued();
    this.service.resources.turns.add(() => {
      input?.onServed();
      const served = waiting;
      if (!served) {
        this.logUndelivered(connection, id, { kind: 'nobody' });
        return false;
      }
      connection.serve(exchange, () => {
        detached('caller-server', this.serve(connection, exchange, served, release));
      });
      return true;
    });
  }

  /** Answers a request whose body is not read to its end; the connection closes after it. */
  private refuseUnread(
    connection: CallerConnection,
    exchange: CallerExchange,
    { kind, received, declared }: UnreadBody,
  ): void {
    const { req, res } = exchange;
    const request = String(req.headers[this.context.headerConventions.requestId] ?? '');
    this.context.telemetry.count('bodies_unread', { why: kind });
    this.context.telemetry.event('body-unread', { request, why: kind, received, declared });
    exchange.forgetHead();
    connection.closeAfter(exchange);
    connection.respond(exchange, () => {
      writeUnread(res, kind);
    });
  }

  /** Answers a request that is broken off by a stop. */
  private breakOffRequest(
    connection: CallerConnection,
    exchange: CallerExchange,
    request: CallerRequest,
    reply: typeof BROKEN_OFF | typeof STOP_REFUSAL,
  ): void {
    const { clock, telemetry } = this.context;
    const { kind: outcome, why } = reply;
    const tookMs = Math.round(clock.now() - request.arrivedAt);
    telemetry.count('requests_broken_off', { outcome });
    telemetry.event('request-broken-off', { request: request.id, outcome, why, tookMs });
    this.replies.write(connection, exchange, request, reply);
  }

  /** Has a request served and writes the reply; `release` frees the memory of its body. */
  private async serve(
    connection: CallerConnection,
    exchange: CallerExchange,
    request: CallerRequest,
    release: () => void,
  ): Promise<void> {
    exchange.onBreakOff(() => this.breakOffRequest(connection, exchange, request, BROKEN_OFF));
    try {
      const reply = await this.service.serve(request);
      release();
      this.logUndelivered(connection, request.id, reply);
      exchange.onEnd(() => discardAnswer(reply));
      if (exchange.ended.aborted) return;
      this.replies.write(connection, exchange, request, reply);
    } catch (err) {
      this.replies.writeFailure(connection, exchange, request, err);
    }
  }

  /** Logs that a request has ended after its caller left. */
  private logUndelivered({ leftAt }: CallerConnection, id: string, reply: CallerReply): void {
    if (leftAt === undefined) return;
    this.context.telemetry.event('undelivered', {
      request: id,
      outcome: reply.kind,
      leftMs: Math.round(this.context.clock.now() - leftAt),
    });
  }
}
