import { expect } from 'earl';
import { describe, it } from 'node:test';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import {
  CostModel,
  expectedRemaining,
  MAX_ESTABLISHED_CLASSES,
  MAX_TRIAL_CLASSES,
  pathShape,
  PendingWork,
  Slowdown,
  SpeedEstimate,
  type CostFeatures,
} from '../../../src/core/cost';

const features = (more: Partial<CostFeatures> = {}): CostFeatures => ({
  route: 'r',
  workspace: undefined,
  target: '/item/1',
  bodyBytes: 0,
  ...more,
});

const generator = (seed: number): (() => number) => {
  const rng = xoroshiro128plus(seed);
  return () => uniformFloat64(rng);
};

const isNear = (value: number, expected: number, tolerance: number): boolean =>
  Math.abs(value - expected) <= tolerance * expected;

describe('the shape of a path', () => {
  it('leaves out queries and identifiers', () => {
    expect(pathShape('/item/123/parts?x=1')).toEqual('/item/*/parts');
    expect(pathShape(`/item/${'abcdefgh'.repeat(4)}`)).toEqual('/item/*');
  });
});

/** Guards against estimates that miss costs which the request tells, or that follow chance. */
describe('the cost model', () => {
  [1, 2, 3].forEach((seed) => {
    const draw = generator(seed);
    const noise = (): number => 0.7 + 0.6 * draw();

    it(`learns classes by path, workspace and size, seed ${seed}`, () => {
      const model = new CostModel();
      const heavy = [
        features({ target: '/report/1' }),
        features({ route: 's', workspace: 'w' }),
        features({ route: 't', bodyBytes: 60_000 }),
      ];
      const light = heavy.map(({ route }) => features({ route, workspace: 'v' }));
      for (let i = 0; i < 300; i++) {
        light.forEach((each) => model.learn(each, 100 * noise(), 1, i));
        if (i % 5 === 0) heavy.forEach((each) => model.learn(each, 1000 * noise(), 1, i));
      }
      heavy.forEach((each) => {
        const { source, expectedMs } = model.estimate(each);
        expect(source).toEqual('class');
        expect(isNear(expectedMs, 1000, 0.3)).toEqual(true);
      });
      light.forEach((each) => {
        expect(isNear(model.estimate(each).expectedMs, 100, 0.3)).toEqual(true);
      });
    });

    it(`uses the route where costs are alike, seed ${seed}`, () => {
      const model = new CostModel();
      for (let i = 0; i < 500; i++)
        model.learn(features({ target: `/p${'abcde'[i % 5]}/x` }), 100 * noise(), 1, i);
      for (let i = 0; i < 5; i++) {
        const { source, expectedMs } = model.estimate(features({ target: `/p${'abcde'[i]}/x` }));
        expect(source).toEqual('route');
        expect(isNear(expectedMs, 100, 0.1)).toEqual(true);
      }
    });
  });

  it('starts a route from its service', () => {
    const model = new CostModel();
    for (let i = 0; i < 50; i++) model.learn(features(), 50, 1, i);
    const { source, expectedMs } = model.estimate(features({ route: 'new' }));
    expect([source, isNear(expectedMs, 50, 0.4)]).toEqual(['service', true]);
  });

  /** Guards against callers that make up paths to displace what was learned of others. */
  it('keeps established classes and its bound under a flood of paths used once or twice', () => {
    const model = new CostModel();
    const heavy = features({ target: '/report/1' });
    for (let i = 0; i < 100; i++) {
      model.learn(features(), 100, 1, i);
      if (i % 4 === 0) model.learn(heavy, 1000, 1, i);
    }
    const name = (i: number): string =>
      i.toString(26).replace(/\d/g, (c) => 'qrstuvwxyz'[+c] ?? '');
    for (let i = 0; i < 20_000; i++)
      model.learn(features({ target: `/x${name(i >> 1)}` }), 100, 1, 100 + i / 10);
    expect(model.classCount <= MAX_TRIAL_CLASSES + MAX_ESTABLISHED_CLASSES).toEqual(true);
    expect(model.estimate(heavy).source).toEqual('class');
    expect(isNear(model.estimate(heavy).expectedMs, 1000, 0.2)).toEqual(true);
  });

  it('follows costs that change', () => {
    const model = new CostModel();
    for (let i = 0; i < 300; i++) model.learn(features(), 100, 1, i);
    for (let i = 0; i < 200; i++) model.learn(features(), 400, 1, 1000 + i);
    expect(isNear(model.estimate(features()).expectedMs, 400, 0.1)).toEqual(true);
  });
});

describe('the expected remaining time', () => {
  it('grows with the time run where costs are dispersed, and falls where they are alike', () => {
    const dispersed = { expectedMs: 100, dispersion: 1.5 };
    const alike = { expectedMs: 100, dispersion: 0.1 };
    expect(expectedRemaining(dispersed, 800) > expectedRemaining(dispersed, 200)).toEqual(true);
    expect(expectedRemaining(dispersed, 200) > 100).toEqual(true);
    expect(isNear(expectedRemaining(alike, 50), 50, 0.1)).toEqual(true);
    expect(expectedRemaining(alike, 200) < 20).toEqual(true);
  });

  it('is finite and positive for any time run', () => {
    [0, 0.01, 0.5, 1, 2, 5].forEach((dispersion) => {
      [-5, 0, 1, 99, 1e4, 1e9].forEach((elapsed) => {
        const remaining = expectedRemaining({ expectedMs: 100, dispersion }, elapsed);
        expect(Number.isFinite(remaining) && remaining > 0).toEqual(true);
      });
    });
  });

  it('is summed over the requests in flight', () => {
    const work = new PendingWork();
    const cost = { expectedMs: 100, meanLog: Math.log(100), dispersion: 0.1 };
    work.start('a', { startedAt: 0, cost, wait: 0, occupancy: 0.5 });
    work.start('b', { startedAt: 0, cost, wait: 50, occupancy: 1.5 });
    expect(isNear(work.remaining(1, 50), 150, 0.1)).toEqual(true);
    work.end('a');
    expect(isNear(work.remaining(2, 50), 200, 0.1)).toEqual(true);
  });
});

describe('speed and slowdown', () => {
  it('are learned as ratios', () => {
    const speed = new SpeedEstimate();
    const slowdown = new Slowdown();
    for (let i = 0; i < 100; i++) {
      speed.learn(Math.log(2));
      slowdown.learn(0.25, 0);
      slowdown.learn(0.75, 0);
      slowdown.learn(1, Math.log(1.6));
    }
    expect(isNear(speed.ratio, 2, 0.1)).toEqual(true);
    expect([slowdown.ratio(0.25), slowdown.ratio(0.75)]).toEqual([1, 1]);
    expect(isNear(slowdown.ratio(1), 1.6, 0.05)).toEqual(true);
    expect(isNear(slowdown.ratio(0.875), 1.3, 0.05)).toEqual(true);
  });
});
