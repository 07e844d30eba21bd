import { expect } from 'earl';
import { describe, it } from 'node:test';

import { simulate, type Rule } from '../../../bench/placement/simulation';
import { SCENARIOS, type Scenario } from '../../../bench/placement/scenario';
import { LoadBalancer, type PlacementRequest } from '../../../src/core/placement';

const scenarioOf = (name: string): Scenario => {
  const found = SCENARIOS.find((scenario) => scenario.name === name && scenario.hosts === 3);
  if (!found) throw new Error(`expected a scenario of name ${name}`);
  return found;
};

const meanMs = (name: string, rule: Rule): number => simulate(scenarioOf(name), rule, 1).meanMs;

/** Guards against estimates that make requests wait for others that cost more. */
describe('placement by expected completion time, 3 gateways', () => {
  ['tail of 20', 'tail of 7, no load headers', 'tail of 7, estimates 10 times wrong'].forEach(
    (name) => {
      it(`completes requests sooner than with equal costs: ${name}`, () => {
        expect(meanMs(name, 'learned') < meanMs(name, 'today')).toEqual(true);
      });
    },
  );

  it('changes little where all requests cost the same', () => {
    const name = 'equal costs and speeds';
    expect(Math.abs(meanMs(name, 'learned') / meanMs(name, 'today') - 1) < 0.05).toEqual(true);
  });
});

/** Guards against wrong estimates that outweigh a fault. */
describe('a cost estimate that is wrong by ten times', () => {
  [30, 3000].forEach((expectedMs) => {
    it(`never sends a request to a faulty upstream, estimate ${expectedMs} ms`, () => {
      const balancer = new LoadBalancer(
        'shop',
        'a',
        () => 0,
        () => 0,
      );
      ['good', 'faulty'].forEach((id) =>
        balancer.put(
          {
            id,
            service: 'shop',
            endpoint: { address: '10.0.0.1', port: 80 },
            dataCentre: 'a',
            slots: 4,
            state: 'ready',
            born: 1,
            reportSequence: 1,
            warmedUpAt: 0,
          },
          0,
        ),
      );
      const [good, faulty] = balancer.all();
      const cost = { expectedMs, meanLog: Math.log(expectedMs), dispersion: 0.5 };
      for (let i = 0; i < 3; i++) {
        good?.applyEvidence('good', i);
        faulty?.applyEvidence('failed-early', i);
        const pending = good && balancer.costs.pendingRequest(good, cost, i);
        good?.attemptStarted(`r${i}`, i, 1e6, { meanLatency: 300, pending });
      }
      const request: PlacementRequest = {
        retryable: true,
        meanBytes: 100,
        meanLatency: 300,
        objective: 1000,
        remaining: 5000,
        lastResort: false,
        tried: new Set(),
        cost,
      };
      const placed = balancer.place(request, false, 10);
      expect(placed.kind === 'send' && placed.stats.upstream.id).toEqual('good');
    });
  });
});
