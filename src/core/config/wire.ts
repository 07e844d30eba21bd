import { Left, type Either } from 'purify-ts';

import type { NodeAddress, Tip } from '../../model';

import {
  decodeMessage,
  type ConfigMessage,
  type MessageError,
  type ConfigPosition,
} from './message';

/** The frequent messages travel as arrays: a tag, then the fields in order. */
const DIGEST = 0;
const ANSWER = 1;

const packTip = ({ version, chain, through }: Tip): readonly unknown[] => [version, chain, through];

const packPosition = (standing: ConfigPosition): readonly unknown[] => [
  ...packTip(standing.tip),
  standing.wordAge,
  standing.covered,
  standing.checkpointAge,
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

/** The body of a peer message of topic `config`. */
export const packMessage = (message: ConfigMessage): unknown => {
  switch (message.kind) {
    case 'digest': {
      const { from, nonce, standing } = message;
      return [DIGEST, ...packAddress(from), nonce, ...packPosition(standing)];
    }
    case 'answer':
      return [ANSWER, message.nonce, ...packPosition(message.standing)];
    case 'want-changes':
    case 'changes':
    case 'want-part':
    case 'part':
      return message;
  }
};

/** Checks the body of a peer message of topic `config`. */
export const unpackMessage = (body: unknown): Either<MessageError, ConfigMessage> => {
  if (!Array.isArray(body)) return decodeMessage(body);
  const [tag, ...fields] = body as readonly unknown[];
  if (tag === DIGEST) return decodeMessage(unpackDigest(fields));
  if (tag === ANSWER) return decodeMessage(unpackAnswer(fields));
  return Left({ kind: 'malformed-message' });
};
