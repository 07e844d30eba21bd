/** Encoding of the questions and replies with which gateways prove their keys to each other. */
import { isIP } from 'node:net';

import type { ProofReply } from '../../core/freshness';
import { isCount, isFiniteNumber, isObject, isString } from '../../model';

import type { PeerAddress } from './peer-link';

/** A question of the gateway at `from`, or the reply to it; `nonce` connects the two. */
export type FreshnessMessage =
  | { readonly kind: 'ask'; readonly nonce: number; readonly from: PeerAddress }
  | ({ readonly kind: 'proof'; readonly nonce: number } & ProofReply);

/** Nonces are below this number, so that they are safe integers and take few bytes. */
const NONCE_COUNT = 2 ** 48;
const MAX_PORT = 65_535;

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
  if (kind !== 'ask' || !isObject(from)) return undefined;
  const { address, peerPort, datagramVersion } = from;
  if (!isString(address) || isIP(address) === 0) return undefined;
  if (!isCount(peerPort) || peerPort === 0 || peerPort > MAX_PORT) return undefined;
  const version = isCount(datagramVersion) ? { datagramVersion } : {};
  return { kind, nonce, from: { address, peerPort, ...version } };
};
