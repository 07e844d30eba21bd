import { expect } from 'earl';
import { describe, it } from 'node:test';

import {
  answerPassingOf,
  MAX_WHOLE_ANSWER_BYTES,
  type PassedAnswer,
} from '../../../src/core/gateway';

const STREAMED: PassedAnswer = { isFramed: true, isWhole: false, size: 0, hasServedBehind: true };

/** Guards against requests that run and lose their answers to one that breaks off before them. */
describe('how an answer is passed on', () => {
  it('is once whole if it may break off before requests that are served', () => {
    [0, 1, MAX_WHOLE_ANSWER_BYTES].forEach((size) =>
      expect(answerPassingOf({ ...STREAMED, size })).toEqual({ kind: 'once-whole' }),
    );
  });

  it('is not at all if it is too large to hold, or ends with the connection of those behind it', () => {
    expect(answerPassingOf({ ...STREAMED, size: MAX_WHOLE_ANSWER_BYTES + 1 })).toEqual({
      kind: 'given-up',
      why: 'answer-too-large',
    });
    [true, false].forEach((isWhole) =>
      expect(answerPassingOf({ ...STREAMED, isFramed: false, isWhole })).toEqual({
        kind: 'given-up',
        why: 'unframed',
      }),
    );
  });

  it('is as it comes if it is whole, of whatever size, or nothing behind it is served', () => {
    const size = 2 * MAX_WHOLE_ANSWER_BYTES;
    expect(answerPassingOf({ ...STREAMED, isWhole: true, size })).toEqual({ kind: 'as-it-comes' });
    [true, false].forEach((isFramed) =>
      expect(answerPassingOf({ ...STREAMED, isFramed, size, hasServedBehind: false })).toEqual({
        kind: 'as-it-comes',
      }),
    );
  });
});
