/** Bodies read into memory as far as a bound. */
import { Readable } from 'node:stream';

import { BufferedBody, type Payload } from '../ports';

/** Yields what was read ahead, then the rest. */
async function* chain(
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
 * Reads a body whole when it has at most `limit` bytes, else as a stream with what was read put
 * back in front. Rejects with the stream's error when it breaks off before that.
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
  const stream = Readable.from(chain(chunks, iterator), { objectMode: false });
  stream.on('close', () => body.destroy());
  return { kind: 'stream', stream };
};

/** A payload as a stream, for the next hop. */
export const toStream = (payload: Payload): Readable =>
  payload.kind === 'whole' ? new BufferedBody(payload.bytes) : payload.stream;
