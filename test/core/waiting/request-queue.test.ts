import { expect } from 'earl';
import { describe, it } from 'node:test';

import { RequestQueue, type QueuedRequest } from '../../../src/core/waiting';

const waiter = (priority: number, arrivedAt: number, startBy: number): QueuedRequest => ({
  priority,
  arrivedAt,
  startBy,
});

describe('a waiting line', () => {
  it('starts the most urgent first, then the oldest', () => {
    const line = new RequestQueue<QueuedRequest>();
    const late = waiter(1, 5, 100);
    const early = waiter(1, 1, 100);
    const urgent = waiter(0, 9, 100);
    [late, early, urgent].forEach((each) => line.add(each));
    expect(line.all()).toEqual([urgent, early, late]);
  });

  it('refuses at once who cannot start in time, with the time until room is expected', () => {
    const line = new RequestQueue<QueuedRequest>();
    const load = { slots: 2, meanLatency: 200 };
    for (let i = 0; i < 9; i++) line.add(waiter(1, 0, 1000));
    expect(line.admit(waiter(1, 0, 500), load)).toEqual({ kind: 'refuse', retryAfter: 1000 });
    expect(line.admit(waiter(1, 0, 2000), load)).toEqual({ kind: 'wait' });
    expect(line.admit(waiter(0, 0, 500), load)).toEqual({ kind: 'wait' });
  });

  it('gives up those whose time to start has passed', () => {
    const line = new RequestQueue<QueuedRequest>();
    const gone = waiter(1, 0, 10);
    const stays = waiter(1, 0, 100);
    [gone, stays].forEach((each) => line.add(each));
    expect(line.removeExpired(50)).toEqual([gone]);
    expect(line.length).toEqual(1);
  });
});

/** Load pattern: twice as many requests as slots can serve, for ten seconds. */
describe('a line at twice the load', () => {
  it('serves what the slots can, refuses the rest at once, and starves nobody urgent', () => {
    const line = new RequestQueue<QueuedRequest>();
    const load = { slots: 4, meanLatency: 200 };
    const free = Array.from({ length: load.slots }, () => 0);
    const served = [0, 0];
    const asked = [0, 0];
    let refusedLater = 0;
    for (let now = 0; now < 10_000; now += 25) {
      refusedLater += line.removeExpired(now).length;
      free.forEach((until, slot) => {
        const next = line.all()[0];
        if (until > now || !next) return;
        line.remove(next);
        served[next.priority] = (served[next.priority] ?? 0) + 1;
        free[slot] = now + load.meanLatency;
      });
      const priority = (now / 25) % 4 === 0 ? 0 : 1;
      asked[priority] = (asked[priority] ?? 0) + 1;
      const arriving = waiter(priority, now, now + 600);
      if (line.admit(arriving, load).kind === 'wait') line.add(arriving);
    }
    const capacity = (10_000 / load.meanLatency) * load.slots;
    expect((served[0] ?? 0) + (served[1] ?? 0) >= 0.95 * capacity).toEqual(true);
    expect((served[0] ?? 0) >= 0.95 * (asked[0] ?? 0)).toEqual(true);
    expect(refusedLater <= 0.05 * ((asked[0] ?? 0) + (asked[1] ?? 0))).toEqual(true);
  });
});
