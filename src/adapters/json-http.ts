import type { Agent, IncomingMessage } from 'node:http';
import { request } from 'node:http';
import { Left, Right, type Either } from 'purify-ts';

import type { Millis } from '../model';

import { HeldBytes } from './held-bytes';

/** The reason why a JSON service gave no usable answer. */
export type ExchangeError =
  /** No connection was established, so the service has received nothing. */
  | { readonly kind: 'not-sent' }
  /** The connection was lost or timed out. The service may have acted on the request. */
  | { readonly kind: 'no-answer' }
  /** The answer is not JSON, or is longer than `MAX_ANSWER_BYTES`. */
  | { readonly kind: 'malformed-answer' };

/** The answer of a JSON service. */
export interface JsonAnswer {
  readonly status: number;
  /** The parsed JSON; undefined if the answer has no body. */
  readonly body: unknown;
}

/** One request to a JSON service. */
export interface JsonRequest {
  readonly url: string;
  readonly method: 'GET' | 'POST';
  /** Sent as JSON; left out for a request without a body. */
  readonly body?: unknown;
  /** Time allowed for the whole exchange. */
  readonly timeout: Millis;
  readonly agent?: Agent;
}

const MAX_ANSWER_BYTES = 256 * 2 ** 20;

/** Reads the body as UTF-8; undefined if it is too long. Rejects if the connection is lost. */
const readBody = async (res: IncomingMessage): Promise<string | undefined> => {
  const held = new HeldBytes();
  for await (const chunk of res as AsyncIterable<Buffer>) {
    held.push(chunk);
    if (held.length > MAX_ANSWER_BYTES) return undefined;
  }
  return held.take().toString('utf8');
};

const parseAnswer = (status: number, text: string): Either<ExchangeError, JsonAnswer> => {
  try {
    return Right({ status, body: text === '' ? undefined : JSON.parse(text) });
  } catch {
    return Left({ kind: 'malformed-answer' });
  }
};

const readAnswer = async (res: IncomingMessage): Promise<Either<ExchangeError, JsonAnswer>> => {
  try {
    const text = await readBody(res);
    if (text === undefined) return Left({ kind: 'malformed-answer' });
    return parseAnswer(res.statusCode ?? 0, text);
  } catch {
    return Left({ kind: 'no-answer' });
  }
};

/** Sends a request and reads the whole answer. Resolves within `timeout` and never rejects. */
export const exchangeJson = ({
  url,
  method,
  body,
  timeout,
  agent,
}: JsonRequest): Promise<Either<ExchangeError, JsonAnswer>> =>
  new Promise((resolve) => {
    const payload = body === undefined ? undefined : JSON.stringify(body);
    const headers = payload === undefined ? {} : { 'content-type': 'application/json' };
    const req = request(url, { method, agent, headers });
    let connected = false;
    let answered = false;
    const timer = setTimeout(() => req.destroy(), timeout);
    const settle = (result: Either<ExchangeError, JsonAnswer>): void => {
      clearTimeout(timer);
      resolve(result);
    };
    const fail = (): void => settle(Left({ kind: connected ? 'no-answer' : 'not-sent' }));
    const markConnected = (): void => {
      connected = true;
    };
    req.on('socket', (socket) => {
      if (socket.connecting) socket.once('connect', markConnected);
      else markConnected();
    });
    req.on('response', (res) => {
      answered = true;
      readAnswer(res).then(settle, fail);
    });
    req.on('error', fail);
    req.on('close', () => {
      if (!answered) fail();
    });
    req.end(payload);
  });
