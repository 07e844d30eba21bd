/**
 * An upstream that runs requests in a limited number of slots, sheds the others, and has faults to
 * switch on.
 */
import { createHash } from 'node:crypto';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';

import { type RandomSource, seededRandom } from '../random-source';
import {
  closeServer,
  asRequestListener,
  listen,
  readBody,
  sendJson,
  sleep,
  type StandIn,
} from '../server';

import { bundleAnswer, bundleStream } from './bundle';
import { Faults, type ShedCause, type UpstreamControl } from './faults';
import { RunCounter } from './run-counter';

export interface UpstreamOptions {
  readonly port: number;
  readonly id: string;
  readonly service: string;
  /** Number of requests that run at the same time. */
  readonly slots: number;
  /** Maximum number of open connections. */
  readonly connections: number;
  /** Mean time in milliseconds that a request takes. */
  readonly latencyMs: number;
  /** Time in milliseconds to answer a health or load probe. */
  readonly probeLatencyMs?: number;
  readonly seed?: number;
}

/** JSON body of an answer: the request that ran and the upstream that ran it. */
export interface WorkAnswer {
  readonly upstream: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly requestId: string | undefined;
  /** SHA-256 of the request's body, in hex. */
  readonly bodyHash: string;
}

const DEFAULT_PROBE_LATENCY_MS = 25;
const BUNDLE_PATH = /^\/(?:.*\/)?bundle\/(\d+)$/;
/** Minimum time of a request as a ratio of the mean; the maximum is 1 more. */
const MIN_WORK_TIME_RATIO = 0.5;
/** Longest delay that setTimeout takes; stands for no end. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Returns the first value of a request header. */
const header = (req: IncomingMessage, name: string): string | undefined => {
  const value = req.headers[name];
  return Array.isArray(value) ? value[0] : value;
};

/** Waits for a time or until the connection closes. Returns whether it is still open. */
const waitWhileConnected = (millis: number, res: ServerResponse): Promise<boolean> =>
  new Promise((resolve) => {
    if (res.destroyed) {
      resolve(false);
      return;
    }
    const timer = setTimeout(() => resolve(true), Math.min(millis, MAX_TIMER_MS));
    res.once('close', () => {
      clearTimeout(timer);
      resolve(false);
    });
  });

/** The requests, faults and counters of one upstream. */
class UpstreamServer {
  private readonly faults = new Faults();

  private readonly runs = new RunCounter();

  private readonly random: RandomSource;

  private inFlight = 0;

  /** The figures that the load endpoint reports until they are too old. */
  private loadSample = { at: 0, inFlight: 0 };

  /** The correct answer to the last request; sent to another one when answers are `wrong`. */
  private previousAnswer: WorkAnswer | undefined;

  constructor(private readonly options: UpstreamOptions) {
    this.random = seededRandom(options.seed ?? 1);
  }

  async handle(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    switch (url.pathname) {
      case '/_control': {
        const change = JSON.parse(String(await readBody(req))) as Partial<UpstreamControl>;
        this.faults.apply(change, Date.now());
        return sendJson(res, 200, this.faults.control);
      }
      case '/_runs':
        return sendJson(res, 200, this.runs.counts());
      case '/_health':
        return this.answerHealth(res);
      case '/_load':
        return this.answerLoad(res);
      default:
        return this.serve(req, res, url);
    }
  }

  private async answerHealth(res: ServerResponse): Promise<void> {
    await this.delayProbe();
    const status = this.faults.answerHealth(Date.now());
    sendJson(res, status === 'ok' ? 200 : 503, { status, upstream: this.options.id });
  }

  private async answerLoad(res: ServerResponse): Promise<void> {
    await this.delayProbe();
    const now = Date.now();
    const { misleadingHealth, loadLagMs } = this.faults.control;
    if (now - this.loadSample.at >= loadLagMs)
      this.loadSample = { at: now, inFlight: this.inFlight };
    const inFlight = misleadingHealth === false ? this.loadSample.inFlight : 0;
    sendJson(res, 200, { inFlight, slots: this.options.slots });
  }

  private async delayProbe(): Promise<void> {
    await sleep(this.faults.pauseLeftMs(Date.now()));
    await sleep(this.options.probeLatencyMs ?? DEFAULT_PROBE_LATENCY_MS);
  }

  private answerHeaders(requestId: string | undefined): Record<string, string> {
    return {
      'redwing-load': `${this.inFlight}/${this.options.slots}`,
      ...(requestId === undefined ? {} : { 'redwing-request-id': requestId }),
    };
  }

  private shedCause(): ShedCause | undefined {
    const cause = this.faults.stateShedCause(Date.now());
    if (cause) return cause;
    if (this.inFlight >= this.options.slots) return 'busy';
    return this.random.nextBoolean(this.faults.control.shedRatio) ? 'busy' : undefined;
  }

