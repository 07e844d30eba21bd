/** Sends attempts and probes to upstreams over HTTP/1.1. */
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

import {
  createDigestCheck,
  hasFinalStatus,
  isForAnotherRequest,
  isFramed,
  sha256DigestOf,
} from './answer-check';
import { forwardedHeaders, HEADER, toRawHeaders } from './headers';

/** Time in milliseconds after which an unused connection is closed. */
const IDLE_CONNECTION_TIMEOUT_MS = 4000;
const MAX_IDLE_CONNECTIONS_PER_UPSTREAM = 8;
/** The status with which an upstream refuses a request that it did not start. */
const SHED_STATUS = 503;
/** The lowest status that counts as a failure of the upstream. */
const MIN_ERROR_STATUS = 500;
const HEALTH_PATH = '/_health';

/** The reason why this node ended an attempt: its deadline, or an abort by the caller. */
type AbandonReason = 'timeout' | 'cancelled';

/** The state of an attempt in progress. */
class AttemptProgress {
  /** Whether a connection was established, after which bytes may have reached the upstream. */
  connected = false;

  private firstAbandonReason: AbandonReason | undefined;

  constructor(
    readonly call: Call,
    readonly startedAt: Instant,
  ) {}

  /** The reason why this node ended the attempt; undefined if it did not. */
  get abandonReason(): AbandonReason | undefined {
    return this.firstAbandonReason;
  }

  /** Records that this node ends the attempt. Only the first reason is kept. */
  abandon(reason: AbandonReason): void {
    this.firstAbandonReason ??= reason;
  }
}

/** Returns the reason why the upstream did not start the request; undefined if it may have run. */
const shedCause = (res: IncomingMessage): 'busy' | 'draining' | 'cold' | undefined => {
  const header = res.headers[HEADER.notStarted];
  if (res.statusCode !== SHED_STATUS || header === undefined) return undefined;
  return header === 'draining' || header === 'cold' ? header : 'busy';
};

/** Returns the request's headers as a flat list of names and values. */
const requestHeaders = (
  upstream: Upstream,
  call: Call,
  payload: Payload,
  timeoutMs: number,
): string[] => {
  const length = payload.kind === 'whole' ? payload.bytes.length : undefined;
  const forwarded = call.headers.filter(
    ([name]) => length === undefined || name !== 'content-length',
  );
  const own: [string, string][] = [
    ['host', `${upstream.address}:${upstream.port}`],
    [HEADER.requestId, call.id],
    [HEADER.timeoutMs, String(Math.max(1, Math.floor(timeoutMs)))],
  ];
  if (length !== undefined && (length > 0 || call.method !== 'GET')) {
    own.push(['content-length', String(length)]);
  }
  return toRawHeaders([...forwarded, ...own]);
};

/** Creates an UpstreamClient that keeps idle connections for reuse by idempotent calls. */
export const createUpstreamClient = (clock: Clock): UpstreamClient => {
  const agent = new http.Agent({
    keepAlive: true,
    maxFreeSockets: MAX_IDLE_CONNECTIONS_PER_UPSTREAM,
    timeout: IDLE_CONNECTION_TIMEOUT_MS,
    scheduling: 'lifo',
  });

  /** Returns the result of an attempt whose answer broke off. */
  const resultOfFault = (progress: AttemptProgress, err: unknown): AttemptResult => {
    const waited = clock.now() - progress.startedAt;
    if (progress.abandonReason) return { kind: progress.abandonReason, waited };
    return { kind: bodyFaultOf(err) === 'mismatched' ? 'mismatched' : 'truncated' };
  };

  const resultOf = (
    res: IncomingMessage,
    progress: AttemptProgress,
    err?: unknown,
  ): AttemptResult => {
    const latency = clock.now() - progress.startedAt;
    const status = res.statusCode ?? 0;
    if (err !== undefined || !res.complete) return resultOfFault(progress, err);
    if (status >= MIN_ERROR_STATUS) return { kind: 'error-status', status, latency };
    return { kind: 'ok', latency };
  };

  /**
   * Returns the answer's body as a stream that fails if it is incomplete, and the attempt's result.
   */
  const answerBody = (
    res: IncomingMessage,
    progress: AttemptProgress,
  ): { body: Readable; ended: Promise<AttemptResult> } => {
    const expected = sha256DigestOf(res);
    const body = expected === undefined ? res : createDigestCheck(expected);
    const ended = new Promise<AttemptResult>((resolve) => {
      // If the reader goes away, the upstream is not at fault.
      body.once('close', () => {
        if (!res.complete && !res.errored) progress.abandon('cancelled');
        if (body === res) resolve(resultOf(res, progress));
      });
      if (body instanceof Transform) {
        pipeline(res, body, (err) => resolve(resultOf(res, progress, err ?? undefined)));
      }
    });
    // Stream errors are reported through `ended`; without a listener they would end the process.
    body.on('error', () => {});
    return { body, ended };
  };

  const onResponse = (
    res: IncomingMessage,
    req: ClientRequest,
    progress: AttemptProgress,
  ): Attempt => {
    const cause = shedCause(res);
    if (cause) {
      res.resume();
      return { kind: 'failed', result: { kind: 'shed', cause }, ran: 'no' };
    }
    const { call } = progress;
    if (!hasFinalStatus(res) || isForAnotherRequest(res, call.id)) {
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

  /** Returns the outcome of an attempt that failed before the head of an answer. */
  const onError = (progress: AttemptProgress): Attempt => {
    const waited = clock.now() - progress.startedAt;
    const ran = progress.connected ? 'maybe' : 'no';
    if (progress.abandonReason) {
      return { kind: 'failed', result: { kind: progress.abandonReason, waited }, ran };
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
      const progress = new AttemptProgress(call, startedAt);
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
        // The upstream may close a kept-alive connection while a request is being sent on it, which
        // leaves open whether the request ran. A request that can't be repeated takes a new
        // connection, on which a failure to connect proves that it did not run.
        agent: call.idempotent ? agent : false,
      });
      const abandon = (reason: AbandonReason): void => {
        progress.abandon(reason);
        req.destroy(new BodyError(reason));
      };
      const timer = setTimeout(() => abandon('timeout'), remaining);
      const onAbort = (): void => abandon('cancelled');
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
