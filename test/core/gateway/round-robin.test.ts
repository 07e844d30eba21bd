import { expect } from 'earl';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { describe, it } from 'node:test';

import { WeightedRoundRobin } from '../../../src/core/gateway';
import type { GatewayRoute } from '../../../src/model';

const SEED = 20261205;
const HOST_COUNT = 98;
/** How far the shares of all hosts together may lie off the weights. */
const MAX_SHARE_ERROR = 0.1;
/** Requests from which the shares count. */
const MIN_REQUEST_COUNT = 300;

const splitOf = (weights: readonly number[]): GatewayRoute => ({
  name: 'r',
  pathPrefix: '/',
  kind: 'safe',
  timeout: 1000,
  latencyObjective: 500,
  maxAttempts: 2,
  priority: 1,
  isPublic: false,
  targets: weights.map((weight, i) => ({ service: `s${i}`, weight })),
});

/** Returns how far the shares lie off the weights, at most, after requests at all hosts. */
const shareError = (
  hosts: readonly WeightedRoundRobin[],
  route: GatewayRoute,
  requestsPerHost: number,
): number => {
  const chosen = hosts.flatMap((host) =>
    Array.from({ length: requestsPerHost }, () => host.next(route)),
  );
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  const errors = route.targets.map(({ service, weight }) =>
    Math.abs(chosen.filter((name) => name === service).length / chosen.length - weight / total),
  );
  return Math.max(...errors);
};

const startHosts = (count: number): readonly WeightedRoundRobin[] => {
  const generator = xoroshiro128plus(SEED);
  return Array.from(
    { length: count },
    () => new WeightedRoundRobin(() => uniformFloat64(generator)),
  );
};

/** Guards against hosts that all start a split with its largest part. */
describe('the split of a route over all hosts', () => {
  [
    [50, 50],
    [70, 30],
    [90, 10],
    [99, 1],
    [40, 35, 25],
    [0.7, 0.3],
    [1, 1, 1, 1, 1],
  ].forEach((weights) =>
    [1, 2, 3].forEach((requestsPerHost) =>
      it(`${weights.join('/')} with ${requestsPerHost} requests at each host`, () => {
        const hosts = startHosts(Math.max(HOST_COUNT, MIN_REQUEST_COUNT / requestsPerHost));
        expect(shareError(hosts, splitOf(weights), requestsPerHost)).toBeLessThan(MAX_SHARE_ERROR);
      }),
    ),
  );

  it('goes on where it is when a version leaves it as it was', () => {
    const host = new WeightedRoundRobin(() => 0);
    const [split, other] = [splitOf([50, 50]), { ...splitOf([50, 50]), name: 'other' }];
    const first = host.next(split);
    host.next(other);
    host.retain([split]);
    expect(host.next(split)).not.toEqual(first);
  });

  it('is exact over each period, wherever it starts', () => {
    const [host] = startHosts(1);
    const chosen = Array.from({ length: 40 }, () => host?.next(splitOf([40, 35, 25])));
    [0, 7, 20].forEach((from) => {
      const period = chosen.slice(from, from + 20);
      const counts = ['s0', 's1', 's2'].map((name) => period.filter((s) => s === name).length);
      expect(counts).toEqual([8, 7, 5]);
    });
  });
});