  private async serve(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    this.runs.countArrival();
    await sleep(this.faults.pauseLeftMs(Date.now()));
    const requestId = header(req, 'redwing-request-id');
    const cause = this.shedCause();
    if (cause) {
      sendJson(
        res,
        503,
        { shed: cause },
        { ...this.answerHeaders(requestId), 'redwing-not-started': cause },
      );
      return;
    }
    this.inFlight += 1;
    res.once('close', () => {
      this.inFlight -= 1;
    });
    await this.runRequest(req, res, url);
  }

  private async runRequest(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    const reset = this.random.nextBoolean(this.faults.control.resetRatio);
    const resetEarly = reset && this.random.nextBoolean(0.5);
    const body = await readBody(req);
    if (resetEarly) {
      res.destroy();
      return;
    }
    const requestId = header(req, 'redwing-request-id');
    this.runs.countRun(header(req, 'idempotency-key'), requestId);
    const allowedMs = Number(header(req, 'redwing-timeout-ms') ?? MAX_TIMER_MS);
    const neededMs = this.randomWorkMs();
    if (!(await waitWhileConnected(Math.min(neededMs, allowedMs), res))) return;
    if (reset) {
      res.destroy();
      return;
    }
    if (neededMs > allowedMs) {
      sendJson(res, 504, { error: 'timeout' }, this.answerHeaders(requestId));
      return;
    }
    await sleep(this.faults.pauseLeftMs(Date.now()));
    this.sendAnswer(req, res, url, body);
  }

  /** Returns the time in milliseconds that one request takes. */
  private randomWorkMs(): number {
    const { hang, slowFactor } = this.faults.control;
    if (hang) return MAX_TIMER_MS;
    return this.options.latencyMs * slowFactor * (MIN_WORK_TIME_RATIO + this.random.next());
  }

  private sendAnswer(req: IncomingMessage, res: ServerResponse, url: URL, body: Buffer): void {
    const requestId = header(req, 'redwing-request-id');
    const bundleSize = BUNDLE_PATH.exec(url.pathname)?.[1];
    if (this.random.nextBoolean(this.faults.errorRatio(Date.now()))) {
      sendJson(
        res,
        500,
        { error: 'failed', upstream: this.options.id },
        this.answerHeaders(requestId),
      );
      return;
    }
    if (bundleSize !== undefined) {
      this.sendBundle(req, res, Number(bundleSize));
      return;
    }
    const correct: WorkAnswer = {
      upstream: this.options.id,
      service: this.options.service,
      method: req.method ?? '',
      path: req.url ?? '',
      requestId,
      bodyHash: createHash('sha256').update(body).digest('hex'),
    };
    const wrong = this.random.nextBoolean(this.faults.wrongRatio);
    const sent = wrong
      ? (this.previousAnswer ?? { ...correct, path: '/', requestId: 'none' })
      : correct;
    this.previousAnswer = correct;
    const headers = this.answerHeaders(wrong ? (sent.requestId ?? 'none') : requestId);
    const cut = this.random.nextBoolean(this.faults.control.truncateRatio);
    if (!cut) return sendJson(res, 200, sent, headers);
    const bytes = Buffer.from(JSON.stringify(sent));
    res.writeHead(200, {
      'content-type': 'application/json',
      'content-length': bytes.length,
      ...headers,
    });
    this.writeAndDisconnect(res, bytes.subarray(0, bytes.length / 2));
  }

  private sendBundle(req: IncomingMessage, res: ServerResponse, bytes: number): void {
    const { status, headers, start, end } = bundleAnswer(req, bytes);
    const cut = this.random.nextBoolean(this.faults.control.truncateRatio);
    const sentEnd = cut ? start + Math.floor((end - start) / 2) : end;
    const wrong = this.random.nextBoolean(this.faults.wrongRatio);
    const requestId = wrong ? 'none' : header(req, 'redwing-request-id');
    res.writeHead(status, { ...headers, ...this.answerHeaders(requestId) });
    const stream = bundleStream(start, sentEnd);
    res.once('close', () => stream.destroy());
    if (cut) stream.once('end', () => this.writeAndDisconnect(res, Buffer.alloc(0)));
    stream.pipe(res, { end: !cut });
  }

  /** Sends the bytes and then closes the connection without ending the answer. */
  // eslint-disable-next-line class-methods-use-this
  private writeAndDisconnect(res: ServerResponse, bytes: Buffer): void {
    res.write(bytes, () => res.destroy());
  }
}

/** Starts an upstream on loopback; port 0 takes a free one. Rejects when the port is taken. */
export const startUpstream = async (options: UpstreamOptions): Promise<StandIn> => {
  const upstream = new UpstreamServer(options);
  const server = createServer(asRequestListener((req, res, url) => upstream.handle(req, res, url)));
  server.maxConnections = options.connections;
  server.keepAliveTimeout = 60_000;
  return { port: await listen(server, options.port), close: () => closeServer(server) };
};
