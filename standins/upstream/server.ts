/** An upstream: runs requests in a few slots, sheds what is beyond them, and fails on command. */
import { createHash } from 'node:crypto';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';

import { type RandomSource, seededRandom } from '../random-source';
import { closeServer, guarded, listen, readBody, sendJson, sleep, type StandIn } from '../server';

import { bundleAnswer, bundleStream } from './bundle';
import { Faults, type ShedCause, type UpstreamControl } from './faults';
import { Runs } from './runs';

export interface UpstreamOptions {
  readonly port: number;
  readonly id: string;
  readonly service: string;
  readonly slots: number;
  readonly connections: number;
  /** Mean time that work takes. */
  readonly latencyMs: number;
  /** Time to answer a health or load probe. */
  readonly probeLatencyMs?: number;
  readonly seed?: number;
}

/** The body of an answer: what was run, and where. */
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
/** Work takes 0.5 to 1.5 times the mean. */
const JITTER_BASE = 0.5;
const NEVER_MS = 2 ** 31 - 1;

const header = (req: IncomingMessage, name: string): string | undefined => {
  const value = req.headers[name];
  return Array.isArray(value) ? value[0] : value;
};

/** Waits, or until the caller hangs up. Returns whether the caller is still there. */
const workFor = (millis: number, res: ServerResponse): Promise<boolean> =>
  new Promise((resolve) => {
    if (res.destroyed) {
      resolve(false);
      return;
    }
    const timer = setTimeout(() => resolve(true), Math.min(millis, NEVER_MS));
    res.once('close', () => {
      clearTimeout(timer);
      resolve(false);
    });
  });

class UpstreamServer {
  private readonly faults = new Faults();

  private readonly runs = new Runs();

  private readonly chance: RandomSource;

  private inFlight = 0;

  private loadSample = { at: 0, inFlight: 0 };

  private previous: WorkAnswer | undefined;

