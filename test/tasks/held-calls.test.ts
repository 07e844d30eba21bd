import { expect } from 'earl';
import { describe, it } from 'node:test';

import type { Call } from '../../src/model';
import { HeldCalls } from '../../src/tasks/held-calls';

const CALL_TIMEOUT_MS = 60_000;

describe('a held call', () => {
  it('ends at once if its caller has left before it was held', async () => {
    const clock = { now: () => performance.now(), wall: () => 0 };
    const calls = new HeldCalls(clock, () => Promise.reject(new Error('not run')), 1024);
    const caller = new AbortController();
    caller.abort();
    const call = { deadline: clock.now() + CALL_TIMEOUT_MS } as Call;
    const left = await new Promise((resolve) => {
      calls.hold(call, Buffer.alloc(0), caller.signal, resolve);
    });
    expect(left).toEqual('1');
  });
});
