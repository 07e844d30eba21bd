import { expect } from 'earl';
import { describe, it } from 'node:test';

import {
  DEFAULT_LEDGER_LIMITS,
  Ledger,
  entryId,
  formatKeyPrefix,
  parseHomedKey,
} from '../../src/core';
import { notRunOutcome, unknownOutcome } from '../../src/model';

const limits = { ...DEFAULT_LEDGER_LIMITS, startWindow: 1000, retention: 20_000, maxEntries: 2 };
const ref = (key: string, startBefore = 1000, workspace = 'w1') => ({
  workspace,
  key,
  startBefore,
});
const call = (key: string, startBefore = 1000, workspace = 'w1', fingerprint = 'f') =>
  ({ kind: 'call', ref: ref(key, startBefore, workspace), fingerprint }) as const;
const answer = (text: string) =>
  ({ kind: 'answer', status: 200, headers: [], body: new TextEncoder().encode(text) }) as const;
const settle = (key: string, settlement = notRunOutcome('shed'), workspace = 'w1') =>
  ({ kind: 'settle', id: entryId(workspace, key), settlement }) as const;

describe('homed keys', () => {
  it('parses a key with a formatted prefix, and refuses other spellings', () => {
    const key = `${formatKeyPrefix('n1', 35.9, 36)}order.7`;
    expect(parseHomedKey(key).extract()).toEqual({
      kind: 'homed',
      key,
      home: 'n1',
      startBefore: 71,
    });
    ['h1.n1.01z.t', 'h1.n1.1Z.t', 'h1..1.t', 'h1.n1.1.', 'h1.n1.1.a b'].forEach((bad) => {
      expect(parseHomedKey(bad).isLeft()).toEqual(true);
    });
  });
});

describe('Ledger', () => {
  it('starts a key once, lets retries wait for the run in flight, then replays', () => {
    const ledger = Ledger.create(limits, 0);
    expect(ledger.apply(call('a'), 1).kind).toEqual('start');
    expect(ledger.apply(call('a'), 2).kind).toEqual('join');
    ledger.apply({ ...settle('a'), settlement: answer('x') }, 3);
    expect(ledger.apply(call('a'), 4)).toEqual({ kind: 'replay', answer: answer('x') });
    expect(ledger.apply(settle('a'), 5)).toEqual({ kind: 'settled', changed: false });
  });

  it('replays a refusal during the retention, and forgets the key afterwards', () => {
    const ledger = Ledger.create(limits, 0);
    ledger.apply(call('a'), 1);
    ledger.apply(settle('a'), 2);
    const refusal = (now: number) => ledger.apply(call('a'), now);
    expect(refusal(999)).toEqual({ kind: 'refuse', outcome: notRunOutcome('shed') });
    expect(refusal(20_999)).toEqual({ kind: 'refuse', outcome: notRunOutcome('shed') });
    expect(refusal(30_000)).toEqual({ kind: 'refuse', outcome: unknownOutcome('key-forgotten') });
  });

  it('never starts a key past its start deadline', () => {
    const ledger = Ledger.create(limits, 0);
    const verdict = ledger.apply(call('a'), 1000);
    expect(verdict).toEqual({ kind: 'refuse', outcome: notRunOutcome('key-expired') });
  });

  it('keeps refusing a key that it had no room for, and starts keys with later deadlines', () => {
    const ledger = Ledger.create(limits, 0);
    ledger.apply(call('a'), 0);
    ledger.apply(call('b'), 0);
    const refused = ledger.apply(call('c', 30_600), 29_999);
    expect(refused.kind).toEqual('refuse');
    expect(ledger.apply(call('c', 30_600), 30_000).kind).toEqual('refuse');
    expect(ledger.apply(call('d', 30_601), 30_000).kind).toEqual('start');
  });

  it('keeps refusing a key whose start deadline was too far in the future', () => {
    const ledger = Ledger.create(limits, 0);
    expect(ledger.apply(call('a', 9000), 0)).toEqual({
      kind: 'refuse',
      outcome: notRunOutcome('bad-request'),
    });
    expect(ledger.apply(call('a', 9000), 8500)).toEqual({
      kind: 'refuse',
      outcome: notRunOutcome('bad-request'),
    });
  });

  it('separates the keys of workspaces, and refuses another body under a used key', () => {
    const ledger = Ledger.create(limits, 0);
    ledger.apply(call('a'), 1);
    ledger.apply({ ...settle('a'), settlement: answer('x') }, 2);
    expect(ledger.apply(call('a', 1000, 'w2'), 3).kind).toEqual('start');
    const other = ledger.apply(call('a', 1000, 'w1', 'g'), 3);
    expect(other).toEqual({ kind: 'refuse', outcome: notRunOutcome('key-body-mismatch') });
  });

  it('refuses a retry with answer-not-kept when the answer was too large to keep', () => {
    const ledger = Ledger.create({ ...limits, maxBodyBytes: 2 }, 0);
    ledger.apply(call('a'), 1);
    ledger.apply({ ...settle('a'), settlement: answer('long') }, 2);
    const verdict = ledger.apply(call('a'), 3);
    expect(verdict).toEqual({ kind: 'refuse', outcome: unknownOutcome('answer-not-kept') });
  });
});
