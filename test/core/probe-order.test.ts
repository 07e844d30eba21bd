import { expect } from 'earl';
import { describe, it } from 'node:test';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { ProbeOrder } from '../../src/core/membership/probe-order';

const orderOf = (nearCount: number, farCount: number): ProbeOrder => {
  const near = Array.from({ length: nearCount }, (_, i) => `near-${i}`);
  const far = Array.from({ length: farCount }, (_, i) => `far-${i}`);
  return new ProbeOrder(xoroshiro128plus(1), (isNear) => (isNear ? near : far));
};

const probes = (order: ProbeOrder, count: number): readonly string[] =>
  Array.from({ length: count }, () => order.next(() => true) ?? '');

const farShare = (targets: readonly string[]): number =>
  targets.filter((target) => target.startsWith('far')).length / targets.length;

describe('the order of probes', () => {
  it('goes to far nodes with one probe of four in a large fleet', () => {
    expect(farShare(probes(orderOf(60, 240), 400))).toEqual(0.25);
  });

  it('goes to near and far nodes alike in a small fleet', () => {
    const share = farShare(probes(orderOf(3, 6), 900));
    expect(Math.abs(share - 6 / 9) < 0.05).toEqual(true);
  });

  it('reaches each near node once in a round, and each far node once in four', () => {
    const targets = probes(orderOf(30, 30), 120);
    expect(new Set(targets.slice(0, 40)).size).toEqual(40);
    expect(new Set(targets).size).toEqual(60);
  });

  it('goes to far nodes alone without near ones', () => {
    expect(farShare(probes(orderOf(0, 40), 40))).toEqual(1);
  });
});
