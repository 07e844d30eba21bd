import type { ServerResponse } from 'node:http';

import { guarded } from '../../adapters/guarded';
import { MILLIS_PER_SECOND, type Millis } from '../../model';

import type { AnswerHead } from '../sending/answer-parser';
import type { GatewayReply } from '../sending/gateway-reply';
import { endToEndHeaders } from '../request/headers';

/** How a request is answered; `no-route` if no route matches, `unauthorized` if its key is unknown. */
export type CallerReply = GatewayReply | { readonly kind: 'no-route' | 'unauthorized' };

const SERVICE_UNAVAILABLE = 503;
const BAD_GATEWAY = 502;
const GATEWAY_TIMEOUT = 504;
const NOT_FOUND = 404;
const UNAUTHORIZED = 401;
const TOO_MANY_REQUESTS = 429;
/** Number of decimals of the seconds in Retry-After. */
const RETRY_DECIMALS = 2;
/** Statuses whose answers have no body. */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Writes an error of the gateway itself; `why` is a fixed word for the JSON field `error`. */
export const writeError = (res: ServerResponse, status: number, why: string): void => {
  const body = JSON.stringify({ error: why });
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  res.end(body);
};

/** Writes a status which means that the request has not run, with Retry-After in seconds. */
export const writeRefusal = (
  res: ServerResponse,
  why: string,
  retryAfter: Millis,
  status = SERVICE_UNAVAILABLE,
): void => {
  res.setHeader('retry-after', (retryAfter / MILLIS_PER_SECOND).toFixed(RETRY_DECIMALS));
  writeError(res, status, why);
};

/**
 * Ends a response before its body is complete. One whose body ends with the connection is reset, as
 * an orderly close would complete it.
 */
const breakOff = (res: ServerResponse, head: AnswerHead): void => {
  if (head.length === undefined && !res.chunkedEncoding) res.socket?.resetAndDestroy();
  res.destroy();
};

/** Writes the answer of an upstream, with the end-to-end headers and a framing of its own. */
const writeAnswer = (
  res: ServerResponse,
  { head, body }: Extract<GatewayReply, { kind: 'answer' }>,
  closes: boolean,
): void => {
  const headers = endToEndHeaders(head.rawHeaders);
  if (closes || head.endsWithConnection) headers.push('connection', 'close');
  // A body that may be truncated must not look complete: it gets no length and the connection closes.
  if (head.endsWithConnection) res.removeHeader('transfer-encoding');
  switch (body.kind) {
    case 'whole':
      if (
        !BODYLESS_STATUSES.has(head.status) &&
        res.req.method !== 'HEAD' &&
        !head.endsWithConnection
      ) {
        headers.push('content-length', String(body.bytes.length));
      }
      res.writeHead(head.status, headers);
      res.end(body.bytes);
      return;
    case 'stream':
      if (head.length !== undefined) headers.push('content-length', String(head.length));
      res.writeHead(head.status, headers);
      body.stream.on(
        'error',
        guarded('replies error', () => breakOff(res, head)),
      );
      body.stream.pipe(res);
  }
};

/**
 * Returns the reply as it can be written now: an answer whose stream has broken off while it waited
 * for its turn is lost.
 */
export const currentReply = (reply: CallerReply): CallerReply => {
  if (reply.kind !== 'answer' || reply.body.kind === 'whole') return reply;
  const { stream } = reply.body;
  if (!stream.destroyed) return reply;
  const why = stream.errored?.message ?? 'closed';
  return { kind: 'lost', why, isTimeout: why === 'timeout' };
};

/** Writes a reply; `closes` asks the caller to close the connection after it. */
export const writeReply = (res: ServerResponse, reply: CallerReply, closes: boolean): void => {
  if (res.destroyed) return;
  if (closes && reply.kind !== 'answer') res.setHeader('connection', 'close');
  switch (reply.kind) {
    case 'nobody':
      res.destroy();
      return;
    case 'no-route':
      writeError(res, NOT_FOUND, 'no-route');
      return;
    case 'unauthorized':
      writeError(res, UNAUTHORIZED, 'unknown-key');
      return;
    case 'over-quota':
      writeRefusal(res, 'over-quota', reply.retryAfter, TOO_MANY_REQUESTS);
      return;
    case 'refused':
      writeRefusal(res, reply.why, reply.retryAfter);
      return;
    case 'lost':
      writeError(res, reply.isTimeout ? GATEWAY_TIMEOUT : BAD_GATEWAY, reply.why);
      return;
    case 'answer':
      writeAnswer(res, reply, closes);
  }
};
