/** Encodes requests to upstreams, and classifies the results. */
import { STALE_CONNECTION, type AttemptOutcome } from '../../core/gateway';
import type { Millis, UpstreamId } from '../../model';
import type { HeaderConventions } from '../../ports';

import { headerOf } from './answer-parser';
import type { CallerRequest } from '../request/caller-request';
import type { ExchangeResult } from './exchange';
import { isStaleReset } from './connection-pool';

/**
 * Statuses that suggest that a request has not run. Alone they do not prove it: except with 421,
 * the not-run header must say so too.
 */
export const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Reason for an answer that ends with its connection, so that a truncated one looks complete. */
export const UNFRAMED = 'unframed';

/** First digit of the statuses 2xx. */
const OK_CLASS = 2;
/** First digit of the statuses 5xx. */
const SERVER_ERROR_CLASS = 5;
const MISDIRECTED = 421;

const statusClassOf = (status: number): number => Math.floor(status / 100);

/**
 * Classifies the result of an exchange. An answer without a request id, be it a refusal or a
 * failure, belongs to the request only on a new connection. An answer counts as served only if it is genuine: it has
 * the id of this request, no content encoding and, with a 2xx status, a signature. For an
 * idempotent request its end must be marked too, as such a request can be retried instead.
 */
export const outcomeOf = (
  result: ExchangeResult,
  { id, idempotent }: { readonly id: string; readonly idempotent: boolean },
  headerConventions: HeaderConventions,
): AttemptOutcome => {
  if (result.kind === 'failed') {
    if (result.why === 'cancelled') return { kind: 'cancelled' };
    if (result.why === 'held-back') return { kind: 'not-run', why: 'held-back' };
    if (isStaleReset(result)) return { kind: 'unknown', why: STALE_CONNECTION };
    return result.sent
      ? { kind: 'unknown', why: result.why }
      : { kind: 'not-run', why: 'unreachable' };
  }
  const { status, rawHeaders } = result.head;
  const answeredId = headerOf(rawHeaders, headerConventions.requestId);
  // On a reused connection it may be the answer to an earlier request, sent again.
  if (answeredId === undefined && !result.isFirst) return { kind: 'unknown', why: 'not-genuine' };
  if (headerOf(rawHeaders, headerConventions.notRun) !== undefined) {
    return { kind: 'not-run', why: status === MISDIRECTED ? 'misdirected' : 'shed' };
  }
  if (status === MISDIRECTED) return { kind: 'not-run', why: 'misdirected' };
  if (statusClassOf(status) === SERVER_ERROR_CLASS || NOT_RUN_STATUSES.has(status)) {
    return { kind: 'failed', status };
  }
  const isGenuine =
    answeredId === id &&
    headerOf(rawHeaders, 'content-encoding') === undefined &&
    (statusClassOf(status) !== OK_CLASS ||
      headerOf(rawHeaders, headerConventions.signature) !== undefined);
  if (!isGenuine) return { kind: 'unknown', why: 'not-genuine' };
  if (idempotent && result.head.endsWithConnection) return { kind: 'unknown', why: UNFRAMED };
  return { kind: 'served' };
};

/**
 * Encodes a request for one upstream; `remaining` is the time in ms that the caller still waits.
 */
export const encodeRequest = (
  { method, target, rawHeaders, body }: CallerRequest,
  headerConventions: HeaderConventions,
  upstreamId: UpstreamId,
  remaining: Millis,
): Buffer => {
  const lines = [`${method} ${target} HTTP/1.1`];
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    lines.push(`${rawHeaders[i]}: ${rawHeaders[i + 1]}`);
  }
  lines.push(`${headerConventions.remainingMs}: ${Math.max(1, Math.floor(remaining))}`);
  lines.push(`${headerConventions.targetUpstream}: ${upstreamId}`);
  const hasBody = body.length > 0 || !['GET', 'HEAD'].includes(method);
  if (hasBody) lines.push(`content-length: ${body.length}`);
  const head = Buffer.from(`${lines.join('\r\n')}\r\n\r\n`, 'latin1');
  return hasBody ? Buffer.concat([head, body]) : head;
};
