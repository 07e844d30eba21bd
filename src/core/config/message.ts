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

/** What a node holds of the configuration and how old its word of the log is. */
export interface ConfigPosition {
  readonly tip: Tip;
  /** Time since the log is known to have held nothing beyond `tip`; -1 when never. */
  readonly wordAge: Millis;
  /** The offset that the last known checkpoint stands for, and the time since it was seen. */
  readonly covered: number;
  readonly checkpointAge: Millis;
}

/** What nodes tell each other of the configuration; the body of topic `config`. */
export type ConfigMessage =
  /** Asks for an answer with the same nonce. */
  | {
      readonly kind: 'digest';
      readonly from: NodeAddress;
      readonly nonce: number;
      readonly standing: ConfigPosition;
    }
  | { readonly kind: 'answer'; readonly nonce: number; readonly standing: ConfigPosition }
  /** Asks for the changes after `tip`, or for the first part of a snapshot instead. */
  | { readonly kind: 'want-changes'; readonly from: NodeAddress; readonly tip: Tip }
  | { readonly kind: 'changes'; readonly changes: readonly AcceptedChange[] }
  /** Asks for one part of the snapshot of `tip`, or for the first of a newer one. */
  | {
      readonly kind: 'want-part';
      readonly from: NodeAddress;
      readonly tip: Tip;
      readonly part: number;
    }
  | {
      readonly kind: 'part';
      readonly from: NodeAddress;
      readonly tip: Tip;
      readonly part: number;
      readonly parts: number;
      readonly entries: readonly ConfigEntry[];
    };

/** Why a message of another node is dropped. */
export interface MessageError {
  readonly kind: 'malformed-message';
}

const MAX_PARTS = 100_000;

const isAge = (value: unknown, least: Millis): boolean =>
  typeof value === 'number' && Number.isFinite(value) && value >= least;

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

const isAccepted = (value: unknown): value is AcceptedChange =>
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
  value.parts <= MAX_PARTS &&
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
      return isArrayOf(value.changes, isAccepted);
    case 'want-part':
      return isNodeAddress(value.from) && isTip(value.tip) && isCount(value.part);
    case 'part':
      return isNodeAddress(value.from) && isPart(value);
    default:
      return false;
  }
};

/** Checks the body of a message of topic `config`. */
export const decodeMessage = (body: unknown): Either<MessageError, ConfigMessage> =>
  isMessage(body) ? Right(body) : Left({ kind: 'malformed-message' });
