/** Encoding of the questions and replies with which gateways prove their keys to each other. */
import type { ProofReply } from '../../core/freshness';
import { isCount, isFiniteNumber, isObject } from '../../model';

import { decodePeerAddress, type PeerAddress } from './peer-address';

/** A question of the gateway at `from`, or the reply to it; `nonce` connects the two. */
export type FreshnessMessage =
  | { readonly kind: 'ask'; readonly nonce: number; readonly from: PeerAddress }
  | ({ readonly kind: 'proof'; readonly nonce: number } & ProofReply);

/** Nonces are below this number, so that they are safe integers and take few bytes. */
const NONCE_COUNT = 2 ** 48;

export const drawNonce = (random: () => number): number => Math.floor(random() * NONCE_COUNT);

/** Decodes a message of topic `freshness`; undefined if it is malformed. */
export const decodeFreshnessMessage = (body: unknown): FreshnessMessage | undefined => {
  if (!isObject(body) || !isCount(body.nonce)) return undefined;
  const { kind, nonce, from, position, age } = body;
  if (kind === 'proof') {
    if (!isCount(position)) return undefined;
    if (age === undefined || age === null) return { kind, nonce, position };
    return isFiniteNumber(age) && age >= 0 ? { kind, nonce, position, age } : undefined;
  }
  const asker = decodePeerAddress(from);
  return kind === 'ask' && asker ? { kind, nonce, from: asker } : undefined;
};
