import { expect } from 'earl';
import { describe, it } from 'node:test';

import { nextHop } from '../../src/core';
import { notRunOutcome, unknownOutcome } from '../../src/model';

describe('the next hop after a refusal', () => {
  it('is a standby when the owner reaches no upstream', () => {
    expect(nextHop(false, notRunOutcome('no-upstream'), false).kind).toEqual('standby');
  });

  it('is none for a non-idempotent request that may have run', () => {
    expect(nextHop(false, unknownOutcome('peer-lost'), false).kind).toEqual('none');
    expect(nextHop(true, unknownOutcome('peer-lost'), false).kind).toEqual('standby-by-budget');
  });

  it('distinguishes a failed connection to the node from one to the upstream', () => {
    expect(nextHop(false, notRunOutcome('connect-failed'), true).kind).toEqual('standby');
    expect(nextHop(false, notRunOutcome('connect-failed'), false).kind).toEqual('none');
  });
});
