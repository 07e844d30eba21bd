/**
 * Bundles: large bodies that are the same at every upstream, so that a download can resume at
 * another.
 */
import { createHash } from 'node:crypto';
import type { IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import { Readable } from 'node:stream';

import { seededRandom } from '../random-source';

const BLOCK_BYTES = 64 * 1024;
const BLOCK_SEED = 77;
const RANGE_HEADER = /^bytes=(\d*)-(\d*)$/;

/** Returns one block of pseudo-random bytes, the same in each process. */
const patternBlock = (): Buffer => {
  const { next } = seededRandom(BLOCK_SEED);
  return Buffer.from(Array.from({ length: BLOCK_BYTES }, () => Math.floor(next() * 256)));
};

const PATTERN_BLOCK = patternBlock();

/** Returns the pattern block that starts with the block's number, so that no two are equal. */
const numberedBlock = (index: number): Buffer => {
  const bytes = Buffer.from(PATTERN_BLOCK);
  bytes.writeUInt32BE(index, 0);
  return bytes;
};

/** Yields the bytes of any bundle from offset `start` up to, not including, `end`. */
export function* bundleBlocks(start: number, end: number): Generator<Buffer> {
  let at = start;
  while (at < end) {
    const offset = at % BLOCK_BYTES;
    const length = Math.min(BLOCK_BYTES - offset, end - at);
    yield numberedBlock(Math.floor(at / BLOCK_BYTES)).subarray(offset, offset + length);
    at += length;
  }
}

/** Returns the SHA-256, in hex, of the bundle of this size. */
export const bundleHash = (bytes: number): string => {
  const hash = createHash('sha256');
  for (const chunk of bundleBlocks(0, bytes)) hash.update(chunk);
  return hash.digest('hex');
};

export const bundleETag = (bytes: number): string => `"bundle-${bytes}"`;

/** Status, headers and byte range of the answer to a request for a bundle. */
export interface BundleAnswer {
  readonly status: 200 | 206 | 416;
  readonly headers: OutgoingHttpHeaders;
  readonly start: number;
  /** Offset after the last byte that is sent. */
  readonly end: number;
}

/** Returns the start and the exclusive end of the wanted range; undefined when all is wanted. */
const requestedRange = (req: IncomingMessage, bytes: number): [number, number] | undefined => {
  const ifRange = req.headers['if-range'];
  if (ifRange !== undefined && ifRange !== bundleETag(bytes)) return undefined;
  const match = RANGE_HEADER.exec(req.headers.range ?? '');
  if (!match) return undefined;
  const [, first = '', last = ''] = match;
  if (first === '' && last === '') return undefined;
  if (first === '') return [Math.max(0, bytes - Number(last)), bytes];
  return [Number(first), last === '' ? bytes : Math.min(bytes, Number(last) + 1)];
};

/** Returns the answer to a request for a bundle of this size; honours Range and If-Range. */
export const bundleAnswer = (req: IncomingMessage, bytes: number): BundleAnswer => {
  const headers = {
    'content-type': 'application/octet-stream',
    'accept-ranges': 'bytes',
    etag: bundleETag(bytes),
  };
  const range = requestedRange(req, bytes);
  if (!range)
    return {
      status: 200,
      headers: { ...headers, 'content-length': bytes },
      start: 0,
      end: bytes,
    };
  const [start, end] = range;
  if (start >= end)
    return {
      status: 416,
      headers: { ...headers, 'content-range': `bytes */${bytes}`, 'content-length': 0 },
      start: 0,
      end: 0,
    };
  return {
    status: 206,
    headers: {
      ...headers,
      'content-range': `bytes ${start}-${end - 1}/${bytes}`,
      'content-length': end - start,
    },
    start,
    end,
  };
};

/** Returns a stream of a bundle's bytes from `start` up to, not including, `end`. */
export const bundleStream = (start: number, end: number): Readable =>
  Readable.from(bundleBlocks(start, end), { objectMode: false });
