import { expect } from 'earl';
import { after, before, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { GatewayHarness, routeOf } from './harness';

/** Time in milliseconds after the third crash from which the bound holds. */
const STABILITY_WINDOW_MS = 3000;
const CRASHES_BEFORE_BOUND_COUNT = 3;
/** Most sends of a request after that time. */
const MAX_SENDS_AFTER_COUNT = 3;
const REQUEST_GAP_MS = 50;
const CRASH_PATH = '/read/crash';

describe('a request that crashes each upstream that runs it', () => {
  let harness: GatewayHarness;
  before(async () => {
    harness = await GatewayHarness.start(6, [routeOf('/read/', 'safe')]);
    harness.upstreams.forEach((upstream) => {
      let born = 1;
      Object.assign(upstream, {
        work: 30,
        crashPath: CRASH_PATH,
        onRestart: () => {
          born += 1;
          harness.register(upstream, { born });
        },
      });
    });
  });
  after(() => harness.close());

  const crashCount = (): number =>
    harness.upstreams.reduce((sum, upstream) => sum + upstream.crashCount, 0);

  it('reaches upstreams at most three more times once it has crashed three', async () => {
    let boundFrom = Number.POSITIVE_INFINITY;
    const answers: Promise<number>[] = [];
    const others: Promise<number>[] = [];
    const until = Date.now() + 9000;
    for (let i = 0; Date.now() < until; i++) {
      answers.push(harness.request(`crash-${i}`, CRASH_PATH).then(({ status }) => status));
      others.push(harness.request(`other-${i}`, '/read/other').then(({ status }) => status));
      await sleep(REQUEST_GAP_MS);
      if (crashCount() >= CRASHES_BEFORE_BOUND_COUNT)
        boundFrom = Math.min(boundFrom, Date.now() + STABILITY_WINDOW_MS);
    }
    await Promise.all([...answers, ...others]);
    expect(crashCount() >= CRASHES_BEFORE_BOUND_COUNT).toEqual(true);
    const sends = harness.upstreams
      .flatMap(({ received }) => received)
      .filter(({ id, at }) => id.startsWith('crash-') && at >= boundFrom).length;
    expect({ sends, keeps: sends <= MAX_SENDS_AFTER_COUNT }).toEqual({ sends, keeps: true });
    const last = await harness.request('crash-last', CRASH_PATH);
    expect(last.status).toEqual(503);
    expect(Number(last.headers['retry-after']) > 0).toEqual(true);
    expect((await harness.request('other-last', '/read/other')).status).toEqual(200);
  });
});
