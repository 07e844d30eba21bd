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
      reading.add(() => {
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

  it('reads no more than a tenth of the time once the burst is used up', async () => {
    mock.timers.enable({ apis: ['setTimeout'] });
    try {
      const { time, read, add } = scene(0.5);
      add('a');
      await turns(100);
      const burst = read.length;
      // 20 ms of slices, and what accrues meanwhile.
      expect(burst >= 40 && burst <= 46).toEqual(true);
      for (let i = 0; i < 1000; i++) {
        time.now += 1;
        mock.timers.tick(1);
        await turn();
      }
      expect((read.length - burst) * 0.5).toBeLessThan(0.1 * 1300);
      expect((read.length - burst) * 0.5).toBeGreaterThan(0.05 * 1000);
    } finally {
      mock.timers.reset();
    }
  });

  it('goes on with the others when a read throws', async () => {
    const { time, read, add } = scene(0);
    const reading = new ReadingTurns({ now: () => time.now });
    reading.add(() => {
      throw new Error('broken');
    });
    reading.add(() => {
      read.push('b');
      return false;
    });
    add('a', 1);
    await turns(6);
    expect([...read].sort()).toEqual(['a', 'b']);
  });
});
