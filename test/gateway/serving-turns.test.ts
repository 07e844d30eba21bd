import { expect } from 'earl';
import { describe, it } from 'node:test';

import { ServingTurns } from '../../src/gateway/arriving/serving-turns';

import { turns } from './caller-server-scene';

/** Counts turns of the event loop, from 0; immediates of one turn see the same number. */
const countTurns = (): { readonly now: () => number; readonly stop: () => void } => {
  let turn = 0;
  let isOn = true;
  const count = (): void => {
    turn += 1;
    if (isOn) setImmediate(count);
  };
  setImmediate(count);
  return {
    now: () => turn,
    stop: () => {
      isOn = false;
    },
  };
};

describe('ServingTurns', () => {
  const serveAll = async (
    count: number,
    hasLeft: (i: number) => boolean,
    takenAt: (turn: number) => number = () => 0,
  ) => {
    const clock = countTurns();
    const serving = new ServingTurns(() => takenAt(clock.now()));
    const served: { readonly request: number; readonly turn: number }[] = [];
    const readAt = clock.now();
    for (let i = 0; i < count; i++) {
      serving.add(() => {
        if (hasLeft(i)) return false;
        served.push({ request: i, turn: clock.now() - readAt });
        return true;
      });
    }
    await turns(count + 40);
    clock.stop();
    return served;
  };

  /** Guards against new connections that wait while each turn serves all that it has read. */
  it('serves one request in each turn of the event loop, in order', async () => {
    const served = await serveAll(6, () => false);
    expect(served.map(({ request }) => request)).toEqual([0, 1, 2, 3, 4, 5]);
    expect(new Set(served.map(({ turn }) => turn)).size).toEqual(6);
  });

  it('serves none before the sockets have been polled again', async () => {
    const [first] = await serveAll(1, () => false);
    expect(first?.turn).toEqual(2);
  });

  /** Guards against connections that wait unseen while requests are served. */
  it('serves none in turns that take a connection, until none waits', async () => {
    const served = await serveAll(
      2,
      () => false,
      (turn) => Math.min(turn, 8),
    );
    expect(served.map(({ turn }) => turn)).toEqual([9, 10]);
  });

  it('serves one now and then while connections never cease', async () => {
    const served = await serveAll(
      2,
      () => false,
      (turn) => turn,
    );
    expect(served.map(({ turn }) => turn)).toEqual([16, 32]);
  });

  it('passes over requests whose callers have left', async () => {
    const served = await serveAll(6, (i) => i < 4);
    expect(served.map(({ request }) => request)).toEqual([4, 5]);
    expect(served[0]?.turn).toEqual(2);
  });

  it('parses one request in each turn beside the one that it serves, in order', async () => {
    const clock = countTurns();
    const serving = new ServingTurns();
    const parsed: { readonly request: number; readonly turn: number }[] = [];
    for (let i = 0; i < 6; i++) {
      serving.add(() => true);
      serving.addReading(() => {
        // One whose connection has closed has nothing to be parsed.
        if (i === 2) return false;
        parsed.push({ request: i, turn: clock.now() });
        return true;
      });
    }
    await turns(40);
    clock.stop();
    expect(parsed.map(({ request }) => request)).toEqual([0, 1, 3, 4, 5]);
    expect(new Set(parsed.map(({ turn }) => turn)).size).toEqual(5);
  });
});
