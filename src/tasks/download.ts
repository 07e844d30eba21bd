/** Resumption of long answers from another upstream by range requests. */
import { createHash } from 'node:crypto';
import { Readable } from 'node:stream';

import { BodyError, bodyFaultOf, type Headers } from '../model';

const MAX_RESUMPTION_COUNT = 5;

/** Identifies a document, so that a remainder from another upstream can be checked against it. */
export interface Validator {
  /** Strong entity tag, with its quotes. */
  readonly etag: string;
  /** Length of the whole document in bytes. */
  readonly length: number;
  /** SHA-256 of the whole document in base64, if the upstream sent it. */
  readonly digest: string | undefined;
}

const headerOf = (headers: Headers, name: string): string | undefined =>
  headers.find(([key]) => key === name)?.[1];

/**
 * Returns the validator of a complete answer; undefined when a remainder could not be checked
 * against it.
 */
export const validatorOf = (status: number, headers: Headers): Validator | undefined => {
  const etag = headerOf(headers, 'etag');
  const length = Number(headerOf(headers, 'content-length') ?? NaN);
  const ranges = headerOf(headers, 'accept-ranges');
  const isStrong = etag !== undefined && /^"[^"]*"$/.test(etag);
  if (status !== 200 || !isStrong || !Number.isSafeInteger(length) || ranges === 'none') {
    return undefined;
  }
  const digest = /sha-256=:([A-Za-z0-9+/=]+):/.exec(headerOf(headers, 'content-digest') ?? '')?.[1];
  return { etag, length, digest };
};

/** Returns request headers that ask for a document's bytes from `from` on, if it is unchanged. */
export const rangeHeaders = (headers: Headers, { etag }: Validator, from: number): Headers => [
  ...headers.filter(([name]) => name !== 'range' && name !== 'if-range'),
  ['range', `bytes=${from}-`],
  ['if-range', etag],
];

/** Returns whether an answer is the document's remainder from byte `from` on. */
export const isRemainder = (
  status: number,
  headers: Headers,
  { etag, length }: Validator,
  from: number,
): boolean =>
  status === 206 &&
  headerOf(headers, 'etag') === etag &&
  headerOf(headers, 'content-range') === `bytes ${from}-${length - 1}/${length}`;

/** Returns whether a body failed because this side cancelled it or timed out. */
const isLocalAbort = (err: unknown): boolean => {
  const fault = bodyFaultOf(err);
  return fault === 'cancelled' || fault === 'timeout';
};

/**
 * Yields the document's bytes. Holds the last chunk back until the length and digest of the whole
 * are verified; throws a BodyError if they differ.
 */
async function* readWithResumption(
  first: Readable,
  { length, digest }: Validator,
  fetchRest: (offset: number) => Promise<Readable | undefined>,
): AsyncGenerator<Buffer> {
  const hash = createHash('sha256');
  let body = first;
  let offset = 0;
  let heldBack: Buffer | undefined;
  for (let resumptions = 0; ; resumptions++) {
    try {
      for await (const chunk of body) {
        if (heldBack) yield heldBack;
        heldBack = chunk as Buffer;
        offset += heldBack.length;
        if (digest !== undefined) hash.update(heldBack);
      }
      break;
    } catch (err) {
      if (isLocalAbort(err) || resumptions >= MAX_RESUMPTION_COUNT) throw err;
      const rest = await fetchRest(offset);
      if (!rest) throw err;
      body = rest;
    }
  }
  if (offset !== length) throw new BodyError('truncated');
  if (digest !== undefined && hash.digest('base64') !== digest) throw new BodyError('mismatched');
  if (heldBack) yield heldBack;
}

/**
 * Returns a document's body that, when it breaks off, continues with what `fetchRest` fetches from
 * the offset reached. The stream fails if there is no remainder; it never ends early.
 */
export const resumable = (
  first: Readable,
  validator: Validator,
  fetchRest: (offset: number) => Promise<Readable | undefined>,
): Readable => {
  const body = Readable.from(readWithResumption(first, validator, fetchRest), {
    objectMode: false,
  });
  body.on('close', () => first.destroy());
  body.on('error', () => {});
  return body;
};
