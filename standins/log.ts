/** The platform's append-only log: streams with offsets, in memory. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';

import { seededRandom } from './random-source';
import { closeServer, guarded, listen, readBody, sendJson, sleep, type StandIn } from './server';

/** Faults, as set by `POST /_control`; a field that is left out stays as it is. */
export interface LogControl {
  /** Every append and read is answered 503, without effect. */
  readonly outage: boolean;
  /** Added before an append takes effect and before a read answers. */
  readonly delayMs: number;
  /** Share of appends that take effect and get no answer. */
  readonly loseAnswers: number;
  /** Records that a stream keeps. */
  readonly retentionRecords: number;
  /** Appends beyond this rate wait their turn. */
  readonly appendsPerSecond: number;
}

export interface LogOptions extends Partial<LogControl> {
  readonly port: number;
  readonly seed?: number;
}

/** What `GET /_stats` answers. */
export interface LogStats {
  readonly appends: Readonly<Record<string, number>>;
}

interface Stream {
  first: number;
  values: unknown[];
  waiting: Set<() => void>;
}

const MILLIS_PER_SECOND = 1000;
const MAX_BATCH_RECORDS = 1000;
const STREAM_PATH = /^\/streams\/([^/]+)$/;

const HEALTHY: LogControl = {
  outage: false,
  delayMs: 0,
  loseAnswers: 0,
  retentionRecords: Number.MAX_SAFE_INTEGER,
  appendsPerSecond: Number.MAX_SAFE_INTEGER,
};

class LogState {
  private readonly streams = new Map<string, Stream>();

  private nextAppendAt = 0;

  control: LogControl;

  constructor(control: Partial<LogControl>) {
    this.control = { ...HEALTHY, ...control };
  }

  stream(name: string): Stream {
    const known = this.streams.get(name);
    if (known) return known;
    const fresh: Stream = { first: 0, values: [], waiting: new Set() };
    this.streams.set(name, fresh);
    return fresh;
  }

  /** How long the next append waits for its turn at the allowed rate. */
  turn(now: number): number {
    const at = Math.max(now, this.nextAppendAt);
    this.nextAppendAt = at + MILLIS_PER_SECOND / this.control.appendsPerSecond;
    return at - now;
  }

  append(name: string, value: unknown): number {
    const stream = this.stream(name);
    const offset = stream.first + stream.values.length;
    stream.values.push(value);
    const excess = stream.values.length - this.control.retentionRecords;
    if (excess > 0) {
      stream.values.splice(0, excess);
      stream.first += excess;
    }
    const { waiting } = stream;
    stream.waiting = new Set();
    waiting.forEach((wake) => wake());
    return offset;
  }

  stats(): LogStats {
    const counts = [...this.streams].map(
      ([name, { first, values }]) => [name, first + values.length] as const,
    );
    return { appends: Object.fromEntries(counts) };
  }
}

const nextRecord = (stream: Stream, res: ServerResponse, waitMs: number): Promise<void> =>
  new Promise((resolve) => {
    const done = (): void => {
      stream.waiting.delete(done);
      resolve();
    };
    const timer = setTimeout(done, waitMs);
    stream.waiting.add(done);
    res.once('close', () => {
      clearTimeout(timer);
      done();
    });
  });

const read = async (state: LogState, name: string, res: ServerResponse, url: URL) => {
  const from = Number(url.searchParams.get('from') ?? 0);
  const waitMs = Number(url.searchParams.get('waitMs') ?? 0);
  if (!Number.isSafeInteger(from) || from < 0 || !(waitMs >= 0)) throw new RangeError('from');
  const stream = state.stream(name);
  const next = (): number => stream.first + stream.values.length;
  if (from >= next() && waitMs > 0) await nextRecord(stream, res, waitMs);
  await sleep(state.control.delayMs);
  if (state.control.outage) return sendJson(res, 503, { error: 'outage' });
  if (from < stream.first) return sendJson(res, 410, { first: stream.first });
  const start = from - stream.first;
  const records = stream.values
    .slice(start, start + MAX_BATCH_RECORDS)
    .map((value, index) => ({ offset: from + index, value }));
  sendJson(res, 200, { records, first: stream.first, next: next() });
};

export const startLog = async (options: LogOptions): Promise<StandIn> => {
  const { port, seed = 1, ...control } = options;
  const state = new LogState(control);
  const chance = seededRandom(seed);

  const append = async (name: string, req: IncomingMessage, res: ServerResponse) => {
    const { value } = JSON.parse(String(await readBody(req))) as { value: unknown };
    if (value === undefined) throw new TypeError('value');
    await sleep(state.turn(Date.now()) + state.control.delayMs);
    if (state.control.outage) return sendJson(res, 503, { error: 'outage' });
    const offset = state.append(name, value);
    if (chance.hit(state.control.loseAnswers)) {
      res.destroy();
      return;
    }
    sendJson(res, 200, { offset });
  };

  const server = createServer(
    guarded(async (req, res, url) => {
      if (url.pathname === '/_control') {
        const change = JSON.parse(String(await readBody(req))) as Partial<LogControl>;
        state.control = { ...state.control, ...change };
        return sendJson(res, 200, state.control);
      }
      if (url.pathname === '/_stats') return sendJson(res, 200, state.stats());
      const name = STREAM_PATH.exec(url.pathname)?.[1];
      if (name === undefined) return sendJson(res, 404, { error: 'not found' });
      if (state.control.outage) return sendJson(res, 503, { error: 'outage' });
      if (req.method === 'POST') return append(name, req, res);
      return read(state, name, res, url);
    }),
  );
  return { port: await listen(server, port), close: () => closeServer(server) };
};
