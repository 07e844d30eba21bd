import { Left, Right, type Either } from 'purify-ts';

import { isFiniteNumber, isObject, isString, type AttemptResult, type UpstreamId } from '../model';

/** A request from one node to another to probe an upstream, or its result; matched by `nonce`. */
export type ProbeMessage =
  | { readonly kind: 'request'; readonly nonce: number; readonly upstream: UpstreamId }
  | { readonly kind: 'result'; readonly nonce: number; readonly result: AttemptResult };

export interface ProbeMessageError {
  readonly kind: 'malformed-probe-message';
}

const RESULT_KINDS: ReadonlySet<unknown> = new Set<AttemptResult['kind']>([
  'ok',
  'error-status',
  'shed',
  'connect-failed',
  'reset',
  'truncated',
  'mismatched',
  'timeout',
  'cancelled',
]);

const isNumberOrAbsent = (value: unknown): boolean => value === undefined || isFiniteNumber(value);

const isResult = (value: unknown): value is AttemptResult =>
  isObject(value) &&
  RESULT_KINDS.has(value.kind) &&
  [value.latency, value.waited, value.status].every(isNumberOrAbsent) &&
  (value.kind !== 'ok' || isFiniteNumber(value.latency));

/** Validates a message body that a peer sent under topic `probe`. */
export const decodeProbeMessage = (body: unknown): Either<ProbeMessageError, ProbeMessage> => {
  if (isObject(body) && isFiniteNumber(body.nonce)) {
    const { kind, nonce, upstream, result } = body;
    if (kind === 'request' && isString(upstream)) return Right({ kind, nonce, upstream });
    if (kind === 'result' && isResult(result)) return Right({ kind, nonce, result });
  }
  return Left({ kind: 'malformed-probe-message' });
};
