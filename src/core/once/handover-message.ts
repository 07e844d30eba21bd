/** Messages by which a home passes its identity and ledger to an heir, and their checks. */
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

/** Which node answers for a home's keys after it. A higher `hops` is newer. */
export interface SuccessorRecord {
  readonly home: Incarnation;
  readonly heir: NodeIdentity;
  readonly hops: number;
}

/** A part of the ledger; the parts are `seq` 0 to `total` - 1, and only the first has a header. */
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

/** The end of a request that was in flight at the giver. */
export interface HandoverSettled {
  readonly kind: 'settled';
  readonly home: Incarnation;
  readonly giver: NodeIdentity;
  readonly heir: Incarnation;
  readonly id: EntryId;
  readonly settlement: Settlement;
}

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

export interface HandoverMessageError {
  readonly kind: 'malformed-handover';
}

const MAX_FRAMES = 100_000;
const MAX_FRAME_ENTRIES = 1024;
const MAX_SUCCESSORS = 4096;

const isText = (value: unknown): value is string => isString(value) && value !== '';
const isList = (value: unknown, max: number, check: (item: unknown) => boolean): boolean =>
  Array.isArray(value) && value.length <= max && value.every(check);

const isIdentity = (value: unknown): value is NodeIdentity =>
  isObject(value) &&
  [value.incarnation, value.dataCentre, value.address].every(isText) &&
  [value.callerPort, value.peerPort].every(isCount);

const isPair = (value: unknown): boolean =>
  Array.isArray(value) && value.length === 2 && value.every((item) => typeof item === 'string');

const isAnswer = (value: UnknownObject): boolean =>
  isCount(value.status) &&
  isList(value.headers, MAX_FRAME_ENTRIES, isPair) &&
  (value.body === null || value.body instanceof Uint8Array);

const isSettlement = (value: unknown): value is Settlement => {
  if (!isObject(value)) return false;
  if (value.kind === 'answer') return isAnswer(value);
  const isRefusal = value.kind === 'not-run' || value.kind === 'unknown';
  return isRefusal && isText(value.reason) && isFiniteNumber(value.retryAfter);
};

const isEntry = (value: unknown): boolean =>
  isObject(value) &&
  isText(value.id) &&
  typeof value.workspace === 'string' &&
  (value.fingerprint === null || isText(value.fingerprint)) &&
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
  isList(value.marks, MAX_FRAME_ENTRIES, isMark);

const isFrame = (value: UnknownObject): boolean =>
  isCount(value.hops) &&
  isIdentity(value.giver) &&
  isCount(value.seq) &&
  isCount(value.total) &&
  value.seq < value.total &&
  value.total <= MAX_FRAMES &&
  (value.seq === 0 ? isHeader(value.header) : value.header === null) &&
  isList(value.entries, MAX_FRAME_ENTRIES, isEntry);

const isSuccessorRecord = (value: unknown): boolean =>
  isObject(value) && isText(value.home) && isIdentity(value.heir) && isCount(value.hops);

const isMessage = (value: UnknownObject): boolean => {
  if (value.kind === 'heirs') return isList(value.heirs, MAX_SUCCESSORS, isSuccessorRecord);
  if (!isText(value.home) || !isText(value.heir)) return false;
  switch (value.kind) {
    case 'frame':
      return isFrame(value);
    case 'settled':
      return isIdentity(value.giver) && isText(value.id) && isSettlement(value.settlement);
    case 'ack':
      return isCount(value.seq);
    case 'settled-ack':
      return isText(value.id);
    default:
      return false;
  }
};

/** Checks the body of a peer message on the topic `handover`. */
export const parseHandoverMessage = (
  body: unknown,
): Either<HandoverMessageError, HandoverMessage> =>
  isObject(body) && isMessage(body)
    ? Right(body as unknown as HandoverMessage)
    : Left({ kind: 'malformed-handover' });
