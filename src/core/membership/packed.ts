/** Membership messages as nested arrays, which a binary encoding packs without field names. */
import type { NodeIdentity } from '../../model';

import type { MembershipMessage, MemberUpdate } from './messages';

/** Message kinds by their number; the order is part of the format. */
const KINDS = ['ping', 'ack', 'ping-request', 'nack', 'gossip', 'join', 'state'] as const;
/** Member states by their number; the order is part of the format. */
const STATES = ['alive', 'suspect', 'leaving', 'dead'] as const;

const packNode = (node: NodeIdentity): readonly unknown[] => [
  node.incarnation,
  node.dataCentre,
  node.address,
  node.callerPort,
  node.peerPort,
  node.capacity ?? null,
  node.datagramVersion ?? null,
];

const packUpdate = ({ node, state, refutation, by }: MemberUpdate): readonly unknown[] => [
  packNode(node),
  STATES.indexOf(state),
  refutation,
  ...(by === undefined ? [] : [by]),
];

const packFields = (message: MembershipMessage): readonly unknown[] => {
  switch (message.kind) {
    case 'ping': {
      const { seq, from, to, digest, updates } = message;
      return [seq, packUpdate(from), to ?? null, digest, updates.map(packUpdate)];
    }
    case 'ack':
      return [message.seq, message.from, message.updates.map(packUpdate)];
    case 'ping-request':
      return [message.seq, packUpdate(message.from), packNode(message.target)];
    case 'nack':
      return [message.seq, message.from];
    case 'gossip':
      return [message.from, message.updates.map(packUpdate)];
    case 'join':
      return [packUpdate(message.from)];
    case 'state':
      return [message.from, message.replyWanted, message.updates.map(packUpdate)];
  }
};

/** Packs a message: the number of its kind, then its fields. */
export const packMembershipMessage = (message: MembershipMessage): readonly unknown[] => [
  KINDS.indexOf(message.kind),
  ...packFields(message),
];

const listOf = (value: unknown): readonly unknown[] =>
  Array.isArray(value) ? (value as readonly unknown[]) : [];

const unpackNode = (value: unknown): unknown => {
  const [incarnation, dataCentre, address, callerPort, peerPort, capacity, datagramVersion] =
    listOf(value);
  return { incarnation, dataCentre, address, callerPort, peerPort, capacity, datagramVersion };
};

const unpackUpdate = (value: unknown): unknown => {
  const [node, state, refutation, by] = listOf(value);
  return { node: unpackNode(node), state: STATES[Number(state)], refutation, by };
};

const unpackUpdates = (value: unknown): readonly unknown[] => listOf(value).map(unpackUpdate);

/**
 * Unpacks a message; the result has the fields of its kind with unchecked values, and is undefined
 * for an unknown kind. Never throws.
 */
export const unpackMembershipMessage = (value: unknown): unknown => {
  const [number, a, b, c, d, e] = listOf(value);
  const kind = KINDS[Number(number)];
  switch (kind) {
    case 'ping':
      return { kind, seq: a, from: unpackUpdate(b), to: c, digest: d, updates: unpackUpdates(e) };
    case 'ack':
      return { kind, seq: a, from: b, updates: unpackUpdates(c) };
    case 'ping-request':
      return { kind, seq: a, from: unpackUpdate(b), target: unpackNode(c) };
    case 'nack':
      return { kind, seq: a, from: b };
    case 'gossip':
      return { kind, from: a, updates: unpackUpdates(b) };
    case 'join':
      return { kind, from: unpackUpdate(a) };
    case 'state':
      return { kind, from: a, replyWanted: b, updates: unpackUpdates(c) };
    case undefined:
      return undefined;
  }
};
