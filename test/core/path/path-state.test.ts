import { expect } from 'earl';
import { describe, it } from 'node:test';

import { PathState } from '../../../src/core/path';

const CUT = { reachable: 0, unreachable: 4 };

describe('what a host believes of its own path', () => {
  it('is cut only if several upstreams are unreachable and none is reachable', () => {
    expect(new PathState().applyCheck({ reachable: 1, unreachable: 3 }, 0)).toEqual(undefined);
    expect(new PathState().applyCheck({ reachable: 0, unreachable: 1 }, 0)).toEqual(undefined);
    expect(new PathState().applyCheck({ reachable: 0, unreachable: 0 }, 0)).toEqual(undefined);
    expect(new PathState().applyCheck(CUT, 0)).toEqual({ kind: 'cut' });
  });

  it('is good again once two upstreams are reachable, or the only one', () => {
    const state = new PathState();
    state.applyCheck(CUT, 0);
    expect(state.applyCheck({ reachable: 1, unreachable: 3 }, 300)).toEqual(undefined);
    expect(state.isCut).toEqual(true);
    expect(state.applyCheck({ reachable: 2, unreachable: 2 }, 600)).toEqual({
      kind: 'restored',
      cutSince: 0,
    });
    state.applyCheck(CUT, 20_000);
    expect(state.applyCheck({ reachable: 1, unreachable: 0 }, 20_300)?.kind).toEqual('restored');
  });

  it('is checked ever less often while it flaps, up to a maximum', () => {
    const state = new PathState();
    const delays: number[] = [];
    let now = 0;
    for (let i = 0; i < 6; i++) {
      state.applyCheck(CUT, now);
      let delay = 0;
      while (!state.mayCheck(now + delay)) delay += 100;
      delays.push(delay);
      now += delay;
      state.applyCheck({ reachable: 4, unreachable: 0 }, now);
      now += 1000;
    }
    expect(delays).toEqual([200, 400, 800, 1600, 1600, 1600]);
  });
});
