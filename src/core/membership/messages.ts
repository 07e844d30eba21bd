import { Left, Right, type Either } from 'purify-ts';

import { isObject, type Incarnation, type MemberState, type NodeIdentity } from '../../model';

/** News of one node. Of two about one incarnation the higher refutation counts, then the state. */
export interface MemberUpdate {
  readonly node: NodeIdentity;
  readonly state: MemberState;
  /** How often the node has contradicted news of itself. */
  readonly refutation: number;
  /** The member that raised a suspicion. */
  readonly by?: Incarnation | undefined;
}

/** Asks a node to answer. `to` is absent when it is not known which process listens there. */
export interface Ping {
  readonly kind: 'ping';
  readonly seq: number;
  readonly from: MemberUpdate;
  readonly to?: Incarnation | undefined;
  /** Of the sender's live members and their states. */
  readonly digest: number;
  readonly updates: readonly MemberUpdate[];
}

export interface Ack {
  readonly kind: 'ack';
  readonly seq: number;
  readonly from: Incarnation;
  readonly updates: readonly MemberUpdate[];
}

/** Asks a helper to probe `target` and to pass its answer on. */
export interface PingRequest {
  readonly kind: 'ping-request';
  readonly seq: number;
  readonly from: MemberUpdate;
  readonly target: NodeIdentity;
}

/** A helper's word that it is well but had no answer. */
export interface Nack {
  readonly kind: 'nack';
  readonly seq: number;
  readonly from: Incarnation;
}

export interface Gossip {
  readonly kind: 'gossip';
  readonly from: Incarnation;
  readonly updates: readonly MemberUpdate[];
}

/** Asks for the whole state, in pages. */
export interface Join {
  readonly kind: 'join';
  readonly from: MemberUpdate;
}

/** A page of the sender's state. */
export interface StatePage {
  readonly kind: 'state';
  readonly from: Incarnation;
  readonly replyWanted: boolean;
  readonly updates: readonly MemberUpdate[];
}

/** What membership says between nodes. */
export type MembershipMessage = Ping | Ack | PingRequest | Nack | Gossip | Join | StatePage;

export type MembershipMessageError =
  | { readonly kind: 'not-a-message' }
  | { readonly kind: 'unknown-message-kind' }
  | { readonly kind: 'bad-field'; readonly field: string };

const LONGEST_NAME = 128;
const MOST_UPDATES = 64;
const HIGHEST_PORT = 65_535;
const HIGHEST_COUNT = 2 ** 48;
const STATES: ReadonlySet<unknown> = new Set(['alive', 'suspect', 'leaving', 'dead']);

type Check = (value: unknown) => boolean;

const isName: Check = (value) =>
  typeof value === 'string' && value.length > 0 && value.length <= LONGEST_NAME;

const isWithin =
  (most: number): Check =>
  (value) =>
    typeof value === 'number' && Number.isInteger(value) && value >= 0 && value <= most;

const isPort = isWithin(HIGHEST_PORT);
const isCount = isWithin(HIGHEST_COUNT);
const isAbsentOr =
  (check: Check): Check =>
  (value) =>
    value === undefined || value === null || check(value);

const holds = (value: unknown, checks: Readonly<Record<string, Check>>): boolean =>
  isObject(value) && Object.entries(checks).every(([field, check]) => check(value[field]));

const isNode: Check = (value) =>
  holds(value, {
    incarnation: isName,
    dataCentre: isName,
    capacity: isAbsentOr(isCount),
    address: isName,
    callerPort: isPort,
    peerPort: isPort,
  });

const isUpdate: Check = (value) =>
  holds(value, {
    node: isNode,
    state: (state) => STATES.has(state),
    refutation: isCount,
    by: isAbsentOr(isName),
  });

const isUpdates: Check = (value) =>
  Array.isArray(value) && value.length <= MOST_UPDATES && value.every(isUpdate);

const FIELDS: Readonly<Record<MembershipMessage['kind'], Readonly<Record<string, Check>>>> = {
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

/** Checks what another node sent. */
export const decodeMembershipMessage = (
  body: unknown,
): Either<MembershipMessageError, MembershipMessage> => {
  if (!isObject(body)) return Left({ kind: 'not-a-message' });
  const { kind } = body;
  if (typeof kind !== 'string' || !Object.hasOwn(FIELDS, kind)) {
    return Left({ kind: 'unknown-message-kind' });
  }
  const checks = FIELDS[kind as MembershipMessage['kind']];
  const bad = Object.entries(checks).find(([field, check]) => !check(body[field]));
  if (bad) return Left({ kind: 'bad-field', field: bad[0] });
  return Right(body as unknown as MembershipMessage);
};
