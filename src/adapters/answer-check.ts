/** Checks that an upstream's answer is complete and belongs to the request that was sent. */
import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { Transform } from 'node:stream';

import { BodyError } from '../model';

import { HEADER } from './headers';

/**
 * Returns whether the end of the body can be told from a lost connection: the answer gives a
 * length, is chunked, or has no body at all.
 */
export const isFramed = (res: IncomingMessage, method: string): boolean => {
  const bodiless = method === 'HEAD' || res.statusCode === 204 || res.statusCode === 304;
  if (bodiless) return true;
  const chunked = (res.headers['transfer-encoding'] ?? '').toLowerCase().includes('chunked');
  return chunked || res.headers['content-length'] !== undefined;
};

/** The range of statuses of answers that are not interim. */
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;

/** Returns whether the status of the answer is one that may be passed on. */
export const hasFinalStatus = ({ statusCode = 0 }: IncomingMessage): boolean =>
  statusCode >= MIN_FINAL_STATUS && statusCode <= MAX_STATUS;

/**
 * Returns whether the answer carries the id of another request. An upstream may leave the id out,
 * which counts as a match.
 */
export const isForAnotherRequest = (res: IncomingMessage, requestId: string): boolean => {
  const echoed = res.headers[HEADER.requestId];
  return echoed !== undefined && echoed !== requestId;
};

/** Returns the SHA-256 digest of a `Content-Digest` header in base64; undefined if it has none. */
export const sha256DigestOf = (res: IncomingMessage): string | undefined => {
  const header = res.headers[HEADER.contentDigest];
  if (typeof header !== 'string') return undefined;
  return /sha-256=:([A-Za-z0-9+/=]+):/.exec(header)?.[1];
};

/**
 * Returns a stream that passes a body on and fails with a `mismatched` BodyError if its SHA-256
 * differs from `expected` (base64). The last chunk is withheld until the digest has been checked,
 * so that a reader that counts bytes never takes a corrupt body for a complete one.
 */
export const createDigestCheck = (expected: string): Transform => {
  const hash = createHash('sha256');
  let withheld: Buffer | undefined;
  return new Transform({
    transform(chunk: Buffer, _encoding, done) {
      hash.update(chunk);
      if (withheld) this.push(withheld);
      withheld = chunk;
      done();
    },
    flush(done) {
      if (hash.digest('base64') !== expected) {
        done(new BodyError('mismatched'));
        return;
      }
      if (withheld) this.push(withheld);
      done();
    },
  });
};
