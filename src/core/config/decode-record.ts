import { Left, Right, type Either } from 'purify-ts';

import { RECORD_FORMAT, type ConfigRecord } from '../../model';

import {
  isArrayOf,
  isChange,
  isCount,
  isRules,
  isObject,
  isText,
  isTip,
  isUpstream,
} from './guards';

/** Reason for skipping a record of the stream. Every reader skips the same records. */
export type RecordError =
  { readonly kind: 'malformed-record' } | { readonly kind: 'unknown-format' };

/** Decodes a value read from the stream. */
export const decodeRecord = (value: unknown): Either<RecordError, ConfigRecord> => {
  if (!isObject(value)) return Left({ kind: 'malformed-record' });
  if (value.format !== RECORD_FORMAT) return Left({ kind: 'unknown-format' });
  const { kind, publishId, base, change, tip, upstreams, rules } = value;
  const format = RECORD_FORMAT;
  if (kind === 'change' && isText(publishId) && isCount(base) && isChange(change)) {
    return Right({ kind, format, publishId, base, change });
  }
  if (kind === 'checkpoint' && isTip(tip) && isArrayOf(upstreams, isUpstream) && isRules(rules)) {
    return Right({ kind, format, tip, upstreams, rules });
  }
  return Left({ kind: 'malformed-record' });
};
