/** A stand-in for the platform's append-only log: streams of JSON values by offset, in memory. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';

import { seededRandom } from './random-source';
import {
  closeServer,
  asRequestListener,
  listen,
  readBody,
  sendJson,
  sleep,
  type StandIn,
} from './server';

/** Faults, set by the JSON body of `POST /_control`. A field that is left out keeps its value. */
export interface LogControl {
  /** Whether every append and read is answered 503, without effect. */
  readonly outage: boolean;
  /** Delay in milliseconds before an append takes effect and before a read is answered. */
  readonly delayMs: number;
  /** Ratio, 0 to 1, of appends that take effect and whose connection is then closed unanswered. */
  readonly loseAnswers: number;
  /** Number of records that each stream keeps; older ones are trimmed. */
  readonly retentionRecords: number;
  /** Rate limit for all streams together; appends beyond it wait. */
  readonly appendsPerSecond: number;
}

/** Initial faults and the seed of the lost answers. */
export interface LogOptions extends Partial<LogControl> {
  readonly port: number;
  readonly seed?: number;
}

/** JSON answer of `GET /_stats`. */
export interface LogStats {
  /** Number of records ever appended, by stream name. */
  readonly appends: Readonly<Record<string, number>>;
}

/** The kept records of one stream and its waiting reads. */
interface LogStream {
  /** Offset of the oldest record that is kept. */
  first: number;
  values: unknown[];
  /** Callbacks of the reads that wait for the next append. */
  wakeReaders: Set<() => void>;
}

const MS_PER_SECOND = 1000;
const MAX_BATCH_RECORDS = 1000;
const STREAM_PATH = /^\/streams\/([^/]+)$/;

const NO_FAULTS: LogControl = {
  outage: false,
  delayMs: 0,
  loseAnswers: 0,
  retentionRecords: Number.MAX_SAFE_INTEGER,
  appendsPerSecond: Number.MAX_SAFE_INTEGER,
};

/** The streams of the log and the faults in force. */
class LogState {
  private readonly streams = new Map<string, LogStream>();

  private nextAppendAt = 0;

  control: LogControl;

  constructor(control: Partial<LogControl>) {
    this.control = { ...NO_FAULTS, ...control };
  }

  /** Returns the named stream, which it creates on first use. */
  stream(name: string): LogStream {
    const known = this.streams.get(name);
    if (known) return known;
    const fresh: LogStream = { first: 0, values: [], wakeReaders: new Set() };
    this.streams.set(name, fresh);
    return fresh;
  }

  /** Reserves the next append under the rate limit. Returns its wait in milliseconds. */
  reserveAppendTurn(now: number): number {
    const at = Math.max(now, this.nextAppendAt);
    this.nextAppendAt = at + MS_PER_SECOND / this.control.appendsPerSecond;
    return at - now;
  }

  /** Appends a value, trims the stream to its retention and wakes readers. Returns the offset. */
  append(name: string, value: unknown): number {
    const stream = this.stream(name);
    const offset = stream.first + stream.values.length;
    stream.values.push(value);
    const excess = stream.values.length - this.control.retentionRecords;
    if (excess > 0) {
      stream.values.splice(0, excess);
      stream.first += excess;
    }
    const { wakeReaders } = stream;
    stream.wakeReaders = new Set();
    wakeReaders.forEach((wake) => wake());
    return offset;
  }

  stats(): LogStats {
    const counts = [...this.streams].map(
      ([name, { first, values }]) => [name, first + values.length] as const,
    );
    return { appends: Object.fromEntries(counts) };
  }
}

/** Resolves at the stream's next append, after `waitMs`, or when the connection closes. */
const waitForAppend = (stream: LogStream, res: ServerResponse, waitMs: number): Promise<void> =>
  new Promise((resolve) => {
    const done = (): void => {
      stream.wakeReaders.delete(done);
      resolve();
    };
    const timer = setTimeout(done, waitMs);
    stream.wakeReaders.add(done);
    res.once('close', () => {
      clearTimeout(timer);
      done();
    });
  });

/** Answers a long poll: the records from `from` on, or 410 when `from` has been trimmed. */
const read = async (state: LogState, name: string, res: ServerResponse, url: URL) => {
  const from = Number(url.searchParams.get('from') ?? 0);
  const waitMs = Number(url.searchParams.get('waitMs') ?? 0);
  if (!Number.isSafeInteger(from) || from < 0 || !(waitMs >= 0))
    throw new RangeError('expected from as an integer >= 0 and waitMs as a number >= 0');
  const stream = state.stream(name);
  const next = (): number => stream.first + stream.values.length;
  if (from >= next() && waitMs > 0) await waitForAppend(stream, res, waitMs);
  await sleep(state.control.delayMs);
  if (state.control.outage) return sendJson(res, 503, { error: 'outage' });
  if (from < stream.first) return sendJson(res, 410, { first: stream.first });
  const start = from - stream.first;
  const records = stream.values
    .slice(start, start + MAX_BATCH_RECORDS)
    .map((value, index) => ({ offset: from + index, value }));
  sendJson(res, 200, { records, first: stream.first, next: next() });
};

/** Starts a log on loopback; port 0 takes a free one. Rejects when the port is taken. */
export const startLog = async (options: LogOptions): Promise<StandIn> => {
  const { port, seed = 1, ...control } = options;
  const state = new LogState(control);
  const random = seededRandom(seed);

  const append = async (name: string, req: IncomingMessage, res: ServerResponse) => {
    const { value } = JSON.parse(String(await readBody(req))) as { value: unknown };
    if (value === undefined) throw new TypeError('expected a JSON object with the field value');
    await sleep(state.reserveAppendTurn(Date.now()) + state.control.delayMs);
    if (state.control.outage) return sendJson(res, 503, { error: 'outage' });
    const offset = state.append(name, value);
    if (random.nextBoolean(state.control.loseAnswers)) {
      res.destroy();
      return;
    }
    sendJson(res, 200, { offset });
  };

  const server = createServer(
    asRequestListener(async (req, res, url) => {
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
