import { Agent } from 'node:http';
import { Left, Right, type Either } from 'purify-ts';

import { isArrayOf, isCount, isObject, type Instant, type Millis } from '../model';
import type { Clock, LogBatch, LogError, LogRecord, Offset, PlatformLog } from '../ports';

import { exchangeJson, type ExchangeError, type JsonAnswer } from './json-http';

/** Maximum number of connections for appends. */
const MAX_APPEND_SOCKETS = 8;
const OK_STATUS = 200;
const GONE_STATUS = 410;
const MIN_CLIENT_ERROR_STATUS = 400;
const MIN_SERVER_ERROR_STATUS = 500;

/** The location of the log, and its time-out. */
export interface PlatformLogOptions {
  /** The base URL, without a slash at its end. */
  readonly url: string;
  /** Time that an answer to a read may take beyond the wait that the request asks for. */
  readonly timeout: Millis;
  readonly clock: Clock;
}

const isRecord = (value: unknown): value is LogRecord => isObject(value) && isCount(value.offset);

const batchOf = ({ status, body }: JsonAnswer): Either<LogError, LogBatch> => {
  if (status === GONE_STATUS && isObject(body) && isCount(body.first)) {
    return Left({ kind: 'log-trimmed', first: body.first });
  }
  if (status !== OK_STATUS) return Left({ kind: 'log-unavailable' });
  if (!isObject(body) || !isCount(body.first) || !isCount(body.next)) {
    return Left({ kind: 'log-malformed' });
  }
  if (!isArrayOf(body.records, isRecord)) return Left({ kind: 'log-malformed' });
  return Right({ records: body.records, first: body.first, next: body.next });
};

/**
 * Returns the offset of an append. Only a 4xx status proves that the append had no effect; after
 * any other status without an offset it may have taken effect, which is `log-unsure`.
 */
const offsetOf = ({ status, body }: JsonAnswer): Either<LogError, Offset> => {
  if (status === OK_STATUS && isObject(body) && isCount(body.offset)) return Right(body.offset);
  if (status === OK_STATUS || status >= MIN_SERVER_ERROR_STATUS)
    return Left({ kind: 'log-unsure' });
  return Left({ kind: status >= MIN_CLIENT_ERROR_STATUS ? 'log-unavailable' : 'log-unsure' });
};

const readError = (err: ExchangeError): LogError => ({
  kind: err.kind === 'malformed-answer' ? 'log-malformed' : 'log-unavailable',
});

const appendError = (err: ExchangeError): LogError => ({
  kind: err.kind === 'not-sent' ? 'log-unavailable' : 'log-unsure',
});

/**
 * The platform's log over HTTP. An append whose answer is lost fails as `log-unsure` and is not
 * retried.
 */
export class HttpPlatformLog implements PlatformLog {
  private readonly appendAgent = new Agent({ keepAlive: true, maxSockets: MAX_APPEND_SOCKETS });

  /**
   * Connections for reads, which wait at the log; not limited, since each stream has one read at a
   * time and a read without a connection would delay its stream.
   */
  private readonly readAgent = new Agent({ keepAlive: true });

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
      agent: this.appendAgent,
    });
    return answer.mapLeft(appendError).chain(offsetOf);
  }

  async read(stream: string, from: Offset, deadline: Instant): Promise<Either<LogError, LogBatch>> {
    const wait = Math.max(0, Math.round(deadline - this.options.clock.now()));
    const answer = await exchangeJson({
      url: `${this.urlOf(stream)}?from=${from}&waitMs=${wait}`,
      method: 'GET',
      timeout: wait + this.options.timeout,
      agent: this.readAgent,
    });
    return answer.mapLeft(readError).chain(batchOf);
  }

  /** Closes the connections. */
  close(): void {
    this.appendAgent.destroy();
    this.readAgent.destroy();
  }

  private urlOf(stream: string): string {
    return `${this.options.url}/streams/${encodeURIComponent(stream)}`;
  }
}
