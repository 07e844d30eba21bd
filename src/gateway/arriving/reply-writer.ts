import type { ServerResponse } from 'node:http';

import { detached } from '../../adapters/guarded';
import { answerPassingOf, type AnswerPassing } from '../../core/gateway';

import type { CallerConnection, CallerExchange } from './caller-connection';
import type { GatewayContext } from '../context';
import { holdUntilWhole } from './held-answer';
import type { HostMemory } from '../memory';
import type { CallerRequest } from '../request/caller-request';
import { currentReply, writeError, writeReply, type CallerReply } from './replies';

const BAD_GATEWAY = 502;

/** An answer whose body is still arriving. */
type StreamedReply = Extract<CallerReply, { kind: 'answer' }> & {
  readonly body: { readonly kind: 'stream' };
};

const isStreamed = (reply: CallerReply): reply is StreamedReply =>
  reply.kind === 'answer' && reply.body.kind === 'stream';

const isUnframed = (reply: CallerReply): boolean =>
  reply.kind === 'answer' && reply.head.endsWithConnection;

const passingOf = (
  connection: CallerConnection,
  exchange: CallerExchange,
  reply: CallerReply,
): AnswerPassing => {
  if (reply.kind !== 'answer') return { kind: 'as-it-comes' };
  return answerPassingOf({
    isFramed: !isUnframed(reply),
    isWhole: !isStreamed(reply),
    size: exchange.req.method === 'HEAD' ? 0 : (reply.head.length ?? 0),
    hasServedBehind: connection.hasServedBehind(exchange),
  });
};

/** Functions of the gateway that the writing of replies calls. */
export interface ReplyService {
  isStopping(): boolean;
  /** Counts what is buffered for callers, of all servers of this gateway. */
  readonly resources: { readonly memory: HostMemory };
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

  /**
   * Writes a reply once those of earlier requests are written. An answer that may still break off
   * takes no request with it that may have run.
   */
  write(
    connection: CallerConnection,
    exchange: CallerExchange,
    request: CallerRequest,
    reply: CallerReply,
  ): void {
    countAnswer(exchange, reply);
    if (isStreamed(reply)) {
      const passing = passingOf(connection, exchange, reply);
      if (passing.kind === 'once-whole') {
        detached('reply-writer', this.writeOnceWhole(connection, exchange, request, reply));
        return;
      }
      if (!isUnframed(reply)) connection.holdBehind(exchange);
    }
    this.writeInTurn(connection, exchange, request, reply);
  }

  private writeInTurn(
    connection: CallerConnection,
    exchange: CallerExchange,
    request: CallerRequest,
    reply: CallerReply,
  ): void {
    const { res } = exchange;
    connection.respond(exchange, () => {
      // A reply that has waited is written when the one before it ends.
      try {
        const arrived = currentReply(reply);
        const passing = passingOf(connection, exchange, arrived);
        const current = passing.kind === 'given-up' ? this.givenUp(request, passing.why) : arrived;
        this.service.setHeaders?.(res, current);
        writeReply(res, current, this.closesAfter(connection, exchange, current));
      } catch (err) {
        this.writeInternalError(request, res, err);
      }
    });
  }

  /** Writes a streamed answer once it is whole, or that it is lost if it breaks off before. */
  private async writeOnceWhole(
    connection: CallerConnection,
    exchange: CallerExchange,
    request: CallerRequest,
    reply: StreamedReply,
  ): Promise<void> {
    const { stream } = reply.body;
    let body = stream;
    const holding = this.service.resources.memory.open(connection.peer, () => {
      body.destroy(new Error('memory-short'));
    });
    exchange.onEnd(() => holding.close());
    const held = await holdUntilWhole(
      stream,
      (bytes) => !exchange.isSettled && holding.claim(bytes, false),
    );
    if (exchange.isSettled) return;
    if (held.kind === 'whole') body = held.stream;
    const current: CallerReply =
      held.kind === 'whole'
        ? { ...reply, body: { kind: 'stream', stream: held.stream } }
        : this.givenUp(request, held.why);
    this.writeInTurn(connection, exchange, request, current);
  }

  /** Logs that an answer gives way to those behind it, and returns that it is lost. */
  private givenUp(request: CallerRequest, why: string): CallerReply {
    this.context.telemetry.count('answers_given_up', { why });
    this.context.telemetry.event('answer-given-up', { request: request.id, why });
    return { kind: 'lost', why, isTimeout: why === 'timeout' };
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
