/** Reading of bodies into memory, up to a size limit. */
import { Readable } from 'node:stream';

import { BufferedBody, type Payload } from '../ports';

/** Yields the chunks already read, then the rest of the stream. */
async function* concatenate(
  head: readonly Buffer[],
  rest: AsyncIterator<Buffer>,
): AsyncGenerator<Buffer> {
  yield* head;
  for (;;) {
    const { done, value } = await rest.next();
    if (done) return;
    yield value;
  }
}

/**
 * Reads a body into memory if it has at most `limit` bytes; otherwise returns a stream of all its
 * bytes. Rejects with the stream's error if it fails before either is known.
 */
export const readUpTo = async (body: Readable, limit: number): Promise<Payload> => {
  if (body instanceof BufferedBody && body.bytes.length <= limit) {
    body.destroy();
    return { kind: 'whole', bytes: body.bytes };
  }
  const chunks: Buffer[] = [];
  let length = 0;
  const iterator = body[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
  while (length <= limit) {
    const { done, value } = await iterator.next();
    if (done) return { kind: 'whole', bytes: Buffer.concat(chunks) };
    chunks.push(value);
    length += value.length;
  }
  const stream = Readable.from(concatenate(chunks, iterator), { objectMode: false });
  stream.on('close', () => body.destroy());
  return { kind: 'stream', stream };
};

/** Returns a payload as a stream, for the next hop. */
export const toStream = (payload: Payload): Readable =>
  payload.kind === 'whole' ? new BufferedBody(payload.bytes) : payload.stream;
