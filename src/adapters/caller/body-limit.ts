/** Limits the length of callers' request bodies. */
import type { IncomingMessage } from 'node:http';
import { pipeline, Transform, type Readable } from 'node:stream';

import { BodyError } from '../../model';

/** Returns whether the request announces a body longer than `maxBytes`. */
export const isAnnouncedTooLarge = (req: IncomingMessage, maxBytes: number): boolean =>
  Number(req.headers['content-length'] ?? 0) > maxBytes;

/**
 * Returns the request's body. A chunked body, whose length is not announced, fails with a
 * `cancelled` BodyError once it exceeds `maxBytes`.
 */
export const limitedBody = (req: IncomingMessage, maxBytes: number): Readable => {
  if (req.headers['transfer-encoding'] === undefined) return req;
  let length = 0;
  const limiter = new Transform({
    transform(chunk: Buffer, _encoding, done) {
      length += chunk.length;
      if (length > maxBytes) done(new BodyError('cancelled'));
      else done(null, chunk);
    },
  });
  pipeline(req, limiter, () => {});
  return limiter;
};
