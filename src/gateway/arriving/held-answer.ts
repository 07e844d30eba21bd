import type { Readable } from 'node:stream';

import { HeldBytes } from '../../adapters/held-bytes';
import { MAX_WHOLE_ANSWER_BYTES } from '../../core/gateway';

import { AnswerStream } from '../sending';

/** The body of an answer that was held until its end. */
export type HeldBody =
  | { readonly kind: 'whole'; readonly stream: Readable }
  /** It has broken off or can't be held. */
  | { readonly kind: 'failed'; readonly why: string };

/**
 * Reads a body to its end. `claim` counts the bytes that are about to be held, and returns false if
 * there is no memory for them; the body is then destroyed.
 */
export const holdUntilWhole = async (
  stream: Readable,
  claim: (bytes: number) => boolean,
): Promise<HeldBody> => {
  const held = new HeldBytes();
  try {
    for await (const chunk of stream as AsyncIterable<Buffer>) {
      const size = held.length + chunk.length;
      if (size > MAX_WHOLE_ANSWER_BYTES) return { kind: 'failed', why: 'answer-too-large' };
      if (!claim(size)) return { kind: 'failed', why: 'memory-short' };
      held.push(chunk);
    }
  } catch {
    return { kind: 'failed', why: stream.errored?.message ?? 'closed' };
  }
  const whole = new AnswerStream(held);
  whole.finish();
  return { kind: 'whole', stream: whole };
};
