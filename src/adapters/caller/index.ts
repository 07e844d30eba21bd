/** Serves the callers' HTTP interface. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { notRunOutcome, type Refusal } from '../../model';
import type { CallerService, Clock, Telemetry } from '../../ports';

import { limitedBody, isAnnouncedTooLarge } from './body-limit';
import { onceEnded } from './exchange-end';
import { writeAnswer, writeRefusal } from './reply';
import { readCall, workspaceOf } from './request';

/**
 * The path that tells callers which nodes to use for a service: `GET /-/addresses?service=NAME`.
 */
const ADDRESSES_PATH = '/-/addresses';
/** Requests under this prefix are answered by the node itself and never forwarded. */
const INTERNAL_PATH_PREFIX = '/-/';
/** Time in milliseconds after which a caller's idle connection is closed. */
const KEEP_ALIVE_TIMEOUT_MS = 30_000;

/** The dependencies and limits of the callers' interface. */
export interface CallerContext {
  readonly service: CallerService;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  /** The prefix of call ids, random per process, so that no id is used twice. */
  readonly idPrefix: string;
  readonly maxBodyBytes: number;
  /** The longest request line and headers, in bytes. */
  readonly maxHeadBytes: number;
  /** Time in milliseconds allowed for the headers to arrive. */
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

/** Returns a signal that aborts if the caller disconnects before its answer is complete. */
const callerAbortSignal = (res: ServerResponse): AbortSignal => {
  const controller = new AbortController();
  onceEnded(res, () => {
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
  const read = isAnnouncedTooLarge(req, context.maxBodyBytes)
    ? notRunOutcome('body-too-large')
    : readCall(req, id, route, startedAt).extract();
  if ('kind' in read) {
    refuse(context, res, read);
    return;
  }
  const reply = await service.serve(
    read,
    limitedBody(req, context.maxBodyBytes),
    callerAbortSignal(res),
  );
  telemetry.latency('request', clock.now() - startedAt);
  if (reply.kind === 'refused') {
    refuse(context, res, reply.outcome);
    return;
  }
  telemetry.count('served', { service: read.service });
  writeAnswer(res, reply, () => telemetry.count('answer-broken'));
};

/** Answers a request that Node's parser has refused. */
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

/** Creates the server that callers connect to. */
export const createCallerServer = (context: CallerContext): Server => {
  let callCount = 0;
  const server = createServer(
    {
      maxHeaderSize: context.maxHeadBytes,
      headersTimeout: context.headTimeoutMs,
      connectionsCheckingInterval: Math.max(100, context.headTimeoutMs / 4),
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    },
    (req, res) => {
      if (context.service.isLeaving()) res.setHeader('connection', 'close');
      const path = req.url ?? '/';
      if (path.startsWith(INTERNAL_PATH_PREFIX)) {
        const url = new URL(path, 'http://node');
        if (url.pathname === ADDRESSES_PATH) writeAddresses(context, req, res, url);
        else refuse(context, res, notRunOutcome('unknown-route'));
        return;
      }
      callCount += 1;
      void serveCall(context, req, res, `${context.idPrefix}-${callCount}`);
    },
  );
  server.on('clientError', (err, socket) => onClientError(context, err, socket as Socket));
  return server;
};
