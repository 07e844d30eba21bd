import { Left, Right, type Either } from 'purify-ts';

import {
  isIpAddress,
  isObject,
  isPort,
  type Incarnation,
  type MemberState,
  type NodeIdentity,
} from '../../model';

/**
 * States what a node is held to be. Of two updates about one incarnation the one with the higher
 * refutation counts, then the one with the later state of alive, suspect, leaving, dead.
 */
export interface MemberUpdate {
  readonly node: NodeIdentity;
  readonly state: MemberState;
  /** Number that the node raises whenever it refutes an update about itself or changes state. */
  readonly refutation: number;
  /** Member that raised the suspicion, in an update with the state `suspect`. */
  readonly by?: Incarnation | undefined;
}

/**
 * Asks a node for an `ack`. `to` is the incarnation meant; it is absent when the sender does not
 * know which process listens at the address.
 */
export interface Ping {
  readonly kind: 'ping';
  readonly seq: number;
  readonly from: MemberUpdate;
  readonly to?: Incarnation | undefined;
  /** Digest of the sender's live members and their states; equal views have equal digests. */
  readonly digest: number;
  readonly updates: readonly MemberUpdate[];
}

/** Answers a ping, directly or through the helper that sent it. */
export interface Ack {
  readonly kind: 'ack';
  readonly seq: number;
  readonly from: Incarnation;
  readonly updates: readonly MemberUpdate[];
}

/** Asks a helper to probe `target` and to pass its `ack` on. */
export interface PingRequest {
  readonly kind: 'ping-request';
  readonly seq: number;
  readonly from: MemberUpdate;
  readonly target: NodeIdentity;
}

/** Tells that a helper is up but got no answer from the target. */
export interface Nack {
  readonly kind: 'nack';
  readonly seq: number;
  readonly from: Incarnation;
}

/** Spreads updates outside probes. */
export interface Gossip {
  readonly kind: 'gossip';
  readonly from: Incarnation;
  readonly updates: readonly MemberUpdate[];
}

/** Asks for the receiver's whole state, which comes in `state` messages. */
export interface Join {
  readonly kind: 'join';
  readonly from: MemberUpdate;
}

/** Carries one page of the sender's state; `replyWanted` asks for a page in return. */
export interface StatePage {
  readonly kind: 'state';
  readonly from: Incarnation;
  readonly replyWanted: boolean;
  readonly updates: readonly MemberUpdate[];
}

/** Lists the messages of topic `membership`. */
export type MembershipMessage = Ping | Ack | PingRequest | Nack | Gossip | Join | StatePage;

/** Tells why a message was refused; `field` names the first invalid field. */
export type MembershipMessageError =
  | { readonly kind: 'not-a-message' }
  | { readonly kind: 'unknown-message-kind' }
  | { readonly kind: 'bad-field'; readonly field: string };

/** Most characters in an incarnation, data centre or address. */
const MAX_NAME_LENGTH = 128;
const MAX_UPDATE_COUNT = 64;
/** Highest sequence number, refutation, digest or capacity. */
const MAX_COUNT = 2 ** 48;
const MEMBER_STATES: ReadonlySet<unknown> = new Set(['alive', 'suspect', 'leaving', 'dead']);

type FieldCheck = (value: unknown) => boolean;

/** A name has no control characters, as it becomes part of keys and log lines. */
const NAME = /^[^\p{Cc}]+$/u;

const isName: FieldCheck = (value) =>
  typeof value === 'string' && value.length <= MAX_NAME_LENGTH && NAME.test(value);

const isIntegerUpTo =
  (most: number): FieldCheck =>
  (value) =>
    typeof value === 'number' && Number.isInteger(value) && value >= 0 && value <= most;

const isCount = isIntegerUpTo(MAX_COUNT);
const isAbsentOr =
  (check: FieldCheck): FieldCheck =>
  (value) =>
    value === undefined || value === null || check(value);

const hasValidFields = (value: unknown, checks: Readonly<Record<string, FieldCheck>>): boolean =>
  isObject(value) && Object.entries(checks).every(([field, check]) => check(value[field]));

const isNode: FieldCheck = (value) =>
  hasValidFields(value, {
    incarnation: isName,
    dataCentre: isName,
    capacity: isAbsentOr(isCount),
    datagramVersion: isAbsentOr(isCount),
    address: isIpAddress,
    callerPort: isPort,
    peerPort: isPort,
  });

const isUpdate: FieldCheck = (value) =>
  hasValidFields(value, {
    node: isNode,
    state: (state) => MEMBER_STATES.has(state),
    refutation: isCount,
    by: isAbsentOr(isName),
  });

const isUpdates: FieldCheck = (value) =>
  Array.isArray(value) && value.length <= MAX_UPDATE_COUNT && value.every(isUpdate);

const FIELD_CHECKS: Readonly<
  Record<MembershipMessage['kind'], Readonly<Record<string, FieldCheck>>>
> = {
  ping: {
    seq: isCount,
    from: isUpdate,
    to: isAbsentOr(isName),
    digest: isCount,
    updates: isUpdates,
  },
  ack: { seq: isCount, from: isName, updates: isUpdates },
  'ping-request': { seq: isCount, from: isUpdate, target: isNode },
  nack: { seq: isCount, from: isName },
  gossip: { from: isName, updates: isUpdates },
  join: { from: isUpdate },
  state: {
    from: isName,
    replyWanted: (value) => typeof value === 'boolean',
    updates: isUpdates,
  },
};

/** Checks the body of a message from another node; never throws. */
export const decodeMembershipMessage = (
  body: unknown,
): Either<MembershipMessageError, MembershipMessage> => {
  if (!isObject(body)) return Left({ kind: 'not-a-message' });
  const { kind } = body;
  if (typeof kind !== 'string' || !Object.hasOwn(FIELD_CHECKS, kind)) {
    return Left({ kind: 'unknown-message-kind' });
  }
  const checks = FIELD_CHECKS[kind as MembershipMessage['kind']];
  const bad = Object.entries(checks).find(([field, check]) => !check(body[field]));
  if (bad) return Left({ kind: 'bad-field', field: bad[0] });
  return Right(body as unknown as MembershipMessage);
};
