/** How requests go out to upstreams, and what their answers come to. */
import { STALE_CONNECTION, type AttemptOutcome } from '../core/gateway';
import type { Instant, Millis, UpstreamId } from '../model';
import type { HeaderConventions } from '../ports';

import { headerOf } from './answer-parser';
import type { ExchangeResult } from './upstream-connection';
import { isStaleReset } from './connection-pool';

/** A caller's request, read whole. */
export interface CallerRequest {
  readonly id: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  readonly host: string;
  /** Names and values in turn; without those that concern one connection only. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  readonly arrivedAt: Instant;
  /** When the caller stops waiting. */
  readonly deadline: Instant;
  readonly signal: AbortSignal;
}

/** Statuses that say that a request has not run; only an upstream that says so besides is believed. */
export const PROMISES_NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** An answer that may be whole, but can't be told from one that was broken off. */
export const UNFRAMED = 'unframed';

const OK_CLASS = 2;
const SERVER_ERROR_CLASS = 5;
const MISDIRECTED = 421;

const classOf = (status: number): number => Math.floor(status / 100);

/**
 * What an exchange came to. Only genuine answers count: for this request, signed, not encoded, and,
 * where the request can be had again, with an end that can be told.
 */
export const outcomeOf = (
  result: ExchangeResult,
  { id, idempotent }: { readonly id: string; readonly idempotent: boolean },
  headerConventions: HeaderConventions,
): AttemptOutcome => {
  if (result.kind === 'failed') {
    if (result.why === 'cancelled') return { kind: 'cancelled' };
    if (isStaleReset(result)) return { kind: 'unknown', why: STALE_CONNECTION };
    return result.sent
      ? { kind: 'unknown', why: result.why }
      : { kind: 'not-run', why: 'unreachable' };
  }
  const { status, rawHeaders } = result.head;
  if (headerOf(rawHeaders, headerConventions.notRun) !== undefined) {
    return { kind: 'not-run', why: status === MISDIRECTED ? 'misdirected' : 'shed' };
  }
  if (status === MISDIRECTED) return { kind: 'not-run', why: 'misdirected' };
  if (classOf(status) === SERVER_ERROR_CLASS || PROMISES_NOT_RUN.has(status)) {
    return { kind: 'failed', status };
  }
  const isGenuine =
    headerOf(rawHeaders, headerConventions.requestId) === id &&
    headerOf(rawHeaders, 'content-encoding') === undefined &&
    (classOf(status) !== OK_CLASS ||
      headerOf(rawHeaders, headerConventions.signature) !== undefined);
  if (!isGenuine) return { kind: 'unknown', why: 'not-genuine' };
  if (idempotent && result.head.endsWithConnection) return { kind: 'unknown', why: UNFRAMED };
  return { kind: 'served' };
};

/** A request's bytes for one upstream; `remaining` is the time that the caller still waits. */
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
