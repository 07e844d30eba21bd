import { expect } from 'earl';
import { describe, it } from 'node:test';

import { holdsBack } from '../../../src/core/waiting';

import {
  describeResults,
  meanRefusalTime,
  meanShareServed,
  runReplay,
  shareServed,
  type Replay,
  type Source,
  type SourceResult,
} from './replay';

const LOAD_START_MS = 3000;
const LOAD_END_MS = 13_000;

const during =
  (calm: number, high: number): Source['rate'] =>
  (now) =>
    now >= LOAD_START_MS && now < LOAD_END_MS ? high : calm;

const PRIORITIES = [0, 1, 2];

/** Three sources of different priority; the service starts 100 requests a second. */
const sourcesOf = (
  rates: readonly Source['rate'][],
  more: Partial<Source> = {},
): readonly Source[] =>
  PRIORITIES.map((priority) => ({
    name: `p${priority}`,
    priority,
    workspace: `w${priority}`,
    rate: rates[priority] ?? (() => 0),
    ...more,
  }));

const replayOf = (
  sources: readonly Source[],
  more: Partial<Replay> = {},
): Readonly<Record<string, SourceResult>> =>
  runReplay({
    sources,
    slots: () => 20,
    replayedHosts: 3,
    exchange: true,
    latency: 200,
    patience: 750,
    duration: 15_000,
    ...more,
  });

/** Less than a seventh of the time for which a request may wait. */
const MAX_REFUSAL_TIME_MS = 100;

/** Checks what holds under every load with workspaces. */
const expectOrderOfUrgency = (results: Readonly<Record<string, SourceResult>>): void => {
  const [p0 = 0, p1 = 0, p2 = 0] = PRIORITIES.map((priority) =>
    shareServed(results[`p${priority}`]!),
  );
  expect(p0).toBeGreaterThan(p1 - 0.05);
  expect(p1).toBeGreaterThan(p2 - 0.05);
  const least = 0.25 * meanShareServed(results);
  expect(meanRefusalTime(results)).toBeLessThan(MAX_REFUSAL_TIME_MS);
  [p0, p1, p2].forEach((share) => expect(share).toBeGreaterThan(least));
};

/**
 * Each test replays one load pattern at three hosts that share the slots of a service. They guard
 * against less urgent requests that are served in place of more urgent ones, against ones that
 * starve, and against requests that wait in vain.
 */
describe('hosts that share a service', () => {
  it('serve in order of urgency in a burst of less urgent requests', (t) => {
    const results = replayOf(sourcesOf([() => 20, () => 30, during(30, 250)]));
    t.diagnostic(describeResults(results));
    expectOrderOfUrgency(results);
    expect(shareServed(results.p0!)).toBeGreaterThan(0.95);
  });

  it('serve in order of urgency in a burst of urgent requests', (t) => {
    const results = replayOf(sourcesOf([during(20, 150), () => 30, () => 30]));
    t.diagnostic(describeResults(results));
    expectOrderOfUrgency(results);
  });

  it('serve in order of urgency in a burst of all requests', (t) => {
    const results = replayOf(sourcesOf([during(20, 60), during(30, 90), during(30, 90)]));
    t.diagnostic(describeResults(results));
    expectOrderOfUrgency(results);
    expect(shareServed(results.p0!)).toBeGreaterThan(0.9);
  });

  it('serve in order of urgency while refused callers return at once', (t) => {
    const results = replayOf(
      sourcesOf([during(20, 60), during(30, 90), during(30, 90)], { insists: true }),
    );
    t.diagnostic(describeResults(results));
    expectOrderOfUrgency(results);
    expect(shareServed(results.p0!)).toBeGreaterThan(0.9);
  });

  it('serve in order of urgency while upstreams reject half of all requests', (t) => {
    const results = replayOf(sourcesOf([() => 20, () => 30, () => 40]), {
      rejections: during(0, 0.5),
    });
    t.diagnostic(describeResults(results));
    expectOrderOfUrgency(results);
    expect(shareServed(results.p0!)).toBeGreaterThan(0.9);
  });

  it('serve in order of urgency while half of the upstreams are gone', (t) => {
    const results = replayOf(sourcesOf([() => 25, () => 35, () => 35]), {
      slots: during(20, 10),
    });
    t.diagnostic(describeResults(results));
    expectOrderOfUrgency(results);
    expect(shareServed(results.p0!)).toBeGreaterThan(0.9);
  });
});

/**
 * Guards against a less urgent request that one host serves while another host refuses a more
 * urgent one. Load pattern: the callers of urgent requests know one host, the others know another.
 */
describe('hosts whose callers differ in urgency', () => {
  const replayApart = (exchange: boolean): Readonly<Record<string, SourceResult>> =>
    replayOf(
      [
        { name: 'p0', priority: 0, workspace: 'w0', rate: during(20, 90), host: 0 },
        { name: 'p1', priority: 1, workspace: 'w1', rate: during(20, 90), host: 1 },
      ],
      { replayedHosts: 2, exchange },
    );

  it('serve the urgent requests of both first', (t) => {
    const apart = replayApart(false);
    const together = replayApart(true);
    t.diagnostic(`without reports: ${describeResults(apart)}`);
    t.diagnostic(`with reports: ${describeResults(together)}`);
    expect(shareServed(together.p0!)).toBeGreaterThan(shareServed(apart.p0!) + 0.1);
    expect(shareServed(together.p0!)).toBeGreaterThan(shareServed(together.p1!));
    expect(shareServed(together.p1!)).toBeGreaterThan(0.25 * meanShareServed(together));
    expect(meanShareServed(together)).toBeGreaterThan(0.9 * meanShareServed(apart));
  });

  it('hold back only less urgent requests that are not owed a start', () => {
    expect(holdsBack(1, undefined, 0)).toEqual(false);
    expect(holdsBack(1, 0, 0)).toEqual(true);
    expect(holdsBack(0, 0, 0)).toEqual(false);
    expect(holdsBack(0, 1, 0)).toEqual(false);
    expect(holdsBack(1, 0, 1)).toEqual(false);
  });
});
