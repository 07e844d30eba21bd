/** The callers' interface over HTTP. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { notRunOutcome, type Refusal } from '../../model';
import type { CallerService, Clock, Telemetry } from '../../ports';

import { boundedBody, isTooLarge } from './body-limit';
import { writeAnswer, writeRefusal } from './reply';
import { readCall, workspaceOf } from './request';

/** Which nodes to use for a service: `GET /-/addresses?service=NAME`. */
const ADDRESSES_PATH = '/-/addresses';
const INTERNAL_PATH = '/-/';
const KEEP_ALIVE_MS = 30_000;

/** What the callers' interface works with. */
export interface CallerContext {
  readonly service: CallerService;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  /** Drawn once for the process, so that call ids are never used again. */
  readonly idPrefix: string;
  readonly maxBodyBytes: number;
  readonly maxHeadBytes: number;
  readonly headTimeoutMs: number;
}

const refuse = (context: CallerContext, res: ServerResponse, outcome: Refusal): void => {
  context.telemetry.count('refused', { outcome: outcome.kind, reason: outcome.reason });
  writeRefusal(res, outcome);
};

const writeAddresses = (
  context: CallerContext,
  req: IncomingMessage,
  res: ServerResponse,
  url: URL,
): void => {
  const name = url.searchParams.get('service');
  if (name === null) {
    refuse(context, res, notRunOutcome('bad-request'));
    return;
  }
  const { addresses, validUntil, keyPrefix } = context.service.addresses(name, workspaceOf(req));
  const { clock } = context;
  const body = {
    addresses: addresses.map(({ address, callerPort }) => `${address}:${callerPort}`),
    validUntil: new Date(clock.wall() + validUntil - clock.now()).toISOString(),
    keyPrefix,
  };
  res.writeHead(200, { 'content-type': 'application/json' });
  res.end(`${JSON.stringify(body)}\n`);
};

/** Aborts when the caller goes away before its answer is complete. */
const callerGone = (res: ServerResponse): AbortSignal => {
  const controller = new AbortController();
  res.on('close', () => {
    if (!res.writableFinished) controller.abort();
  });
  return controller.signal;
};

const serveCall = async (
  context: CallerContext,
  req: IncomingMessage,
  res: ServerResponse,
  id: string,
): Promise<void> => {
  const { service, clock, telemetry } = context;
  const startedAt = clock.now();
  const route = service.route(req.method ?? 'GET', req.url ?? '/', workspaceOf(req)).extract();
  const read = isTooLarge(req, context.maxBodyBytes)
    ? notRunOutcome('body-too-large')
    : readCall(req, id, route, startedAt).extract();
  if ('kind' in read) {
    refuse(context, res, read);
    return;
  }
  const reply = await service.serve(read, boundedBody(req, context.maxBodyBytes), callerGone(res));
  telemetry.latency('request', clock.now() - startedAt);
  if (reply.kind === 'refused') {
    refuse(context, res, reply.outcome);
    return;
  }
  telemetry.count('served', { service: read.service });
  writeAnswer(res, reply, () => telemetry.count('answer-broken'));
};

const onClientError = (
  context: CallerContext,
  err: NodeJS.ErrnoException,
  socket: Socket,
): void => {
  context.telemetry.count('refused', { outcome: 'not-run', reason: 'bad-request' });
  if (err.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const status = { HPE_HEADER_OVERFLOW: '431', ERR_HTTP_REQUEST_TIMEOUT: '408' }[err.code ?? ''];
  socket.end(`HTTP/1.1 ${status ?? '400'} Refused\r\nConnection: close\r\n\r\n`);
};

/** The server that callers connect to. */
export const createCallerServer = (context: CallerContext): Server => {
  let calls = 0;
  const server = createServer(
    {
      maxHeaderSize: context.maxHeadBytes,
      headersTimeout: context.headTimeoutMs,
      connectionsCheckingInterval: Math.max(100, context.headTimeoutMs / 4),
      keepAliveTimeout: KEEP_ALIVE_MS,
    },
    (req, res) => {
      if (context.service.isLeaving()) res.setHeader('connection', 'close');
      const path = req.url ?? '/';
      if (path.startsWith(INTERNAL_PATH)) {
        const url = new URL(path, 'http://node');
        if (url.pathname === ADDRESSES_PATH) writeAddresses(context, req, res, url);
        else refuse(context, res, notRunOutcome('unknown-route'));
        return;
      }
      calls += 1;
      void serveCall(context, req, res, `${context.idPrefix}-${calls}`);
    },
  );
  server.on('clientError', (err, socket) => onClientError(context, err, socket as Socket));
  return server;
};
