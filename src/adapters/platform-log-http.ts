import { Agent } from 'node:http';
import { Left, Right, type Either } from 'purify-ts';

import { isArrayOf, isCount, isObject, type Instant, type Millis } from '../model';
import type { Clock, LogBatch, LogError, LogRecord, Offset, PlatformLog } from '../ports';

import { exchangeJson, type ExchangeError, type JsonAnswer } from './json-http';

const MAX_SOCKETS = 8;
const OK = 200;
const GONE = 410;
const BAD_REQUEST = 400;
const SERVER_ERROR = 500;

/** Where the log is, and how long an answer may take beyond the wait that is asked for. */
export interface PlatformLogOptions {
  readonly url: string;
  readonly timeout: Millis;
  readonly clock: Clock;
}

const isRecord = (value: unknown): value is LogRecord => isObject(value) && isCount(value.offset);

const batchOf = ({ status, body }: JsonAnswer): Either<LogError, LogBatch> => {
  if (status === GONE && isObject(body) && isCount(body.first)) {
    return Left({ kind: 'log-trimmed', first: body.first });
  }
  if (status !== OK) return Left({ kind: 'log-unavailable' });
  if (!isObject(body) || !isCount(body.first) || !isCount(body.next)) {
    return Left({ kind: 'log-malformed' });
  }
  if (!isArrayOf(body.records, isRecord)) return Left({ kind: 'log-malformed' });
  return Right({ records: body.records, first: body.first, next: body.next });
};

/** A refusal by status says the append had no effect only where the request itself was refused. */
const offsetOf = ({ status, body }: JsonAnswer): Either<LogError, Offset> => {
  if (status === OK && isObject(body) && isCount(body.offset)) return Right(body.offset);
  if (status === OK || status >= SERVER_ERROR) return Left({ kind: 'log-unsure' });
  return Left({ kind: status >= BAD_REQUEST ? 'log-unavailable' : 'log-unsure' });
};

const readError = (err: ExchangeError): LogError => ({
  kind: err.kind === 'malformed-answer' ? 'log-malformed' : 'log-unavailable',
});

const appendError = (err: ExchangeError): LogError => ({
  kind: err.kind === 'not-sent' ? 'log-unavailable' : 'log-unsure',
});

/** The platform's log over HTTP. An append whose answer is lost is `log-unsure`, never retried. */
export class HttpPlatformLog implements PlatformLog {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: MAX_SOCKETS });

  constructor(private readonly options: PlatformLogOptions) {}

  async append(
    stream: string,
    value: unknown,
    deadline: Instant,
  ): Promise<Either<LogError, Offset>> {
    const answer = await exchangeJson({
      url: this.urlOf(stream),
      method: 'POST',
      body: { value },
      timeout: Math.max(1, deadline - this.options.clock.now()),
      agent: this.agent,
    });
    return answer.mapLeft(appendError).chain(offsetOf);
  }

  async read(stream: string, from: Offset, deadline: Instant): Promise<Either<LogError, LogBatch>> {
    const wait = Math.max(0, Math.round(deadline - this.options.clock.now()));
    const answer = await exchangeJson({
      url: `${this.urlOf(stream)}?from=${from}&waitMs=${wait}`,
      method: 'GET',
      timeout: wait + this.options.timeout,
      agent: this.agent,
    });
    return answer.mapLeft(readError).chain(batchOf);
  }

  /** Ends the idle connections. */
  close(): void {
    this.agent.destroy();
  }

  private urlOf(stream: string): string {
    return `${this.options.url}/streams/${encodeURIComponent(stream)}`;
  }
}
