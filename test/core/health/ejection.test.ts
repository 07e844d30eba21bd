import { expect } from 'earl';
import { describe, it } from 'node:test';

import { CONNECT_FAILED, Driver, ERROR_STATUS, ok, TIMEOUT, MISMATCHED } from './driver';

const raiseSuspicion = (driver: Driver, upstream: string): void => {
  driver.fail(upstream, CONNECT_FAILED, 2);
  expect(driver.healthState(upstream)).toEqual('suspect');
};

describe('ejection', () => {
  it('sends probes from this node and from another data centre', () => {
    const driver = new Driver(5);
    driver.effects.length = 0;
    raiseSuspicion(driver, 'u0');
    const probes = driver.effects.flatMap((effect) => (effect.kind === 'probe' ? [effect] : []));
    expect(probes.map(({ from }) => from)).toEqual(['self', 'other-data-centre']);
    expect(probes.every(({ deadline }) => deadline > driver.now)).toEqual(true);
  });

  it('happens when the other data centre cannot reach the upstream either', () => {
    const driver = new Driver(5);
    raiseSuspicion(driver, 'u0');
    driver.answerProbe('u0', 'self', TIMEOUT);
    driver.answerProbe('u0', 'other-data-centre', CONNECT_FAILED);
    driver.advance(350);
    driver.fail('u0', CONNECT_FAILED, 1);
    expect(driver.healthState('u0')).toEqual('ejected');
  });

  it('does not happen, but a link fault is set, when only this node cannot reach the upstream', () => {
    const driver = new Driver(5);
    raiseSuspicion(driver, 'u0');
    driver.answerProbe('u0', 'self', TIMEOUT);
    driver.answerProbe('u0', 'other-data-centre', ok(25));
    expect(driver.healthState('u0')).toEqual('link-fault');
    expect(driver.health.share('u0')).toEqual(0);
  });

  it('is not needed to end a link fault, which a probe and a trial do', () => {
    const driver = new Driver(5);
    raiseSuspicion(driver, 'u0');
    driver.answerProbe('u0', 'self', TIMEOUT);
    driver.answerProbe('u0', 'other-data-centre', ok(25));
    driver.advance(1_100);
    driver.answerProbe('u0', 'self', ok(25));
    driver.answerProbe('u0', 'other-data-centre', ok(25));
    driver.advance(350);
    for (let trial = 0; trial < 30; trial++) driver.run('u0', 25);
    expect(driver.healthState('u0')).toEqual('healthy');
  });

  it('happens despite good probes when an upstream gives wrong answers', () => {
    const driver = new Driver(5);
    driver.ejectForWrongAnswers('u0');
    expect(driver.healthState('u0')).toEqual('ejected');
  });

  it('does not happen because a health endpoint reports a healthy upstream as failing', () => {
    const driver = new Driver(5);
    const errorStatus = { ...ERROR_STATUS, status: 503 } as const;
    driver.answerProbe('u0', 'self', errorStatus);
    expect(driver.healthState('u0')).toEqual('healthy');
    driver.fail('u0', CONNECT_FAILED, 2);
    driver.answerProbe('u0', 'self', errorStatus);
    driver.answerProbe('u0', 'other-data-centre', errorStatus);
    driver.advance(350);
    for (let trial = 0; trial < 30; trial++) driver.run('u0', 25);
    expect(driver.healthState('u0')).toEqual('healthy');
  });

  it('does not happen after one pause that delays all open requests', () => {
    const driver = new Driver(5, { costRatio: 100 });
    const open = Array.from({ length: 6 }, () => driver.start('u0'));
    driver.advance(200);
    open.forEach((attempt) => driver.end('u0', attempt, ok(210)));
    driver.answerProbe('u0', 'self', ok(25));
    driver.answerProbe('u0', 'other-data-centre', ok(25));
    driver.advance(350);
    for (let trial = 0; trial < 30; trial++) driver.run('u0', 25);
    expect(driver.healthState('u0')).toEqual('healthy');
  });

  it('is refused while most upstreams fail at once', () => {
    const driver = new Driver(5, { floor: 0 });
    ['u0', 'u1', 'u2', 'u3'].forEach((upstream) => driver.fail(upstream, MISMATCHED, 2));
    driver.advance(2_500);
    ['u0', 'u1', 'u2', 'u3'].forEach((upstream) => driver.fail(upstream, MISMATCHED, 4));
    expect(driver.countInState('ejected')).toEqual(0);
    expect(
      driver.effects.some(
        (effect) => effect.kind === 'ejection-refused' && effect.reason === 'many-at-once',
      ),
    ).toEqual(true);
  });

  it('is refused while the event loop of this process lags', () => {
    const driver = new Driver(5);
    driver.apply({ kind: 'self-observed', loopLag: 300 });
    driver.ejectForWrongAnswers('u1');
    driver.fail('u1', MISMATCHED, 20);
    expect(driver.healthState('u1')).toEqual('suspect');
    expect(
      driver.effects.some(
        (effect) => effect.kind === 'ejection-refused' && effect.reason === 'local-health',
      ),
    ).toEqual(true);
  });
});

describe('event-loop lag', () => {
  it('is excluded once from the age of open attempts', () => {
    const driver = new Driver(5, { costRatio: 200 });
    for (let open = 0; open < 6; open++) driver.start('u0');
    driver.now += 1_000;
    driver.apply({ kind: 'self-observed', loopLag: 1_000 });
    driver.apply({ kind: 'tick' });
    expect(driver.healthState('u0')).toEqual('healthy');
    driver.advance(1_000);
    expect(driver.healthState('u0')).toEqual('suspect');
  });
});

describe('readmission', () => {
  it('goes through probe, trial and ramp to a full share', () => {
    const driver = new Driver(5);
    driver.ejectForWrongAnswers('u0');
    driver.advance(10_000);
    expect(driver.healthState('u0')).toEqual('ejected');
    driver.answerProbe('u0', 'self', ok(25));
    expect(driver.healthState('u0')).toEqual('probation');
    expect(driver.health.upstreamDueForTrial(true)).toEqual('u0');
    for (let trial = 0; trial < 40; trial++) driver.run('u0', 25);
    expect(driver.health.share('u0') < 1).toEqual(true);
    driver.advance(3_100);
    expect(driver.healthState('u0')).toEqual('healthy');
    expect(driver.health.share('u0')).toEqual(1);
  });

  it('accepts an error status from the health endpoint as an answer', () => {
    const driver = new Driver(5);
    driver.ejectForWrongAnswers('u0');
    driver.advance(10_000);
    driver.answerProbe('u0', 'self', ERROR_STATUS);
    expect(driver.healthState('u0')).toEqual('probation');
  });

  it('doubles the hold-down with each ejection, up to a cap', () => {
    const driver = new Driver(5);
    const holds: number[] = [];
    for (let round = 0; round < 10; round++) {
      if (driver.healthState('u0') === 'healthy') driver.ejectForWrongAnswers('u0');
      while (driver.healthState('u0') === 'probation') driver.fail('u0', MISMATCHED, 1);
      const state = driver.health.healthState('u0');
      if (state?.kind !== 'ejected') throw new Error(`not ejected: ${state?.kind}`);
      holds.push(state.until - driver.now);
      driver.advance(state.until - driver.now + 1_100);
      driver.answerProbe('u0', 'self', ok(25));
    }
    expect(Math.round((holds[1] ?? 0) / (holds[0] ?? 1))).toEqual(2);
    expect(holds.at(-1)).toEqual(300_000);
  });
});
