import { expect } from 'earl';
import { describe, it } from 'node:test';

import { RequestQueue, type QueuedRequest } from '../../../src/core/waiting';

import { describeResults, runReplay, shareServed, type Source, type SourceResult } from './replay';

const request = (
  priority: number,
  arrivedAt: number,
  workspace: string | undefined = undefined,
): QueuedRequest => ({ priority, arrivedAt, startBy: arrivedAt + 600, workspace });

const takeAll = (queue: RequestQueue<QueuedRequest>): readonly QueuedRequest[] => {
  const taken: QueuedRequest[] = [];
  for (;;) {
    const next = queue.take(() => true);
    if (!next) return taken;
    taken.push(next);
  }
};

const meanShare = (results: readonly SourceResult[]): number =>
  results.reduce((sum, { served }) => sum + served, 0) /
  results.reduce((sum, { arrived }) => sum + arrived, 0);

describe('the order of a request queue', () => {
  /** Guards against a change of the order where the configuration has no workspaces. */
  it('is by priority and age without workspaces', () => {
    const queue = new RequestQueue<QueuedRequest>();
    const requests = Array.from({ length: 60 }, (_, i) => request((i * 7) % 3, (i * 13) % 60));
    requests.forEach((each) => queue.add(each));
    expect(takeAll(queue)).toEqual(
      [...requests].sort((a, b) => a.priority - b.priority || a.arrivedAt - b.arrivedAt),
    );
  });

  /** Guards against a workspace whose many requests all go before the few of another one. */
  it('alternates between workspaces of the same priority', () => {
    const queue = new RequestQueue<QueuedRequest>();
    for (let i = 0; i < 6; i++) queue.add(request(1, i, 'greedy'));
    for (let i = 6; i < 9; i++) queue.add(request(1, i, 'small'));
    queue.add(request(0, 9, 'urgent'));
    expect(takeAll(queue).map(({ workspace }) => workspace)).toEqual([
      'urgent',
      ...['greedy', 'small', 'greedy', 'small', 'greedy', 'small'],
      ...['greedy', 'greedy', 'greedy'],
    ]);
  });

  /** Guards against one request that can't be placed and keeps all others waiting. */
  it('passes over a request that is not accepted and keeps its place', () => {
    const queue = new RequestQueue<QueuedRequest>();
    const first = request(1, 0, 'a');
    const second = request(1, 1, 'b');
    [first, second].forEach((each) => queue.add(each));
    expect(queue.take((each) => each !== first)).toEqual(second);
    expect(queue.all()).toEqual([first]);
  });
});

/**
 * Guards against a workspace that is starved by its own many requests or by those of others. Load
 * pattern: one greedy workspace sends three times the capacity of the service, which would serve
 * all others.
 */
describe('a queue with one greedy workspace', () => {
  const others = Array.from({ length: 9 }, (_, i) => `w${i}`);
  const sourceOf = (name: string, perSecond: number): Source => ({
    name,
    priority: 1,
    workspace: name,
    rate: () => perSecond,
  });
  const results = runReplay({
    sources: [sourceOf('greedy', 300), ...others.map((name) => sourceOf(name, 10))],
    slots: () => 20,
    latency: 200,
    patience: 600,
    duration: 20_000,
  });

  it('serves the others with what the minimum share of the greedy one leaves', (t) => {
    t.diagnostic(describeResults(results));
    others.forEach((name) => expect(shareServed(results[name]!)).toBeGreaterThan(0.7));
  });

  it('serves the greedy one a quarter as often as the mean', () => {
    const mean = meanShare(Object.values(results));
    expect(shareServed(results.greedy!)).toBeGreaterThan(0.25 * mean);
  });
});

/**
 * Guards against less urgent requests that starve, and against minimum shares that take more than
 * they are meant to from urgent ones. Load pattern: urgent requests alone fill the service for many
 * seconds.
 */
describe('a queue whose urgent requests alone exceed the capacity', () => {
  const replayOf = (withWorkspaces: boolean): Readonly<Record<string, SourceResult>> =>
    runReplay({
      sources: [0, 1, 2].map((priority) => ({
        name: `p${priority}`,
        priority,
        workspace: withWorkspaces ? `w${priority}` : undefined,
        rate: () => (priority === 0 ? 130 : 60),
      })),
      slots: () => 20,
      latency: 200,
      patience: 600,
      duration: 20_000,
    });

  it('serves every priority a quarter as often as the mean', (t) => {
    const results = replayOf(true);
    t.diagnostic(describeResults(results));
    const mean = meanShare(Object.values(results));
    expect(shareServed(results.p0!)).toBeGreaterThan(0.55);
    expect(shareServed(results.p1!)).toBeGreaterThan(0.25 * mean);
    expect(shareServed(results.p2!)).toBeGreaterThan(0.25 * mean);
  });

  it('keeps to strict priority without workspaces', (t) => {
    const results = replayOf(false);
    t.diagnostic(describeResults(results));
    expect(shareServed(results.p2!)).toBeLessThan(0.01);
  });
});
