/** Attempts and probes at upstreams over HTTP/1.1. */
import http, { type ClientRequest, type IncomingMessage } from 'node:http';
import { pipeline, Transform, type Readable } from 'node:stream';

import {
  BodyError,
  bodyFaultOf,
  type AttemptResult,
  type Call,
  type Instant,
  type Upstream,
} from '../model';
import type { Attempt, Clock, Payload, UpstreamClient } from '../ports';

import { digestCheck, digestOf, isForAnother, isFramed } from './answer-check';
import { forwardedHeaders, HEADER, toRawHeaders } from './headers';

const IDLE_CONNECTION_MS = 4000;
const IDLE_CONNECTIONS_PER_UPSTREAM = 8;
const SHED_STATUS = 503;
const FIRST_ERROR_STATUS = 500;
const HEALTH_PATH = '/_health';

/** Why this side ended an attempt. */
type GivenUp = 'timeout' | 'cancelled';

/** What is known of an attempt under way. */
class Progress {
  /** A connection was had, so that bytes may have reached the upstream. */
  connected = false;

  private why: GivenUp | undefined;

  constructor(
    readonly call: Call,
    readonly startedAt: Instant,
  ) {}

  get givenUp(): GivenUp | undefined {
    return this.why;
  }

  /** This side ends the attempt; the first reason stands. */
  giveUp(why: GivenUp): void {
    this.why ??= why;
  }
}

const shedCause = (res: IncomingMessage): 'busy' | 'draining' | 'cold' | undefined => {
  const header = res.headers[HEADER.notStarted];
  if (res.statusCode !== SHED_STATUS || header === undefined) return undefined;
  return header === 'draining' || header === 'cold' ? header : 'busy';
};

const requestHeaders = (
  upstream: Upstream,
  call: Call,
  payload: Payload,
  timeoutMs: number,
): string[] => {
  const length = payload.kind === 'whole' ? payload.bytes.length : undefined;
  const kept = call.headers.filter(([name]) => length === undefined || name !== 'content-length');
  const own: [string, string][] = [
    ['host', `${upstream.address}:${upstream.port}`],
    [HEADER.requestId, call.id],
    [HEADER.timeoutMs, String(Math.max(1, Math.floor(timeoutMs)))],
  ];
  if (length !== undefined && (length > 0 || call.method !== 'GET')) {
    own.push(['content-length', String(length)]);
  }
  return toRawHeaders([...kept, ...own]);
};

