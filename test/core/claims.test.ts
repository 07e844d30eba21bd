import { expect } from 'earl';
import { describe, it } from 'node:test';

import { ClaimRange, DEFAULT_CLAIM_LIMITS, DEFAULT_LEDGER_LIMITS, Ledger } from '../../src/core';
import { unknownOutcome } from '../../src/model';

const at = { now: 0, wall: 0 };

describe('ClaimRange', () => {
  it('does not answer not-run to another body under a key that is not claimed yet', () => {
    const ledger = Ledger.create(DEFAULT_LEDGER_LIMITS, 0);
    const range = new ClaimRange('n1', DEFAULT_CLAIM_LIMITS, ledger);
    const call = { workspace: 'w', key: 'k', digest: 'd', deadline: 9, attempt: 1 };
    range.apply({ kind: 'call', call: { ...call, callId: '1', fingerprint: 'a' } }, at);
    const other = { ...call, callId: '2', fingerprint: 'b' };
    expect(range.apply({ kind: 'call', call: other }, at)).toEqual([
      { kind: 'refuse', callId: '2', outcome: unknownOutcome('in-flight') },
    ]);
  });
});
