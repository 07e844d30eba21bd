import { expect } from 'earl';
import { describe, it } from 'node:test';

import { CONNECT_FAILED, Driver, ERROR_STATUS, ok, MISMATCHED } from './driver';

describe('suspicion', () => {
  it('stops new work after two wrong answers', () => {
    const driver = new Driver(5);
    driver.fail('u0', MISMATCHED, 2);
    expect(driver.healthState('u0')).toEqual('suspect');
    expect(driver.health.share('u0')).toEqual(0);
    expect(driver.health.availableSlots('u0')).toEqual(0);
  });

  it('ends after successful trial attempts, one at a time', () => {
    const driver = new Driver(5);
    driver.fail('u0', CONNECT_FAILED, 2);
    expect(driver.health.upstreamDueForTrial(true)).toEqual(undefined);
    driver.advance(350);
    expect(driver.health.upstreamDueForTrial(true)).toEqual('u0');
    const attempt = driver.start('u0');
    expect(driver.health.availableSlots('u0')).toEqual(0);
    driver.end('u0', attempt, ok(25));
    for (let trial = 0; trial < 30; trial++) driver.run('u0', 25);
    expect(driver.healthState('u0')).toEqual('healthy');
    expect(driver.effects.some((effect) => 'to' in effect && effect.to.kind === 'ejected')).toEqual(
      false,
    );
  });

  it('is tested by calls that are not idempotent if no others come for two seconds', () => {
    const driver = new Driver(5);
    driver.fail('u0', CONNECT_FAILED, 2);
    driver.advance(2200);
    expect(driver.health.upstreamDueForTrial(false)).toEqual(undefined);
    driver.advance(150);
    driver.answerProbe('u0', 'self', CONNECT_FAILED);
    expect(driver.health.upstreamDueForTrial(false)).toEqual(undefined);
    driver.advance(2000);
    driver.answerProbe('u0', 'self', ok(25));
    expect(driver.health.upstreamDueForTrial(false)).toEqual('u0');
    for (let trial = 0; trial < 30; trial++) driver.run('u0', 25);
    expect(driver.healthState('u0')).toEqual('healthy');
  });

  it('is raised by stalled requests before any of them ends', () => {
    const driver = new Driver(5);
    for (let open = 0; open < 6; open++) driver.start('u0');
    driver.advance(200);
    expect(driver.healthState('u0')).toEqual('suspect');
  });

  it('is raised by connections that do not open', () => {
    const driver = new Driver(5);
    for (let open = 0; open < 2; open++) {
      const attempt = driver.start('u0');
      driver.apply({ kind: 'attempt-connecting', upstream: 'u0', attempt });
    }
    driver.advance(50);
    expect(driver.healthState('u0')).toEqual('suspect');
  });

  it('is raised by latencies five times those of the peers, not by 1.3 times', () => {
    const driver = new Driver(5);
    for (let round = 0; round < 60; round++) driver.run('u1', (20 + (round % 30)) * 1.3);
    expect(driver.healthState('u1')).toEqual('healthy');
    for (let round = 0; round < 6; round++) driver.run('u0', 150);
    expect(driver.healthState('u0')).toEqual('suspect');
  });

  it('is not raised by shed attempts, which show load', () => {
    const driver = new Driver(5);
    driver.fail('u0', { kind: 'shed', cause: 'busy' }, 50);
    expect(driver.healthState('u0')).toEqual('healthy');
  });

  it('counts a cancelled attempt only by the time it waited', () => {
    const driver = new Driver(5);
    driver.fail('u0', { kind: 'cancelled', waited: 10 }, 50);
    expect(driver.healthState('u0')).toEqual('healthy');
    const open = Array.from({ length: 4 }, () => driver.start('u0'));
    driver.now += 140;
    open.forEach((attempt) => driver.end('u0', attempt, { kind: 'cancelled', waited: 140 }));
    expect(driver.healthState('u0')).toEqual('suspect');
  });

  it('is not raised by errors that all peers return too, as callers cause them', () => {
    const driver = new Driver(10);
    for (let round = 0; round < 200; round++) {
      for (let index = 0; index < 10; index++) {
        driver.run(`u${index}`, 3, (round + index) % 5 === 0 ? ERROR_STATUS : ok(25));
      }
      driver.apply({ kind: 'tick' });
    }
    driver.advance(1_000);
    for (let round = 0; round < 200; round++) {
      for (let index = 0; index < 10; index++) {
        driver.run(`u${index}`, 3, (round + index) % 5 === 0 ? ERROR_STATUS : ok(25));
      }
      driver.apply({ kind: 'tick' });
    }
    expect(driver.countInState('ejected')).toEqual(0);
    expect(driver.countInState('healthy') >= 9).toEqual(true);
  });

  it('needs more evidence when a false ejection costs more', () => {
    const failuresUntilSuspect = (costRatio: number): number => {
      const driver = new Driver(5, { costRatio });
      let failures = 0;
      while (driver.healthState('u0') === 'healthy') {
        driver.fail('u0', ERROR_STATUS, 1);
        failures += 1;
      }
      return failures;
    };
    expect(failuresUntilSuspect(30) < failuresUntilSuspect(3)).toEqual(true);
  });
});
