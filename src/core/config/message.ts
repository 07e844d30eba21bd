import { Left, Right, type Either } from 'purify-ts';

import type { Millis, NodeAddress, Tip } from '../../model';

import { decodeRecord } from './decode-record';
import type { AcceptedChange } from './fold';
import {
  isArrayOf,
  isCount,
  isNodeAddress,
  isRoute,
  isServiceRules,
  isObject,
  isText,
  isTip,
  isUpstream,
  isWorkspace,
} from './guards';
import type { ConfigEntry } from './snapshot';

/** A node's position in the stream, and the age of what it knows of the log. */
export interface ConfigPosition {
  readonly tip: Tip;
  /** Milliseconds since the log is known to have held nothing beyond `tip`; -1 if never. */
  readonly wordAge: Millis;
  /** Offset up to which, exclusive, the last known checkpoint covers the stream. */
  readonly covered: number;
  /** Milliseconds since that checkpoint was seen. */
  readonly checkpointAge: Millis;
}

/** Messages between nodes about the configuration, on topic `config`. */
export type ConfigMessage =
  /** Requests an `answer` with the same nonce; `standing` is the sender's position. */
  | {
      readonly kind: 'digest';
      readonly from: NodeAddress;
      readonly nonce: number;
      readonly standing: ConfigPosition;
    }
  | { readonly kind: 'answer'; readonly nonce: number; readonly standing: ConfigPosition }
  /** Requests the changes after `tip`, or the first part of a snapshot if they are not kept. */
  | { readonly kind: 'want-changes'; readonly from: NodeAddress; readonly tip: Tip }
  | { readonly kind: 'changes'; readonly changes: readonly AcceptedChange[] }
  /** Requests one part of the snapshot of `tip`, or the first part of a newer one. */
  | {
      readonly kind: 'want-part';
      readonly from: NodeAddress;
      readonly tip: Tip;
      readonly part: number;
    }
  /** Holds part number `part` of the `parts` parts of the snapshot of `tip`, from 0. */
  | {
      readonly kind: 'part';
      readonly from: NodeAddress;
      readonly tip: Tip;
      readonly part: number;
      readonly parts: number;
      readonly entries: readonly ConfigEntry[];
    };

/** The error for a message of the wrong shape, which is dropped. */
export interface MessageError {
  readonly kind: 'malformed-message';
}

const MAX_PART_COUNT = 100_000;

const isAge = (value: unknown, min: Millis): boolean =>
  typeof value === 'number' && Number.isFinite(value) && value >= min;

const isPosition = (value: unknown): value is ConfigPosition =>
  isObject(value) &&
  isTip(value.tip) &&
  isAge(value.wordAge, -1) &&
  isCount(value.covered) &&
  isAge(value.checkpointAge, 0);

const isEntry = (value: unknown): value is ConfigEntry => {
  if (!isObject(value)) return false;
  switch (value.kind) {
    case 'upstream':
      return isUpstream(value.entry);
    case 'service':
      return isServiceRules(value.entry);
    case 'route':
      return isRoute(value.entry);
    case 'workspace':
      return isWorkspace(value.entry);
    default:
      return false;
  }
};

const isAcceptedChange = (value: unknown): value is AcceptedChange =>
  isObject(value) &&
  isCount(value.version) &&
  isCount(value.offset) &&
  isText(value.chain) &&
  decodeRecord(value.record)
    .map((record) => record.kind === 'change' && record.base + 1 === value.version)
    .orDefault(false);

const isPart = (value: Readonly<Record<string, unknown>>): boolean =>
  isTip(value.tip) &&
  isCount(value.part) &&
  isCount(value.parts) &&
  value.parts <= MAX_PART_COUNT &&
  value.part < value.parts &&
  isArrayOf(value.entries, isEntry);

const isMessage = (value: unknown): value is ConfigMessage => {
  if (!isObject(value)) return false;
  switch (value.kind) {
    case 'digest':
      return isNodeAddress(value.from) && isCount(value.nonce) && isPosition(value.standing);
    case 'answer':
      return isCount(value.nonce) && isPosition(value.standing);
    case 'want-changes':
      return isNodeAddress(value.from) && isTip(value.tip);
    case 'changes':
      return isArrayOf(value.changes, isAcceptedChange);
    case 'want-part':
      return isNodeAddress(value.from) && isTip(value.tip) && isCount(value.part);
    case 'part':
      return isNodeAddress(value.from) && isPart(value);
    default:
      return false;
  }
};

/** Checks an unpacked message on topic `config`. */
export const decodeMessage = (body: unknown): Either<MessageError, ConfigMessage> =>
  isMessage(body) ? Right(body) : Left({ kind: 'malformed-message' });
