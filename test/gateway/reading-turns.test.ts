import { expect } from 'earl';
import { describe, it, mock } from 'node:test';
import { setImmediate as turn } from 'node:timers/promises';

import { ReadingTurns } from '../../src/gateway/reading-turns';

/** Waits for a number of turns of the event loop. */
const turns = async (count: number): Promise<void> => {
  for (let i = 0; i < count; i++) await turn();
};

describe('ReadingTurns', () => {
  /** Reads slices of `cost` without end for the peers; time goes by in slices alone. */
  const scene = (cost: number) => {
    const time = { now: 1000 };
    const reading = new ReadingTurns({ now: () => time.now });
    const read: string[] = [];
    const add = (peer: string, count = Number.POSITIVE_INFINITY): void => {
      let left = count;
      reading.add(peer, () => {
        read.push(peer);
        time.now += cost;
        left -= 1;
        return left > 0;
      });
    };
    return { time, read, add };
  };

  it('reads one slice in a turn of the event loop for all peers, round robin', async () => {
    const { read, add } = scene(0);
    ['a', 'b', 'c'].forEach((peer) => add(peer, 2));
    expect(read).toEqual([]);
    const seen: number[] = [];
    for (let i = 0; i < 8; i++) {
      await turn();
      seen.push(read.length);
    }
    expect(seen.every((count, i) => count - (seen[i - 1] ?? 0) <= 1)).toEqual(true);
    expect(read).toEqual(['a', 'b', 'c', 'a', 'b', 'c']);
  });

  it('reads no more than a quarter of the time once the burst is used up', async () => {
    mock.timers.enable({ apis: ['setTimeout'] });
    try {
      const { time, read, add } = scene(0.5);
      add('a');
      await turns(100);
      const burst = read.length;
      // 50 ms of slices, all of the 100 turns: what accrues meanwhile is a third of that.
      expect(burst).toEqual(100);
      await turns(100);
      expect(read.length >= 130 && read.length <= 136).toEqual(true);
      const atLimit = read.length;
      for (let i = 0; i < 1000; i++) {
        time.now += 1;
        mock.timers.tick(1);
        await turn();
      }
      // The time of the slices themselves goes by as well.
      expect((read.length - atLimit) * 0.5).toBeLessThan(0.25 * 1400);
      expect((read.length - atLimit) * 0.5).toBeGreaterThan(0.2 * 1000);
    } finally {
      mock.timers.reset();
    }
  });

  /** Guards against a sound peer that waits for each connection of one that sends without end. */
  it('gives a peer with many connections no more turns than others', async () => {
    const { read, add } = scene(0);
    for (let i = 0; i < 10; i++) add('many', 3);
    add('one', 3);
    await turns(10);
    expect(read.slice(0, 6)).toEqual(['many', 'one', 'many', 'one', 'many', 'one']);
  });

  it('goes on with the others when a read throws', async () => {
    const { time, read, add } = scene(0);
    const reading = new ReadingTurns({ now: () => time.now });
    reading.add('broken', () => {
      throw new Error('broken');
    });
    reading.add('b', () => {
      read.push('b');
      return false;
    });
    add('a', 1);
    await turns(6);
    expect([...read].sort()).toEqual(['a', 'b']);
  });
});
