import { expect } from 'earl';
import { describe, it } from 'node:test';

import { isOwnAnswer } from '../../scripts/own-answer';

describe('the check of an upstream’s answer in the demo', () => {
  it('accepts the answer to the same path and body, and no other', () => {
    const bodyHash = '44136fa355b3678a1146ad16f7e8649e94fb4fc21fe77e8310c060f61caaff8a';
    const answer = Buffer.from(JSON.stringify({ path: '/a', bodyHash }));
    expect(isOwnAnswer(answer, '/a', '{}')).toEqual(true);
    expect(isOwnAnswer(answer, '/b', '{}')).toEqual(false);
    expect(isOwnAnswer(answer, '/a', '[]')).toEqual(false);
  });

  it('refuses an answer that is no JSON object', () => {
    expect(isOwnAnswer(Buffer.from('<html>'), '/a', '')).toEqual(false);
    expect(isOwnAnswer(Buffer.from('null'), '/a', '')).toEqual(false);
  });
});
