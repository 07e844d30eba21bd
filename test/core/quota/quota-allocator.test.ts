import { expect } from 'earl';
import { describe, it } from 'node:test';

import { QuotaAllocator, quotaTermsOf } from '../../../src/core/quota';
import { DEFAULT_BOUNDS } from '../../../src/model';

const TERMS = quotaTermsOf([], { ...DEFAULT_BOUNDS, quotaExcessRatio: 0.1 });
const QUOTA = { rate: 3, burst: 12 };
const ask = (seq: number, count: number, workspace = 'w') => ({
  seq,
  partition: 0,
  workspace,
  count,
  horizon: 0,
});

const createAllocator = (): QuotaAllocator => {
  const allocator = new QuotaAllocator(TERMS, (name) => (name === 'w' ? QUOTA : undefined));
  allocator.begin(0, 0);
  return allocator;
};

describe('the allocator of a partition', () => {
  it('grants nothing twice for a request that comes again', () => {
    const allocator = createAllocator();
    const id = { sender: 'h', seq: 1 };
    const first = allocator.grant(ask(1, 3), id, 10_000);
    expect(first.runs).toEqual([{ count: 3, delay: 0, stepMicros: 0 }]);
    expect(allocator.grant(ask(1, 3), id, 10_100)).toEqual(first);
    const rest = allocator.grant(ask(2, 9), { sender: 'h', seq: 2 }, 10_100);
    expect(rest.outcome).toEqual('short');
    expect(rest.runs).toEqual([{ count: 1, delay: 0, stepMicros: 0 }]);
  });

  it('takes a token back once, and none that it has not granted', () => {
    const allocator = createAllocator();
    const id = { sender: 'h', seq: 1 };
    allocator.grant(ask(1, 4), id, 10_000);
    const back = { seq: 1, first: 1, count: 2 };
    for (let i = 0; i < 3; i++) allocator.takeBack(back, id);
    allocator.takeBack({ seq: 1, first: 4, count: 50 }, id);
    allocator.takeBack({ seq: 9, first: 0, count: 50 }, { sender: 'h', seq: 9 });
    const next = allocator.grant(ask(2, 9), { sender: 'h', seq: 2 }, 10_000);
    expect(next.runs).toEqual([{ count: 2, delay: 0, stepMicros: 0 }]);
  });

  it('tells hosts that it does not know a workspace or partition', () => {
    const allocator = createAllocator();
    const outcomeOf = (one: ReturnType<typeof ask>): string =>
      allocator.grant(one, { sender: 'h', seq: one.seq }, 10_000).outcome;
    expect(outcomeOf(ask(1, 1, 'unknown'))).toEqual('elsewhere');
    expect(outcomeOf({ ...ask(2, 1), partition: 1 })).toEqual('elsewhere');
  });

  it('starts empty, so that all hosts restarted at once grant no burst', () => {
    const allocator = createAllocator();
    expect(allocator.grant(ask(1, 9), { sender: 'h', seq: 1 }, 1).runs).toEqual([]);
  });
});
