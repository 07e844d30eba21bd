import { Left, type Either } from 'purify-ts';

import type { NodeAddress, Tip } from '../../model';

import {
  decodeMessage,
  type ConfigMessage,
  type MessageError,
  type ConfigPosition,
} from './message';

/** Tags of the frequent messages, which are sent as arrays of a tag and the fields in order. */
const DIGEST_TAG = 0;
const ANSWER_TAG = 1;

const packTip = ({ version, chain, through }: Tip): readonly unknown[] => [version, chain, through];

const packPosition = (position: ConfigPosition): readonly unknown[] => [
  ...packTip(position.tip),
  position.wordAge,
  position.covered,
  position.checkpointAge,
];

const packAddress = ({ address, callerPort, peerPort }: NodeAddress): readonly unknown[] => [
  address,
  callerPort,
  peerPort,
];

const unpackPosition = (fields: readonly unknown[]): unknown => {
  const [version, chain, through, wordAge, covered, checkpointAge] = fields;
  return { tip: { version, chain, through }, wordAge, covered, checkpointAge };
};

const unpackDigest = (fields: readonly unknown[]): unknown => {
  const [address, callerPort, peerPort, nonce, ...standing] = fields;
  const from = { address, callerPort, peerPort };
  return { kind: 'digest', from, nonce, standing: unpackPosition(standing) };
};

const unpackAnswer = (fields: readonly unknown[]): unknown => {
  const [nonce, ...standing] = fields;
  return { kind: 'answer', nonce, standing: unpackPosition(standing) };
};

/** Returns the body of a peer message on topic `config`. */
export const packMessage = (message: ConfigMessage): unknown => {
  switch (message.kind) {
    case 'digest': {
      const { from, nonce, standing } = message;
      return [DIGEST_TAG, ...packAddress(from), nonce, ...packPosition(standing)];
    }
    case 'answer':
      return [ANSWER_TAG, message.nonce, ...packPosition(message.standing)];
    case 'want-changes':
    case 'changes':
    case 'want-part':
    case 'part':
      return message;
  }
};

/** Decodes the body of a peer message on topic `config`; its error is `malformed-message`. */
export const unpackMessage = (body: unknown): Either<MessageError, ConfigMessage> => {
  if (!Array.isArray(body)) return decodeMessage(body);
  const [tag, ...fields] = body as readonly unknown[];
  if (tag === DIGEST_TAG) return decodeMessage(unpackDigest(fields));
  if (tag === ANSWER_TAG) return decodeMessage(unpackAnswer(fields));
  return Left({ kind: 'malformed-message' });
};