/** An UpstreamClient that keeps idle connections for reuse. */
export const createUpstreamClient = (clock: Clock): UpstreamClient => {
  const agent = new http.Agent({
    keepAlive: true,
    maxFreeSockets: IDLE_CONNECTIONS_PER_UPSTREAM,
    timeout: IDLE_CONNECTION_MS,
    scheduling: 'lifo',
  });

  const resultOfFault = (progress: Progress, err: unknown): AttemptResult => {
    const waited = clock.now() - progress.startedAt;
    if (progress.givenUp) return { kind: progress.givenUp, waited };
    return { kind: bodyFaultOf(err) === 'mismatched' ? 'mismatched' : 'truncated' };
  };

  const resultOf = (res: IncomingMessage, progress: Progress, err?: unknown): AttemptResult => {
    const latency = clock.now() - progress.startedAt;
    const status = res.statusCode ?? 0;
    if (err !== undefined || !res.complete) return resultOfFault(progress, err);
    if (status >= FIRST_ERROR_STATUS) return { kind: 'error-status', status, latency };
    return { kind: 'ok', latency };
  };

  /** The answer's body as a stream that errors unless it arrives whole. */
  const answerBody = (
    res: IncomingMessage,
    progress: Progress,
  ): { body: Readable; ended: Promise<AttemptResult> } => {
    const expected = digestOf(res);
    const body = expected === undefined ? res : digestCheck(expected);
    const ended = new Promise<AttemptResult>((resolve) => {
      // A reader that goes away says nothing of the upstream.
      body.once('close', () => {
        if (!res.complete && !res.errored) progress.giveUp('cancelled');
        if (body === res) resolve(resultOf(res, progress));
      });
      if (body instanceof Transform) {
        pipeline(res, body, (err) => resolve(resultOf(res, progress, err ?? undefined)));
      }
    });
    // A stream error is reported through `ended`; without a listener it would end the process.
    body.on('error', () => {});
    return { body, ended };
  };

  const onResponse = (res: IncomingMessage, req: ClientRequest, progress: Progress): Attempt => {
    const cause = shedCause(res);
    if (cause) {
      res.resume();
      return { kind: 'failed', result: { kind: 'shed', cause }, ran: 'no' };
    }
    const { call } = progress;
    if (isForAnother(res, call.id)) {
      req.destroy();
      return { kind: 'failed', result: { kind: 'mismatched' }, ran: 'maybe' };
    }
    if (!isFramed(res, call.method)) {
      req.destroy();
      return { kind: 'failed', result: { kind: 'truncated' }, ran: 'maybe' };
    }
    return {
      kind: 'answered',
      status: res.statusCode ?? 0,
      headers: forwardedHeaders(res),
      headLatency: clock.now() - progress.startedAt,
      ...answerBody(res, progress),
    };
  };

  const onError = (progress: Progress): Attempt => {
    const waited = clock.now() - progress.startedAt;
    const ran = progress.connected ? 'maybe' : 'no';
    if (progress.givenUp) {
      return { kind: 'failed', result: { kind: progress.givenUp, waited }, ran };
    }
    const kind = progress.connected ? 'reset' : 'connect-failed';
    return { kind: 'failed', result: { kind }, ran };
  };

  const sendBody = (req: ClientRequest, payload: Payload): void => {
    switch (payload.kind) {
      case 'whole':
        req.end(payload.bytes);
        return;
      case 'stream':
        pipeline(payload.stream, req, (err) => err && req.destroy());
    }
  };

  const attempt = (
    upstream: Upstream,
    call: Call,
    payload: Payload,
    signal: AbortSignal,
    onConnection: (state: 'connecting' | 'connected') => void = () => {},
  ): Promise<Attempt> =>
    new Promise((resolve) => {
      const startedAt = clock.now();
      const progress = new Progress(call, startedAt);
      const remaining = call.deadline - startedAt;
      if (signal.aborted || remaining <= 0) {
        const kind = signal.aborted ? 'cancelled' : 'timeout';
        resolve({ kind: 'failed', result: { kind, waited: 0 }, ran: 'no' });
        return;
      }
      const req = http.request({
        host: upstream.address,
        port: upstream.port,
        method: call.method,
        path: call.path,
        headers: requestHeaders(
          upstream,
          call,
          payload,
          remaining,
        ) as unknown as http.OutgoingHttpHeaders,
        setHost: false,
        // A kept connection may be closing as the request leaves; a request that can't be
        // repeated takes a new one, on which a failure to connect proves that it did not run.
        agent: call.idempotent ? agent : false,
      });
      const giveUp = (why: GivenUp): void => {
        progress.giveUp(why);
        req.destroy(new BodyError(why));
      };
      const timer = setTimeout(() => giveUp('timeout'), remaining);
      const onAbort = (): void => giveUp('cancelled');
      signal.addEventListener('abort', onAbort, { once: true });
      req.on('socket', (socket) => {
        progress.connected = !socket.connecting;
        if (progress.connected) return;
        onConnection('connecting');
        socket.once('connect', () => {
          progress.connected = true;
          onConnection('connected');
        });
      });
      req.on('close', () => {
        clearTimeout(timer);
        signal.removeEventListener('abort', onAbort);
      });
      req.on('error', () => resolve(onError(progress)));
      req.on('response', (res) => resolve(onResponse(res, req, progress)));
      sendBody(req, payload);
    });

  const probe = async (upstream: Upstream, deadline: Instant): Promise<AttemptResult> => {
    const call: Call = {
      id: `probe-${upstream.id}`,
      service: upstream.service,
      method: 'GET',
      path: HEALTH_PATH,
      headers: [],
      workspace: '',
      idempotent: true,
      key: { kind: 'none' },
      deadline,
    };
    const payload: Payload = { kind: 'whole', bytes: Buffer.alloc(0) };
    const answer = await attempt(upstream, call, payload, new AbortController().signal);
    if (answer.kind === 'failed') return answer.result;
    answer.body.resume();
    return answer.ended;
  };

  return { attempt, probe };
};
