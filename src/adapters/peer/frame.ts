/** Frames of the peer link: msgpack maps told apart by `t`, checked on receipt. */
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

/** The link's version; a node refuses a peer whose version it does not know. */
export const PEER_VERSION = 1;

/** The longest frame accepted, in bytes. */
export const MAX_FRAME_BYTES = 1024 * 1024;

/** Which way a body flows: with the call, or with its answer. */
export type Flow = 'up' | 'down';

/** A call as it crosses the link: its deadline becomes the time left. */
export type WireCall = Omit<Call, 'deadline'> & { readonly timeLeft: Millis };

/** One frame. `id` numbers a call on its connection. */
export type Frame =
  | { readonly t: 'hello'; readonly v: number; readonly node: NodeIdentity }
  | { readonly t: 'refuse-version'; readonly v: number }
  | { readonly t: 'msg'; readonly msg: PeerMessage }
  | { readonly t: 'call'; readonly id: number; readonly role: CallRole; readonly call: WireCall }
  | { readonly t: 'ack'; readonly id: number }
  | { readonly t: 'data'; readonly id: number; readonly flow: Flow; readonly bytes: Uint8Array }
  | { readonly t: 'end'; readonly id: number; readonly flow: Flow }
  | { readonly t: 'broken'; readonly id: number; readonly flow: Flow; readonly fault: string }
  | { readonly t: 'credit'; readonly id: number; readonly flow: Flow; readonly bytes: number }
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

/** Why bytes are no frame. */
export type FrameError =
  { readonly kind: 'frame-not-msgpack' } | { readonly kind: 'frame-malformed'; readonly t: string };

const isFlow = (value: unknown): value is Flow => value === 'up' || value === 'down';

const isHeaders = (value: unknown): value is Headers =>
  Array.isArray(value) &&
  value.every((pair) => Array.isArray(pair) && pair.length === 2 && pair.every(isString));

const isKey = (value: unknown): boolean => {
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
  isKey(value.key);

const isNode = (value: unknown): value is NodeIdentity =>
  isObject(value) &&
  [value.incarnation, value.dataCentre, value.address].every(isString) &&
  [value.callerPort, value.peerPort].every(isFiniteNumber);

const isOutcome = (value: unknown): value is Refusal =>
  isObject(value) &&
  (value.kind === 'not-run' || value.kind === 'unknown') &&
  isString(value.reason) &&
  isFiniteNumber(value.retryAfter);

const isMessage = (value: unknown): value is PeerMessage =>
  isObject(value) && isString(value.topic);

const isRole = (value: unknown): value is CallRole =>
  value === 'owner' || value === 'home' || value === 'claimant';

/** For each kind of frame, whether the other fields are as declared. */
const FIELD_CHECKS: Readonly<Record<Frame['t'], (fields: UnknownObject) => boolean>> = {
  hello: ({ v, node }) => isFiniteNumber(v) && isNode(node),
  'refuse-version': ({ v }) => isFiniteNumber(v),
  msg: ({ msg }) => isMessage(msg),
  call: ({ id, role, call }) => isFiniteNumber(id) && isRole(role) && isWireCall(call),
  ack: ({ id }) => isFiniteNumber(id),
  data: ({ id, flow, bytes }) => isFiniteNumber(id) && isFlow(flow) && bytes instanceof Uint8Array,
  end: ({ id, flow }) => isFiniteNumber(id) && isFlow(flow),
  broken: ({ id, flow, fault }) => isFiniteNumber(id) && isFlow(flow) && isString(fault),
  credit: ({ id, flow, bytes }) => isFiniteNumber(id) && isFlow(flow) && isFiniteNumber(bytes),
  answer: ({ id, status, headers }) =>
    isFiniteNumber(id) && isFiniteNumber(status) && isHeaders(headers),
  refused: ({ id, outcome }) => isFiniteNumber(id) && isOutcome(outcome),
  cancel: ({ id }) => isFiniteNumber(id),
};

const isFrameKind = (t: unknown): t is Frame['t'] => isString(t) && Object.hasOwn(FIELD_CHECKS, t);

/** The bytes of one frame. */
export const encodeFrame = (frame: Frame): Buffer => pack(frame);

/** The frame in `bytes`. */
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
