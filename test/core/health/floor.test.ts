import { expect } from 'earl';
import * as fc from 'fast-check';
import { describe, it } from 'node:test';

import type { AttemptResult } from '../../../src/model';

import { CONNECT_FAILED, Driver, ok, rulesWith, upstreams, MISMATCHED } from './driver';

const RESULTS: readonly AttemptResult[] = [
  ok(25),
  MISMATCHED,
  CONNECT_FAILED,
  { kind: 'shed', cause: 'draining' },
  { kind: 'shed', cause: 'cold' },
  { kind: 'timeout', waited: 2_000 },
];

const ejectAll = (driver: Driver): void => {
  for (let index = 0; index < driver.count; index++) {
    driver.ejectForWrongAnswers(`u${index}`);
    driver.fail(`u${index}`, MISMATCHED, 6);
  }
};

describe('the capacity floor', () => {
  it('limits ejections to the slots above the floor', () => {
    const driver = new Driver(10, { floor: 0.75 }, 2);
    ejectAll(driver);
    expect(driver.countInState('ejected')).toEqual(2);
    expect(driver.health.spareSlots).toEqual(1);
  });

  it('degrades an upstream whose ejection it refuses', () => {
    const driver = new Driver(5, { floor: 1 });
    driver.ejectForWrongAnswers('u0');
    expect(driver.healthState('u0')).toEqual('suspect');
    expect(driver.health.share('u0') > 0 && driver.health.share('u0') < 1).toEqual(true);
    expect(
      driver.effects.some(
        (effect) => effect.kind === 'ejection-refused' && effect.reason === 'floor',
      ),
    ).toEqual(true);
  });

  it('lets a degraded upstream become healthy within 80 good attempts of recovery', () => {
    const driver = new Driver(5, { floor: 1 });
    driver.ejectForWrongAnswers('u0');
    driver.fail('u0', MISMATCHED, 200);
    for (let attempt = 0; attempt < 80; attempt++) driver.run('u0', 25);
    expect(driver.healthState('u0')).toEqual('healthy');
  });

  it('pauses the suspect with more evidence against it when it allows only one', () => {
    const driver = new Driver(5, { floor: 0.8 });
    driver.fail('u0', CONNECT_FAILED, 2);
    driver.fail('u1', MISMATCHED, 4);
    driver.advance(50);
    expect(driver.health.share('u1')).toEqual(0);
    expect(driver.health.share('u0') > 0).toEqual(true);
  });

  it('readmits an ejected upstream when another one drains', () => {
    const driver = new Driver(5, { floor: 0.8 });
    driver.ejectForWrongAnswers('u0');
    expect(driver.healthState('u0')).toEqual('ejected');
    driver.run('u1', 5, { kind: 'shed', cause: 'draining' });
    expect(driver.healthState('u1')).toEqual('leaving');
    expect(driver.healthState('u0')).toEqual('suspect');
    expect(driver.health.share('u0') > 0).toEqual(true);
  });

  it('readmits an upstream when the floor rises, and drops removed upstreams', () => {
    const driver = new Driver(5, { floor: 0.6 });
    driver.ejectForWrongAnswers('u0');
    driver.apply({ kind: 'rules-changed', rules: rulesWith({ floor: 0.9 }) });
    expect(driver.healthState('u0')).toEqual('suspect');
    driver.apply({ kind: 'upstreams-changed', upstreams: upstreams(4) });
    expect(driver.healthState('u4')).toEqual('none');
    expect(driver.health.share('u4')).toEqual(0);
  });

  it('is never violated under random sequences of results, probes and rule changes', () => {
    const step = fc.record({
      upstream: fc.nat(4),
      result: fc.constantFrom(...RESULTS),
      probe: fc.constantFrom(...RESULTS),
      wait: fc.constantFrom(0, 0, 50, 400, 3_000),
      floor: fc.constantFrom(undefined, undefined, undefined, 0.4, 0.7, 0.9),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 120 }), (steps) => {
        const driver = new Driver(5, { floor: 0.6 }, 2);
        steps.forEach(({ upstream, result, probe, wait, floor }) => {
          const id = `u${upstream}`;
          if (floor) driver.apply({ kind: 'rules-changed', rules: rulesWith({ floor }) });
          driver.run(id, 10, result);
          driver.answerProbe(id, 'self', probe);
          driver.answerProbe(id, 'other-data-centre', probe);
          driver.advance(wait);
          if (driver.countInState('ejected') > 0)
            expect(driver.health.spareSlots >= 0).toEqual(true);
        });
        const violations = driver.effects.filter(
          (effect) => effect.kind === 'ejection-refused' && effect.reason === 'floor-invariant',
        );
        expect(violations).toEqual([]);
      }),
      { seed: 4, numRuns: 60 },
    );
  });
});
