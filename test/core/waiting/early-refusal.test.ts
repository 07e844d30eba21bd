import { expect } from 'earl';
import { describe, it } from 'node:test';

import { RequestQueue, type QueuedRequest } from '../../../src/core/waiting';

import { describeResults, runReplay, type Source, type SourceResult } from './replay';

const sourceOf = (priority: number, rate: Source['rate']): Source => ({
  name: `p${priority}`,
  priority,
  rate,
});

const BURST_START_MS = 3000;
const BURST_END_MS = 8000;

const burst =
  (calm: number, high: number): Source['rate'] =>
  (now) =>
    now >= BURST_START_MS && now < BURST_END_MS ? high : calm;

const vainWaitRatio = (results: readonly SourceResult[]): number =>
  results.reduce((sum, { refusedLate }) => sum + refusedLate, 0) /
  results.reduce((sum, { refusedAtOnce, refusedLate }) => sum + refusedAtOnce + refusedLate, 0);

/**
 * Guards against requests that wait until their latest start and are refused then. Load pattern: a
 * burst of two and a half times the capacity, of which a host gets only the part that the other
 * hosts leave it.
 */
describe('a host that shares the slots of a service with others', () => {
  it('refuses at once what it can’t start in time', (t) => {
    const results = runReplay({
      sources: [sourceOf(1, burst(30, 125))],
      slots: () => 200,
      hosts: 20,
      latency: 200,
      patience: 750,
      duration: 10_000,
    });
    t.diagnostic(describeResults(results));
    expect(vainWaitRatio(Object.values(results))).toBeLessThan(0.1);
    expect(results.p1!.served).toBeGreaterThan(0.9 * (30 * 5 + 50 * 5));
  });
});

/**
 * Guards against less urgent requests that wait in vain behind more urgent ones that arrive later.
 * Load pattern: a burst of urgent requests on a service that is fully used.
 */
describe('queued requests that more urgent ones overtake', () => {
  it('are refused as soon as no start in time can be expected', (t) => {
    const results = runReplay({
      sources: [sourceOf(0, burst(0, 90)), sourceOf(1, () => 55)],
      slots: () => 10,
      latency: 200,
      patience: 750,
      duration: 10_000,
    });
    t.diagnostic(describeResults(results));
    expect(results.p1!.longestVainWait).toBeLessThan(600);
  });
});

/**
 * Guards against refused callers that all return at the same time, or in another order than that of
 * urgency. Load pattern: a burst of requests of three priorities far beyond the capacity.
 */
describe('the Retry-After of refused requests', () => {
  const capacity = { slots: 10, meanLatency: 200 };
  const refuseBurst = (random: () => number): readonly (readonly [number, number])[] => {
    const queue = new RequestQueue<QueuedRequest>(random);
    return Array.from({ length: 120 }, (_, i) => i % 3).flatMap((priority) => {
      const request = { priority, arrivedAt: 0, startBy: 300 };
      const decision = queue.admit(request, capacity);
      if (decision.kind === 'refuse') return [[priority, decision.retryAfter] as const];
      queue.add(request);
      return [];
    });
  };
  const meanOf = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;

  it('spreads the callers over the time in which starts are expected', () => {
    const urgent = refuseBurst(() => 0)
      .filter(([priority]) => priority === 0)
      .map(([, retryAfter]) => retryAfter);
    // Fifty starts a second, so that two callers are told times that are 20 ms apart.
    urgent.slice(1).forEach((time, i) => expect(time - urgent[i]!).toBeGreaterThanOrEqual(19.9));
  });

  it('is shorter for more urgent requests', () => {
    const refused = refuseBurst(() => 0.5);
    const [p0 = 0, p1 = 0, p2 = 0] = [0, 1, 2].map((priority) =>
      meanOf(refused.filter(([other]) => other === priority).map(([, time]) => time)),
    );
    expect(p0).toBeLessThan(p1);
    expect(p1).toBeLessThan(p2);
  });

  it('has jitter, and stays within its bounds', () => {
    const low = refuseBurst(() => 0).map(([, time]) => time);
    const high = refuseBurst(() => 0.999).map(([, time]) => time);
    low.forEach((time, i) => expect(high[i]!).toBeGreaterThan(time));
    low.forEach((time) => expect(time).toBeGreaterThanOrEqual(100));
    high.forEach((time) => expect(time).toBeLessThan(6250));
  });
});
