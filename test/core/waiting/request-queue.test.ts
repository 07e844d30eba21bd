import { expect } from 'earl';
import { describe, it } from 'node:test';

import { RequestQueue, type QueuedRequest } from '../../../src/core/waiting';

const request = (priority: number, arrivedAt: number, startBy: number): QueuedRequest => ({
  priority,
  arrivedAt,
  startBy,
});

describe('a request queue', () => {
  it('orders requests by priority, then by arrival', () => {
    const queue = new RequestQueue<QueuedRequest>();
    const late = request(1, 5, 100);
    const early = request(1, 1, 100);
    const urgent = request(0, 9, 100);
    [late, early, urgent].forEach((each) => queue.add(each));
    expect(queue.all()).toEqual([urgent, early, late]);
  });

  it('refuses a request that can’t start in time, with the expected wait', () => {
    const queue = new RequestQueue<QueuedRequest>();
    const service = { slots: 2, meanLatency: 200 };
    for (let i = 0; i < 9; i++) queue.add(request(1, 0, 1000));
    expect(queue.admit(request(1, 0, 500), service)).toEqual({ kind: 'refuse', retryAfter: 1000 });
    expect(queue.admit(request(1, 0, 2000), service)).toEqual({ kind: 'wait' });
    expect(queue.admit(request(0, 0, 500), service)).toEqual({ kind: 'wait' });
  });

  it('removes requests whose latest start time has passed', () => {
    const queue = new RequestQueue<QueuedRequest>();
    const expired = request(1, 0, 10);
    const remaining = request(1, 0, 100);
    [expired, remaining].forEach((each) => queue.add(each));
    expect(queue.removeExpired(50)).toEqual([expired]);
    expect(queue.length).toEqual(1);
  });
});

/**
 * Guards against an overloaded queue in which requests wait only to expire, and against urgent ones
 * that starve. Load pattern: twice as many requests as the slots can serve, for ten seconds.
 */
describe('a request queue at twice its capacity', () => {
  it('keeps the slots busy, refuses the other requests on arrival, and serves urgent ones', () => {
    const queue = new RequestQueue<QueuedRequest>();
    const service = { slots: 4, meanLatency: 200 };
    const free = Array.from({ length: service.slots }, () => 0);
    const served = [0, 0];
    const arrived = [0, 0];
    let expiredCount = 0;
    for (let now = 0; now < 10_000; now += 25) {
      expiredCount += queue.removeExpired(now).length;
      free.forEach((until, slot) => {
        const next = until > now ? undefined : queue.take(() => true);
        if (!next) return;
        queue.recordStart(next, now);
        served[next.priority] = (served[next.priority] ?? 0) + 1;
        free[slot] = now + service.meanLatency;
      });
      const priority = (now / 25) % 4 === 0 ? 0 : 1;
      arrived[priority] = (arrived[priority] ?? 0) + 1;
      const arriving = request(priority, now, now + 600);
      if (queue.admit(arriving, service).kind === 'wait') queue.add(arriving);
    }
    const capacity = (10_000 / service.meanLatency) * service.slots;
    expect((served[0] ?? 0) + (served[1] ?? 0) >= 0.95 * capacity).toEqual(true);
    expect((served[0] ?? 0) >= 0.95 * (arrived[0] ?? 0)).toEqual(true);
    expect(expiredCount <= 0.05 * ((arrived[0] ?? 0) + (arrived[1] ?? 0))).toEqual(true);
  });
});
