import { expect } from 'earl';
import { describe, it } from 'node:test';

import { nextHop } from '../../src/core';
import { notRunOutcome, unknownOutcome } from '../../src/model';

describe('the next hop after a refusal', () => {
  it('is a standby where the owner reaches none of its upstreams', () => {
    expect(nextHop(false, notRunOutcome('no-upstream'), false).kind).toEqual('standby');
  });

  it('is none for a request that may have run and must not again', () => {
    expect(nextHop(false, unknownOutcome('peer-lost'), false).kind).toEqual('none');
    expect(nextHop(true, unknownOutcome('peer-lost'), false).kind).toEqual('standby-by-budget');
  });

  it('tells a link that could not be made from an upstream that could not be reached', () => {
    expect(nextHop(false, notRunOutcome('connect-failed'), true).kind).toEqual('standby');
    expect(nextHop(false, notRunOutcome('connect-failed'), false).kind).toEqual('none');
  });
});
