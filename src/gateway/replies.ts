import type { ServerResponse } from 'node:http';

import { MILLIS_PER_SECOND, type Millis } from '../model';

import type { GatewayReply } from './proxied-request';
import { endToEnd } from './headers';

/** What a request comes to at the caller side. */
export type CallerReply = GatewayReply | { readonly kind: 'no-route' };

const SERVICE_UNAVAILABLE = 503;
const BAD_GATEWAY = 502;
const GATEWAY_TIMEOUT = 504;
const NOT_FOUND = 404;
const RETRY_DECIMALS = 2;
/** Statuses whose answers have no body. */
const BODYLESS: ReadonlySet<number> = new Set([204, 304]);

/** An answer of this gateway's own; `why` is a fixed word. */
export const writeError = (res: ServerResponse, status: number, why: string): void => {
  const body = JSON.stringify({ error: why });
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  res.end(body);
};

/** Says that the request has not run, and when to come back. */
export const writeRefusal = (res: ServerResponse, why: string, retryAfter: Millis): void => {
  res.setHeader('retry-after', (retryAfter / MILLIS_PER_SECOND).toFixed(RETRY_DECIMALS));
  writeError(res, SERVICE_UNAVAILABLE, why);
};

const writeAnswer = (
  res: ServerResponse,
  { head, body }: Extract<GatewayReply, { kind: 'answer' }>,
  closes: boolean,
): void => {
  const headers = endToEnd(head.rawHeaders);
  if (closes || head.endsWithConnection) headers.push('connection', 'close');
  // An end that could not be told is not vouched for by a length: it ends with the connection again.
  if (head.endsWithConnection) res.removeHeader('transfer-encoding');
  switch (body.kind) {
    case 'whole':
      if (!BODYLESS.has(head.status) && res.req.method !== 'HEAD' && !head.endsWithConnection) {
        headers.push('content-length', String(body.bytes.length));
      }
      res.writeHead(head.status, headers);
      res.end(body.bytes);
      return;
    case 'stream':
      if (head.length !== undefined) headers.push('content-length', String(head.length));
      res.writeHead(head.status, headers);
      body.stream.on('error', () => res.destroy());
      res.on('close', () => body.stream.destroy());
      body.stream.pipe(res);
  }
};

/** Writes a reply; `closes` asks the caller to use the connection no more. */
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
    case 'refused':
      writeRefusal(res, reply.why, reply.retryAfter);
      return;
    case 'lost':
      writeError(res, reply.isLate ? GATEWAY_TIMEOUT : BAD_GATEWAY, reply.why);
      return;
    case 'answer':
      writeAnswer(res, reply, closes);
  }
};
