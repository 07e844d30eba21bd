/** Encodes and decodes the frames of the peer link: msgpack maps with the frame's kind in `t`. */
import { pack, unpack } from 'msgpackr';
import { Left, Right, type Either } from 'purify-ts';

import {
  isFiniteNumber,
  isObject,
  isString,
  type Call,
  type Headers,
  type Millis,
  type NodeIdentity,
  type Refusal,
  type UnknownObject,
} from '../../model';
import type { CallRole, PeerMessage, ShardLoad } from '../../ports';

/** The version of the peer protocol. A node refuses a peer with another version. */
export const PEER_VERSION = 1;

/** Size in bytes of the longest frame that is accepted. */
export const MAX_FRAME_BYTES = 1024 * 1024;

/** The direction of a body: `up` with the call, `down` with its answer. */
export type BodyDirection = 'up' | 'down';

/** A call as it is sent: the time left replaces its deadline, as nodes don't share a clock. */
export type WireCall = Omit<Call, 'deadline'> & { readonly timeLeft: Millis };

/**
 * One frame. `t` is its kind, `v` a protocol version, and `id` the number of a call on its
 * connection. `credit` grants `bytes` more of a body; `broken` ends a body that failed.
 */
export type Frame =
  | { readonly t: 'hello'; readonly v: number; readonly node: NodeIdentity }
  | { readonly t: 'refuse-version'; readonly v: number }
  | { readonly t: 'msg'; readonly msg: PeerMessage }
  | { readonly t: 'call'; readonly id: number; readonly role: CallRole; readonly call: WireCall }
  | { readonly t: 'ack'; readonly id: number }
  | {
      readonly t: 'data';
      readonly id: number;
      readonly flow: BodyDirection;
      readonly bytes: Uint8Array;
    }
  | { readonly t: 'end'; readonly id: number; readonly flow: BodyDirection }
  | {
      readonly t: 'broken';
      readonly id: number;
      readonly flow: BodyDirection;
      readonly fault: string;
    }
  | {
      readonly t: 'credit';
      readonly id: number;
      readonly flow: BodyDirection;
      readonly bytes: number;
    }
  | {
      readonly t: 'answer';
      readonly id: number;
      readonly status: number;
      readonly headers: Headers;
      readonly load?: ShardLoad | undefined;
    }
  | {
      readonly t: 'refused';
      readonly id: number;
      readonly outcome: Refusal;
      readonly load?: ShardLoad | undefined;
    }
  | { readonly t: 'cancel'; readonly id: number };

/** The reason why bytes are not a frame. `t` is the kind of the malformed frame. */
export type FrameError =
  { readonly kind: 'frame-not-msgpack' } | { readonly kind: 'frame-malformed'; readonly t: string };

const isBodyDirection = (value: unknown): value is BodyDirection =>
  value === 'up' || value === 'down';

const isHeaders = (value: unknown): value is Headers =>
  Array.isArray(value) &&
  value.every((pair) => Array.isArray(pair) && pair.length === 2 && pair.every(isString));

const isKeyKind = (value: unknown): boolean => {
  if (!isObject(value)) return false;
  switch (value.kind) {
    case 'none':
      return true;
    case 'bare':
      return isString(value.key);
    case 'homed':
      return isString(value.key) && isString(value.home) && isFiniteNumber(value.startBefore);
    default:
      return false;
  }
};

const isWireCall = (value: unknown): value is WireCall =>
  isObject(value) &&
  [value.id, value.service, value.method, value.path, value.workspace].every(isString) &&
  (value.shard === undefined || isString(value.shard)) &&
  isHeaders(value.headers) &&
  typeof value.idempotent === 'boolean' &&
  isFiniteNumber(value.timeLeft) &&
  isKeyKind(value.key);

const isNodeIdentity = (value: unknown): value is NodeIdentity =>
  isObject(value) &&
  [value.incarnation, value.dataCentre, value.address].every(isString) &&
  [value.callerPort, value.peerPort].every(isFiniteNumber);

const isRefusal = (value: unknown): value is Refusal =>
  isObject(value) &&
  (value.kind === 'not-run' || value.kind === 'unknown') &&
  isString(value.reason) &&
  isFiniteNumber(value.retryAfter);

const isPeerMessage = (value: unknown): value is PeerMessage =>
  isObject(value) && isString(value.topic);

const isCallRole = (value: unknown): value is CallRole =>
  value === 'owner' || value === 'home' || value === 'claimant';

/** Checks, for each kind of frame, whether the other fields are as declared. */
const FIELD_CHECKS: Readonly<Record<Frame['t'], (fields: UnknownObject) => boolean>> = {
  hello: ({ v, node }) => isFiniteNumber(v) && isNodeIdentity(node),
  'refuse-version': ({ v }) => isFiniteNumber(v),
  msg: ({ msg }) => isPeerMessage(msg),
  call: ({ id, role, call }) => isFiniteNumber(id) && isCallRole(role) && isWireCall(call),
  ack: ({ id }) => isFiniteNumber(id),
  data: ({ id, flow, bytes }) =>
    isFiniteNumber(id) && isBodyDirection(flow) && bytes instanceof Uint8Array,
  end: ({ id, flow }) => isFiniteNumber(id) && isBodyDirection(flow),
  broken: ({ id, flow, fault }) => isFiniteNumber(id) && isBodyDirection(flow) && isString(fault),
  credit: ({ id, flow, bytes }) =>
    isFiniteNumber(id) && isBodyDirection(flow) && isFiniteNumber(bytes),
  answer: ({ id, status, headers }) =>
    isFiniteNumber(id) && isFiniteNumber(status) && isHeaders(headers),
  refused: ({ id, outcome }) => isFiniteNumber(id) && isRefusal(outcome),
  cancel: ({ id }) => isFiniteNumber(id),
};

const isFrameKind = (t: unknown): t is Frame['t'] => isString(t) && Object.hasOwn(FIELD_CHECKS, t);

export const encodeFrame = (frame: Frame): Buffer => pack(frame);

/** Decodes a received frame and checks its fields. Never throws. */
export const decodeFrame = (bytes: Uint8Array): Either<FrameError, Frame> => {
  let value: unknown;
  try {
    value = unpack(bytes);
  } catch {
    return Left({ kind: 'frame-not-msgpack' });
  }
  if (!isObject(value) || !isFrameKind(value.t)) {
    return Left({ kind: 'frame-malformed', t: 'unknown' });
  }
  if (!FIELD_CHECKS[value.t](value)) return Left({ kind: 'frame-malformed', t: value.t });
  return Right(value as unknown as Frame);
};
