import type { ServerResponse } from 'node:http';

import type { CallerConnection, CallerExchange } from './caller-connection';
import type { GatewayContext } from '../context';
import type { HostMemory } from '../memory';
import type { CallerRequest } from '../request/caller-request';
import { UNFRAMED } from '../sending/forwarding';
import { currentReply, writeError, writeReply, type CallerReply } from './replies';

const BAD_GATEWAY = 502;

const isUnframed = (reply: CallerReply): boolean =>
  reply.kind === 'answer' && reply.head.endsWithConnection;

/** Functions of the gateway that the writing of replies calls. */
export interface ReplyService {
  isStopping(): boolean;
  /** Counts what is buffered for callers, of all servers of this gateway. */
  readonly memory: HostMemory;
  /** Sets headers of this gateway's own on a response before the reply is written. */
  setHeaders?(res: ServerResponse, reply: CallerReply): void;
}

/** Counts an answer that is complete in memory for its caller, until that has taken it. */
const countAnswer = ({ holding, headBytes }: CallerExchange, reply: CallerReply): void => {
  if (reply.kind !== 'answer' || reply.body.kind !== 'whole') return;
  reply.body.holding?.close();
  holding.resize(headBytes + reply.body.bytes.length);
};

/** Writes the replies to requests in the order of their connection. */
export class ReplyWriter {
  constructor(
    private readonly context: Pick<GatewayContext, 'telemetry'>,
    private readonly service: ReplyService,
  ) {}

  /** Writes a reply once those of earlier requests are written. */
  write(
    connection: CallerConnection,
    exchange: CallerExchange,
    request: CallerRequest,
    reply: CallerReply,
  ): void {
    countAnswer(exchange, reply);
    const { res } = exchange;
    connection.respond(exchange, () => {
      // A reply that has waited is written when the one before it ends.
      try {
        const current = this.deliverable(connection, exchange, request, currentReply(reply));
        this.service.setHeaders?.(res, current);
        writeReply(res, current, this.closesAfter(connection, exchange, current));
      } catch (err) {
        this.writeInternalError(request, res, err);
      }
    });
  }

  /**
   * Returns a reply, or that it is lost if it is an answer that ends with its connection while
   * requests behind it may have run: one of them goes without its answer, in place of all others.
   */
  private deliverable(
    connection: CallerConnection,
    exchange: CallerExchange,
    request: CallerRequest,
    reply: CallerReply,
  ): CallerReply {
    if (!isUnframed(reply) || !connection.hasServedBehind(exchange)) return reply;
    this.context.telemetry.count('answers_given_up', { why: UNFRAMED });
    this.context.telemetry.event('answer-given-up', { request: request.id, why: UNFRAMED });
    return { kind: 'lost', why: UNFRAMED, isTimeout: false };
  }

  /** Fails a request by an exception of this gateway. */
  writeFailure(
    connection: CallerConnection,
    exchange: CallerExchange,
    request: CallerRequest,
    err: unknown,
  ): void {
    connection.respond(exchange, () => this.writeInternalError(request, exchange.res, err));
  }

  /** Logs an exception of this gateway, and fails the request alone. */
  private writeInternalError({ id }: CallerRequest, res: ServerResponse, err: unknown): void {
    this.context.telemetry.event('request-broke', {
      request: id,
      error: err instanceof Error ? (err.stack ?? err.message) : String(err),
    });
    if (!res.headersSent) writeError(res, BAD_GATEWAY, 'internal');
    else res.destroy();
  }

  /**
   * Returns whether the connection closes after a response, and takes no more requests if so. A
   * stopping gateway first answers what it has read.
   */
  private closesAfter(
    connection: CallerConnection,
    exchange: CallerExchange,
    reply: CallerReply,
  ): boolean {
    if (isUnframed(reply) || reply.kind === 'nobody') connection.closeAfter(exchange);
    const closes =
      (this.service.isStopping() || connection.isClosing) && connection.isLast(exchange);
    if (closes) connection.close();
    return closes;
  }
}
