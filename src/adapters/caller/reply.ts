/** Writes replies as HTTP answers. */
import type { ServerResponse } from 'node:http';
import { pipeline } from 'node:stream';

import { MILLIS_PER_SECOND, type Refusal } from '../../model';
import { BufferedBody, type Reply } from '../../ports';
import { HEADER, toRawHeaders } from '../headers';

import { hasEnded, onceEnded } from './exchange-end';

/** The HTTP status of each reason for which a call was not run. */
const NOT_RUN_STATUS: Readonly<Record<Extract<Refusal, { kind: 'not-run' }>['reason'], number>> = {
  'bad-request': 400,
  'unknown-route': 404,
  'deadline-passed': 504,
  'queue-full': 503,
  'wait-exceeds-deadline': 503,
  'workspace-over-share': 429,
  'no-upstream': 503,
  'no-owner': 503,
  shed: 503,
  'retry-budget-spent': 503,
  'config-stale': 503,
  leaving: 503,
  'key-expired': 409,
  'key-body-mismatch': 422,
  'ledger-full': 503,
  'log-unavailable': 503,
  'claim-lost': 409,
  'connect-failed': 502,
  cancelled: 499,
  'body-too-large': 413,
};

/** The status for a call that may have run. */
const UNKNOWN_STATUS = 502;
const UNKNOWN_TIMEOUT_STATUS = 504;

/** Returns the HTTP status of a refusal. */
export const statusOf = (outcome: Refusal): number => {
  switch (outcome.kind) {
    case 'not-run':
      return NOT_RUN_STATUS[outcome.reason];
    case 'unknown':
      return outcome.reason === 'timeout' ? UNKNOWN_TIMEOUT_STATUS : UNKNOWN_STATUS;
  }
};

/**
 * Writes a refusal with its outcome, its reason and the time after which to retry. If an answer has
 * been started, the connection is destroyed instead.
 */
export const writeRefusal = (res: ServerResponse, outcome: Refusal): void => {
  if (res.headersSent || res.destroyed) {
    res.destroy();
    return;
  }
  const { kind, reason } = outcome;
  const retryAfterMs = Math.ceil(outcome.retryAfter);
  const retryAfter =
    retryAfterMs > 0 ? { 'retry-after': String(Math.ceil(retryAfterMs / MILLIS_PER_SECOND)) } : {};
  res.writeHead(statusOf(outcome), {
    'content-type': 'application/json',
    [HEADER.outcome]: kind,
    [HEADER.reason]: reason,
    [HEADER.retryAfterMs]: String(retryAfterMs),
    ...retryAfter,
  });
  res.end(`${JSON.stringify({ outcome: kind, reason, retryAfterMs })}\n`);
};

/**
 * Writes an answer. If its body breaks off, the connection is destroyed before the end of the
 * message, so that the caller does not take the answer for complete; `onBroken` is then called.
 */
export const writeAnswer = (
  res: ServerResponse,
  reply: Extract<Reply, { kind: 'answer' }>,
  onBroken: () => void,
): void => {
  if (hasEnded(res)) {
    reply.body.destroy();
    return;
  }
  onceEnded(res, () => reply.body.destroy());
  const headers = toRawHeaders([...reply.headers, [HEADER.outcome, 'done']]);
  res.writeHead(reply.status, headers);
  if (reply.body instanceof BufferedBody) {
    // The call counts as in progress until its body is destroyed, so the body is destroyed only
    // after it has been written.
    res.end(reply.body.bytes, () => reply.body.destroy());
    return;
  }
  pipeline(reply.body, res, (err) => {
    if (!err) return;
    onBroken();
    res.destroy();
  });
};
