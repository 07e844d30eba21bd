/** Long answers that go on from another upstream where they broke off. */
import { createHash } from 'node:crypto';
import { Readable } from 'node:stream';

import { BodyError, bodyFaultOf, type Headers } from '../model';

const MOST_RESUMPTIONS = 5;

/** What must hold of the rest of an answer for it to be the same document's. */
export interface Validator {
  /** A strong entity tag, as in the header. */
  readonly etag: string;
  /** The length of the whole document in bytes. */
  readonly length: number;
  /** SHA-256 of the whole document in base64, when the upstream gave it. */
  readonly digest: string | undefined;
}

const headerOf = (headers: Headers, name: string): string | undefined =>
  headers.find(([key]) => key === name)?.[1];

/** The validator of a whole answer; none when a part could not be told to belong to it. */
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

/** The headers that ask for a document from an offset on, if it is still the same. */
export const rangeHeaders = (headers: Headers, { etag }: Validator, from: number): Headers => [
  ...headers.filter(([name]) => name !== 'range' && name !== 'if-range'),
  ['range', `bytes=${from}-`],
  ['if-range', etag],
];

/** Whether an answer is the rest of the document from an offset on. */
export const isRest = (
  status: number,
  headers: Headers,
  { etag, length }: Validator,
  from: number,
): boolean =>
  status === 206 &&
  headerOf(headers, 'etag') === etag &&
  headerOf(headers, 'content-range') === `bytes ${from}-${length - 1}/${length}`;

const isOurDoing = (err: unknown): boolean => {
  const fault = bodyFaultOf(err);
  return fault === 'cancelled' || fault === 'timeout';
};

/** Yields the document's bytes; the last piece only once the whole has its length and digest. */
async function* goOn(
  first: Readable,
  { length, digest }: Validator,
  restFrom: (offset: number) => Promise<Readable | undefined>,
): AsyncGenerator<Buffer> {
  const hash = createHash('sha256');
  let body = first;
  let offset = 0;
  let held: Buffer | undefined;
  for (let resumptions = 0; ; resumptions++) {
    try {
      for await (const chunk of body) {
        if (held) yield held;
        held = chunk as Buffer;
        offset += held.length;
        if (digest !== undefined) hash.update(held);
      }
      break;
    } catch (err) {
      if (isOurDoing(err) || resumptions >= MOST_RESUMPTIONS) throw err;
      const rest = await restFrom(offset);
      if (!rest) throw err;
      body = rest;
    }
  }
  if (offset !== length) throw new BodyError('truncated');
  if (digest !== undefined && hash.digest('base64') !== digest) throw new BodyError('mismatched');
  if (held) yield held;
}

/**
 * A document's body that, when it breaks off, goes on with what `restFrom` fetches for the
 * offset reached. Errors when there is no rest to be had; never ends short.
 */
export const resumable = (
  first: Readable,
  validator: Validator,
  restFrom: (offset: number) => Promise<Readable | undefined>,
): Readable => {
  const body = Readable.from(goOn(first, validator, restFrom), { objectMode: false });
  body.on('close', () => first.destroy());
  body.on('error', () => {});
  return body;
};
