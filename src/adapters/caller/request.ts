/** Parses callers' HTTP requests into calls. */
import type { IncomingMessage } from 'node:http';

import { Left, Right, type Either } from 'purify-ts';

import { hasHomedScheme, parseHomedKey } from '../../core';
import {
  notRunOutcome,
  unknownOutcome,
  type Call,
  type CallId,
  type Instant,
  type IdempotencyKey,
  type Millis,
  type Refusal,
  type Route,
} from '../../model';
import { forwardedHeaders, HEADER } from '../headers';

/**
 * Time in milliseconds allowed for a call under a key that matches no route here. Only the node
 * that answers for the key may refuse it, so it is forwarded.
 */
const UNROUTED_TIMEOUT_MS = 5000;
const MAX_KEY_CHARACTERS = 256;

/** A parsed value, or the refusal to answer with. */
type ParseResult<T> = Either<Refusal, T>;

const header = (req: IncomingMessage, name: string): string | undefined => {
  const value = req.headers[name];
  return typeof value === 'string' ? value : value?.[0];
};

/** Returns the caller's workspace; empty if the request names none. */
export const workspaceOf = (req: IncomingMessage): string => header(req, HEADER.workspace) ?? '';

/**
 * Reads the idempotency key. A `homed` key names the node that keeps its record, its home; a `bare`
 * key is the caller's own.
 */
const keyOf = (req: IncomingMessage): ParseResult<IdempotencyKey> => {
  const key = header(req, HEADER.key);
  if (key === undefined) return Right({ kind: 'none' });
  if (key.length === 0 || key.length > MAX_KEY_CHARACTERS)
    return Left(notRunOutcome('bad-request'));
  if (!hasHomedScheme(key)) return Right({ kind: 'bare', key });
  return parseHomedKey(key)
    .map((homed): IdempotencyKey => homed)
    .mapLeft(() => notRunOutcome('bad-request'));
};

/**
 * Returns the time that the caller allows, at most `maxTimeout`. If none is left, the call is
 * refused as `not-run` only without a key: under a key, another copy of it may have run.
 */
const timeoutOf = (
  req: IncomingMessage,
  key: IdempotencyKey,
  maxTimeout: Millis,
): ParseResult<Millis> => {
  const text = header(req, HEADER.timeoutMs);
  if (text === undefined) return Right(maxTimeout);
  if (!/^-?\d{1,12}$/.test(text)) return Left(notRunOutcome('bad-request'));
  const timeout = Number(text);
  if (timeout > 0) return Right(Math.min(timeout, maxTimeout));
  return Left(key.kind === 'none' ? notRunOutcome('deadline-passed') : unknownOutcome('timeout'));
};

const buildCall = (
  req: IncomingMessage,
  id: CallId,
  route: Route | undefined,
  key: IdempotencyKey,
  deadline: Instant,
): Call => ({
  id,
  service: route?.service ?? '',
  method: req.method ?? 'GET',
  path: req.url ?? '/',
  headers: forwardedHeaders(req),
  workspace: workspaceOf(req),
  idempotent: route?.idempotent ?? false,
  key: route?.idempotent ? { kind: 'none' } : key,
  deadline,
});

/**
 * Parses a request into a call. Without a route only a call under a key is accepted: a copy of it
 * may be in progress through a node that knows the route, so only the node that answers for the key
 * may refuse it as `not-run`.
 */
export const readCall = (
  req: IncomingMessage,
  id: CallId,
  route: Route | undefined,
  now: Instant,
): ParseResult<Call> =>
  keyOf(req).chain((key) => {
    if (!route && key.kind === 'none') return Left(notRunOutcome('unknown-route'));
    const maxTimeout = route?.timeout ?? UNROUTED_TIMEOUT_MS;
    return timeoutOf(req, key, maxTimeout).map((timeout) =>
      buildCall(req, id, route, key, now + timeout),
    );
  });
