import { expect } from 'earl';
import { randomBytes } from 'node:crypto';
import { describe, it, mock } from 'node:test';

import {
  encodeFeedFrame,
  FeedFrameDecoder,
  type FeedFrame,
} from '../../src/gateway/feeds/feed-frames';

const VALUE_BYTES = 2 * 2 ** 20;
/** How often each byte of a frame may be copied while it arrives. */
const MAX_COPIES = 4;
/** The largest length of a frame that is taken. */
const MAX_FRAME_BYTES = 8 * 2 ** 20;

const FRAME: FeedFrame = {
  kind: 'page',
  feed: 'config',
  page: {
    isSnapshot: false,
    from: 0,
    position: 1,
    items: [{ key: 'config', value: randomBytes(VALUE_BYTES) }],
  },
};

/** Has copies of buffers end with an exception once they exceed `limit` bytes. */
const limitCopies = (limit: number): { restore(): void } => {
  let sum = 0;
  const note = (bytes: number): void => {
    sum += bytes;
    if (sum > limit) throw new Error(`more than ${limit} bytes are copied`);
  };
  const { concat } = Buffer;
  const join = mock.method(Buffer, 'concat', (parts: readonly Buffer[]) => {
    note(parts.reduce((bytes, part) => bytes + part.length, 0));
    return concat.call(Buffer, parts);
  });
  const original = Buffer.prototype.copy;
  const copy = mock.method(
    Buffer.prototype,
    'copy',
    function copyOf(this: Buffer, ...args: Parameters<Buffer['copy']>) {
      const copied = original.apply(this, args);
      note(copied);
      return copied;
    },
  );
  return {
    restore: () => {
      join.mock.restore();
      copy.mock.restore();
    },
  };
};

/** Returns the frames of a stream that arrives in pieces. */
const decode = (bytes: Buffer, pieceBytes: number): readonly FeedFrame[] => {
  const decoder = new FeedFrameDecoder();
  const frames: FeedFrame[] = [];
  for (let at = 0; at < bytes.length; at += pieceBytes) {
    const pushed = decoder.push(bytes.subarray(at, at + pieceBytes));
    if (!pushed) throw new Error('the stream is malformed');
    frames.push(...pushed);
  }
  return frames;
};

describe('a large frame of a feed that arrives in small pieces', () => {
  [1, 1000].forEach((pieceBytes) =>
    it(`is not copied anew with each piece of ${pieceBytes} bytes`, () => {
      const stream = Buffer.concat([
        encodeFeedFrame({ kind: 'beat' }),
        encodeFeedFrame(FRAME),
        encodeFeedFrame({ kind: 'beat' }),
      ]);
      const copies = limitCopies(MAX_COPIES * stream.length);
      let frames: readonly FeedFrame[] = [];
      try {
        frames = decode(stream, pieceBytes);
      } finally {
        copies.restore();
      }
      expect(frames).toEqual([{ kind: 'beat' }, FRAME, { kind: 'beat' }]);
    }),
  );

  it('is refused by its length before its body arrives', () => {
    const head = Buffer.alloc(4);
    head.writeUInt32BE(MAX_FRAME_BYTES + 1);
    const decoder = new FeedFrameDecoder();
    expect(decoder.push(head.subarray(0, 3))).toEqual([]);
    expect(decoder.push(head.subarray(3))).toEqual(undefined);
  });
});
