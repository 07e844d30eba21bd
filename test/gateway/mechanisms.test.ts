import { expect } from 'earl';
import { after, before, describe, it } from 'node:test';

import { MECHANISMS } from '../../src/model';

import { GatewayHarness, routeOf, type SeenAnswer } from './harness';

const REQUEST_COUNT = 40;
const MAX_ATTEMPTS = 2;

/**
 * Guards against a switch that turns off a promise together with a mechanism. One upstream rejects
 * all work, one breaks connections off, one is sound.
 */
describe('a gateway with all mechanisms switched off', () => {
  let harness: GatewayHarness;
  before(async () => {
    harness = await GatewayHarness.start(
      3,
      [
        routeOf('/read/', 'safe', { maxAttempts: MAX_ATTEMPTS }),
        routeOf('/w/', 'unsafe', { maxAttempts: MAX_ATTEMPTS }),
      ],
      { disabled: new Set(MECHANISMS) },
    );
    const [first, second] = harness.upstreams;
    if (!first || !second) throw new Error('no upstreams');
    first.mood = 'sheds';
    second.mood = 'resets';
  });
  after(() => harness.close());

  const sendAll = (path: string): Promise<readonly SeenAnswer[]> =>
    Promise.all(
      Array.from({ length: REQUEST_COUNT }, (_, i) => harness.request(`${path}${i}`, path)),
    );

  it('names them when it starts', () => {
    const started = harness.telemetry.events.find(({ name }) => name === 'started');
    expect(started?.fields.disabled).toEqual(MECHANISMS.join(','));
  });

  it('runs requests that are not idempotent at most once, and none that it refuses', async () => {
    const answers = await sendAll('/w/');
    answers.forEach(({ status }, i) => {
      const runs = harness.runsOf(`/w/${i}`);
      expect(runs).toBeLessThanOrEqual(1);
      if (status === 503) expect(runs).toEqual(0);
    });
    expect(answers.some(({ status }) => status === 200)).toEqual(true);
  });

  it('sends the others to no more upstreams than the route allows to run them', async () => {
    await sendAll('/read/');
    for (let i = 0; i < REQUEST_COUNT; i++) {
      expect(harness.runsOf(`/read/${i}`)).toBeLessThanOrEqual(MAX_ATTEMPTS);
    }
  });

  it('sends nothing more to an upstream that is draining', async () => {
    const sound = harness.upstreams[2];
    if (!sound) throw new Error('no upstream');
    harness.register(sound, { state: 'draining', sequence: 2 });
    await harness.until(() => harness.count('upstream-draining') === 1);
    const count = sound.received.length;
    await sendAll('/w/');
    expect(sound.received.length).toEqual(count);
  });

  it('puts a later configuration in force', async () => {
    harness.configure(2, [routeOf('/read/', 'safe')]);
    await harness.until(() => harness.count('config-in-force') === 2);
    expect((await harness.request('dropped', '/w/')).status).toEqual(404);
  });
});
