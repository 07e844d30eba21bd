/** Messages by which a home and its ledger pass to a successor, and the checks of their shape. */
import { type Either, Left, Right } from 'purify-ts';

import {
  isCount,
  isFiniteNumber,
  isObject,
  isString,
  type Incarnation,
  type NodeIdentity,
  type UnknownObject,
} from '../../model';

import type { EntryId, LedgerEntry, Settlement } from './ledger-entry';
import type { LedgerHeader } from './ledger';

/** Names the node (`heir`) that now handles a home's keys. A record with higher `hops` is newer. */
export interface SuccessorRecord {
  readonly home: Incarnation;
  readonly heir: NodeIdentity;
  readonly hops: number;
}

/**
 * One frame of a ledger, sent by `giver` to `heir`. Frames are numbered by `seq` from 0 to
 * `total` - 1; only the first has a header.
 */
export interface HandoverFrame {
  readonly kind: 'frame';
  readonly home: Incarnation;
  readonly hops: number;
  readonly giver: NodeIdentity;
  readonly heir: Incarnation;
  readonly seq: number;
  readonly total: number;
  readonly header: LedgerHeader | null;
  readonly entries: readonly LedgerEntry[];
}

/** Result of a request that was in flight at the sender (`giver`) when it sent the ledger. */
export interface HandoverSettled {
  readonly kind: 'settled';
  readonly home: Incarnation;
  readonly giver: NodeIdentity;
  readonly heir: Incarnation;
  readonly id: EntryId;
  readonly settlement: Settlement;
}

/**
 * Messages on the topic `handover`. `ack` and `settled-ack` acknowledge one `frame` or `settled`
 * message; `heirs` lists the homes that have been handed over.
 */
export type HandoverMessage =
  | HandoverFrame
  | HandoverSettled
  | {
      readonly kind: 'ack';
      readonly home: Incarnation;
      readonly heir: Incarnation;
      readonly seq: number;
    }
  | {
      readonly kind: 'settled-ack';
      readonly home: Incarnation;
      readonly heir: Incarnation;
      readonly id: EntryId;
    }
  | { readonly kind: 'heirs'; readonly heirs: readonly SuccessorRecord[] };

/** The error for a message of the wrong shape. */
export interface HandoverMessageError {
  readonly kind: 'malformed-handover';
}

const MAX_FRAME_COUNT = 100_000;
/** Maximum number of entries or refusal marks in a frame, and of headers in an answer. */
const MAX_LIST_ITEM_COUNT = 1024;
const MAX_SUCCESSOR_COUNT = 4096;

const isNonEmptyString = (value: unknown): value is string => isString(value) && value !== '';
const isListUpTo = (value: unknown, max: number, check: (item: unknown) => boolean): boolean =>
  Array.isArray(value) && value.length <= max && value.every(check);

const isIdentity = (value: unknown): value is NodeIdentity =>
  isObject(value) &&
  [value.incarnation, value.dataCentre, value.address].every(isNonEmptyString) &&
  [value.callerPort, value.peerPort].every(isCount);

const isPair = (value: unknown): boolean =>
  Array.isArray(value) && value.length === 2 && value.every((item) => typeof item === 'string');

const isAnswer = (value: UnknownObject): boolean =>
  isCount(value.status) &&
  isListUpTo(value.headers, MAX_LIST_ITEM_COUNT, isPair) &&
  (value.body === null || value.body instanceof Uint8Array);

const isSettlement = (value: unknown): value is Settlement => {
  if (!isObject(value)) return false;
  if (value.kind === 'answer') return isAnswer(value);
  const isRefusal = value.kind === 'not-run' || value.kind === 'unknown';
  return isRefusal && isNonEmptyString(value.reason) && isFiniteNumber(value.retryAfter);
};

const isEntry = (value: unknown): boolean =>
  isObject(value) &&
  isNonEmptyString(value.id) &&
  typeof value.workspace === 'string' &&
  (value.fingerprint === null || isNonEmptyString(value.fingerprint)) &&
  isFiniteNumber(value.until) &&
  (value.settlement === null || isSettlement(value.settlement));

const isMark = (value: unknown): boolean =>
  Array.isArray(value) &&
  value.length === 2 &&
  typeof value[0] === 'string' &&
  isFiniteNumber(value[1]);

const isHeader = (value: unknown): boolean =>
  isObject(value) &&
  isFiniteNumber(value.frozenAt) &&
  isFiniteNumber(value.sharedMark) &&
  isListUpTo(value.marks, MAX_LIST_ITEM_COUNT, isMark);

const isFrame = (value: UnknownObject): boolean =>
  isCount(value.hops) &&
  isIdentity(value.giver) &&
  isCount(value.seq) &&
  isCount(value.total) &&
  value.seq < value.total &&
  value.total <= MAX_FRAME_COUNT &&
  (value.seq === 0 ? isHeader(value.header) : value.header === null) &&
  isListUpTo(value.entries, MAX_LIST_ITEM_COUNT, isEntry);

const isSuccessorRecord = (value: unknown): boolean =>
  isObject(value) && isNonEmptyString(value.home) && isIdentity(value.heir) && isCount(value.hops);

const isMessage = (value: UnknownObject): boolean => {
  if (value.kind === 'heirs')
    return isListUpTo(value.heirs, MAX_SUCCESSOR_COUNT, isSuccessorRecord);
  if (!isNonEmptyString(value.home) || !isNonEmptyString(value.heir)) return false;
  switch (value.kind) {
    case 'frame':
      return isFrame(value);
    case 'settled':
      return (
        isIdentity(value.giver) && isNonEmptyString(value.id) && isSettlement(value.settlement)
      );
    case 'ack':
      return isCount(value.seq);
    case 'settled-ack':
      return isNonEmptyString(value.id);
    default:
      return false;
  }
};

/** Checks the body of a peer message on the topic `handover`; its error is `malformed-handover`. */
export const parseHandoverMessage = (
  body: unknown,
): Either<HandoverMessageError, HandoverMessage> =>
  isObject(body) && isMessage(body)
    ? Right(body as unknown as HandoverMessage)
    : Left({ kind: 'malformed-handover' });