  constructor(private readonly options: UpstreamOptions) {
    this.chance = seededRandom(options.seed ?? 1);
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
        return this.health(res);
      case '/_load':
        return this.load(res);
      default:
        return this.serve(req, res, url);
    }
  }

  private async health(res: ServerResponse): Promise<void> {
    await this.probeDelay();
    const status = this.faults.health(Date.now());
    sendJson(res, status === 'ok' ? 200 : 503, { status, upstream: this.options.id });
  }

  private async load(res: ServerResponse): Promise<void> {
    await this.probeDelay();
    const now = Date.now();
    const { misleadingHealth, loadLagMs } = this.faults.control;
    if (now - this.loadSample.at >= loadLagMs)
      this.loadSample = { at: now, inFlight: this.inFlight };
    const inFlight = misleadingHealth === false ? this.loadSample.inFlight : 0;
    sendJson(res, 200, { inFlight, slots: this.options.slots });
  }

  private async probeDelay(): Promise<void> {
    await sleep(this.faults.pauseLeft(Date.now()));
    await sleep(this.options.probeLatencyMs ?? DEFAULT_PROBE_LATENCY_MS);
  }

  private headersFor(requestId: string | undefined): Record<string, string> {
    return {
      'redwing-load': `${this.inFlight}/${this.options.slots}`,
      ...(requestId === undefined ? {} : { 'redwing-request-id': requestId }),
    };
  }

  private shedCause(): ShedCause | undefined {
    const closed = this.faults.closedBy(Date.now());
    if (closed) return closed;
    if (this.inFlight >= this.options.slots) return 'busy';
    return this.chance.hit(this.faults.control.shedRatio) ? 'busy' : undefined;
  }

  private async serve(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    this.runs.arrived();
    await sleep(this.faults.pauseLeft(Date.now()));
    const requestId = header(req, 'redwing-request-id');
    const cause = this.shedCause();
    if (cause) {
      sendJson(
        res,
        503,
        { shed: cause },
        { ...this.headersFor(requestId), 'redwing-not-started': cause },
      );
      return;
    }
    this.inFlight += 1;
    res.once('close', () => {
      this.inFlight -= 1;
    });
    await this.work(req, res, url);
  }

  private async work(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    const reset = this.chance.hit(this.faults.control.resetRatio);
    const resetEarly = reset && this.chance.hit(0.5);
    const body = await readBody(req);
    if (resetEarly) {
      res.destroy();
      return;
    }
    const requestId = header(req, 'redwing-request-id');
    this.runs.started(header(req, 'idempotency-key'), requestId);
    const allowed = Number(header(req, 'redwing-timeout-ms') ?? NEVER_MS);
    const needed = this.workTime();
    if (!(await workFor(Math.min(needed, allowed), res))) return;
    if (reset) {
      res.destroy();
      return;
    }
    if (needed > allowed) {
      sendJson(res, 504, { error: 'timeout' }, this.headersFor(requestId));
      return;
    }
    await sleep(this.faults.pauseLeft(Date.now()));
    this.answer(req, res, url, body);
  }

  /** Drawn for one request. */
  private workTime(): number {
    const { hang, slowFactor } = this.faults.control;
    if (hang) return NEVER_MS;
    return this.options.latencyMs * slowFactor * (JITTER_BASE + this.chance.next());
  }

  private answer(req: IncomingMessage, res: ServerResponse, url: URL, body: Buffer): void {
    const requestId = header(req, 'redwing-request-id');
    const bundleSize = BUNDLE_PATH.exec(url.pathname)?.[1];
    if (this.chance.hit(this.faults.errorRatio(Date.now()))) {
      sendJson(
        res,
        500,
        { error: 'failed', upstream: this.options.id },
        this.headersFor(requestId),
      );
      return;
    }
    if (bundleSize !== undefined) {
      this.sendBundle(req, res, Number(bundleSize));
      return;
    }
    const own: WorkAnswer = {
      upstream: this.options.id,
      service: this.options.service,
      method: req.method ?? '',
      path: req.url ?? '',
      requestId,
      bodyHash: createHash('sha256').update(body).digest('hex'),
    };
    const wrong = this.chance.hit(this.faults.wrongRatio);
    const sent = wrong ? (this.previous ?? { ...own, path: '/', requestId: 'none' }) : own;
    this.previous = own;
    const headers = this.headersFor(wrong ? (sent.requestId ?? 'none') : requestId);
    const cut = this.chance.hit(this.faults.control.truncateRatio);
    if (!cut) return sendJson(res, 200, sent, headers);
    const bytes = Buffer.from(JSON.stringify(sent));
    res.writeHead(200, {
      'content-type': 'application/json',
      'content-length': bytes.length,
      ...headers,
    });
    this.cutOff(res, bytes.subarray(0, bytes.length / 2));
  }

  private sendBundle(req: IncomingMessage, res: ServerResponse, bytes: number): void {
    const { status, headers, start, end } = bundleAnswer(req, bytes);
    const cut = this.chance.hit(this.faults.control.truncateRatio);
    const sentEnd = cut ? start + Math.floor((end - start) / 2) : end;
    const wrong = this.chance.hit(this.faults.wrongRatio);
    const requestId = wrong ? 'none' : header(req, 'redwing-request-id');
    res.writeHead(status, { ...headers, ...this.headersFor(requestId) });
    const stream = bundleStream(start, sentEnd);
    res.once('close', () => stream.destroy());
    if (cut) stream.once('end', () => this.cutOff(res, Buffer.alloc(0)));
    stream.pipe(res, { end: !cut });
  }

  /** Flushes these last bytes, then breaks the connection. */
  // eslint-disable-next-line class-methods-use-this
  private cutOff(res: ServerResponse, bytes: Buffer): void {
    res.write(bytes, () => res.destroy());
  }
}

export const startUpstream = async (options: UpstreamOptions): Promise<StandIn> => {
  const upstream = new UpstreamServer(options);
  const server = createServer(guarded((req, res, url) => upstream.handle(req, res, url)));
  server.maxConnections = options.connections;
  server.keepAliveTimeout = 60_000;
  return { port: await listen(server, options.port), close: () => closeServer(server) };
};
