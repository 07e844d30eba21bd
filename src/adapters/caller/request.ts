/** Callers' HTTP requests read into calls. */
import type { IncomingMessage } from 'node:http';

import { Left, Right, type Either } from 'purify-ts';

import { looksHomed, parseHomedKey } from '../../core';
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

/** Time allowed for a homed call whose route only its home may refuse. */
const UNROUTED_TIMEOUT_MS = 5000;
const MAX_KEY_LENGTH = 256;

type Read<T> = Either<Refusal, T>;

const header = (req: IncomingMessage, name: string): string | undefined => {
  const value = req.headers[name];
  return typeof value === 'string' ? value : value?.[0];
};

/** The caller's account; empty for callers that name none. */
export const workspaceOf = (req: IncomingMessage): string => header(req, HEADER.workspace) ?? '';

const keyOf = (req: IncomingMessage): Read<IdempotencyKey> => {
  const key = header(req, HEADER.key);
  if (key === undefined) return Right({ kind: 'none' });
  if (key.length === 0 || key.length > MAX_KEY_LENGTH) return Left(notRunOutcome('bad-request'));
  if (!looksHomed(key)) return Right({ kind: 'bare', key });
  return parseHomedKey(key)
    .map((homed): IdempotencyKey => homed)
    .mapLeft(() => notRunOutcome('bad-request'));
};

/** The time that the caller allows, at most the route's. */
const timeoutOf = (req: IncomingMessage, key: IdempotencyKey, most: Millis): Read<Millis> => {
  const text = header(req, HEADER.timeoutMs);
  if (text === undefined) return Right(most);
  if (!/^-?\d{1,12}$/.test(text)) return Left(notRunOutcome('bad-request'));
  const timeout = Number(text);
  if (timeout > 0) return Right(Math.min(timeout, most));
  return Left(key.kind === 'none' ? notRunOutcome('deadline-passed') : unknownOutcome('timeout'));
};

const callWith = (
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
 * The call that a request asks for. Without a route only a call under a key goes on: a copy of it
 * may be on its way through a node that knows the route, and only the node that answers for the
 * key may say `not-run`.
 */
export const readCall = (
  req: IncomingMessage,
  id: CallId,
  route: Route | undefined,
  now: Instant,
): Read<Call> =>
  keyOf(req).chain((key) => {
    if (!route && key.kind === 'none') return Left(notRunOutcome('unknown-route'));
    const most = route?.timeout ?? UNROUTED_TIMEOUT_MS;
    return timeoutOf(req, key, most).map((timeout) => callWith(req, id, route, key, now + timeout));
  });
