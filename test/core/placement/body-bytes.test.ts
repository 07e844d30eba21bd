import { expect } from 'earl';
import { describe, it } from 'node:test';

import { LoadBalancer, type PlacementRequest } from '../../../src/core/placement';

const MEBIBYTE = 2 ** 20;

const request = (bodyBytes: number): PlacementRequest => ({
  retryable: false,
  bodyBytes,
  meanBytes: 1000,
  meanLatency: 200,
  objective: 1000,
  remaining: 10_000,
  lastResort: false,
  tried: new Set(),
});

const balancerOf = (): LoadBalancer => {
  const balancer = new LoadBalancer(
    'shop',
    'a',
    () => 0.7,
    () => 0,
  );
  balancer.put(
    {
      id: 'u',
      service: 'shop',
      endpoint: { address: '10.0.0.1', port: 80 },
      dataCentre: 'a',
      slots: 20,
      state: 'ready',
      born: 1,
      reportSequence: 1,
      warmedUpAt: 0,
    },
    0,
  );
  return balancer;
};

/** Sends requests with bodies of this size until the upstream is full; returns their number. */
const sendAll = (balancer: LoadBalancer, bodyBytes: number): number => {
  for (let count = 0; ; count++) {
    const placement = balancer.place(request(bodyBytes), true, 1000);
    if (placement.kind !== 'send') return count;
    placement.stats.attemptStarted(`r${count}`, 1000, 5000, { bodyBytes });
  }
};

/**
 * Guards against an upstream that has to hold more than it can. Load pattern: callers send the
 * largest bodies to all slots of an upstream at once.
 */
describe('the bodies in flight to one upstream', () => {
  it('are bounded in size, and requests without a body still go there', () => {
    const balancer = balancerOf();
    expect(sendAll(balancer, MEBIBYTE)).toEqual(4);
    expect(balancer.place(request(0), true, 1000).kind).toEqual('send');
    balancer.all()[0]!.attemptEnded('r0');
    expect(balancer.place(request(MEBIBYTE), true, 1000).kind).toEqual('send');
  });

  it('may be one that is larger than the bound', () => {
    expect(sendAll(balancerOf(), 10 * MEBIBYTE)).toEqual(1);
  });

  it('leave all slots and the queue to small ones', () => {
    expect(sendAll(balancerOf(), 1000)).toEqual(sendAll(balancerOf(), 0));
  });
});
