import { expect } from 'earl';
import { after, before, beforeEach, describe, it } from 'node:test';

import { LARGE_BODY_BYTES, type UpstreamFaultMode } from '../../standins/platform';

import { routeOf, Scene } from './harness';

const SAFE = '/read/';
const UNSAFE = '/book/';

describe('answers of upstreams that break the protocol', () => {
  let scene: Scene;
  before(async () => {
    scene = await Scene.start(2, [
      routeOf(SAFE, 'safe', { maxAttempts: 3 }),
      routeOf(UNSAFE, 'unsafe'),
    ]);
  });
  after(() => scene.close());
  beforeEach(() => {
    scene.upstreams.forEach((upstream) => Object.assign(upstream, { mood: 'well', work: 5 }));
  });

  const broken: readonly UpstreamFaultMode[] = [
    'resets',
    'truncates',
    'not-http',
    'unsigned',
    'wrong-chunk',
  ];
  broken.forEach((mood) => {
    it(`are never passed on as whole: ${mood}`, async () => {
      scene.upstreams.forEach((upstream) => Object.assign(upstream, { mood }));
      const id = `unsafe-${mood}`;
      const seen = await scene.request(id, `${UNSAFE}x`, { method: 'POST', body: 'b' });
      expect(seen.status).toEqual(502);
      expect(scene.runsOf(id)).toEqual(1);
      expect(seen.headers['x-redwingmount-response-signature']).toEqual(undefined);
    });
  });

  (['extra', 'late-extra', 'foreign-first'] as const).forEach((mood) => {
    it(`reach no other request: ${mood}`, async () => {
      scene.upstreams.forEach((upstream) => Object.assign(upstream, { mood }));
      for (let i = 0; i < 6; i++) {
        const id = `${mood}-${i}`;
        const seen = await scene.request(id, `${UNSAFE}x`, { method: 'POST', body: 'b' });
        expect(seen.status).toEqual(200);
        expect(seen.body.endsWith(` ${id}`)).toEqual(true);
        expect(seen.headers['x-redwingmount-request-id']).toEqual(id);
      }
    });
  });

  it('are missed once where idle connections are dropped, and then on new ones no more', async () => {
    scene.upstreams.forEach((upstream) => Object.assign(upstream, { mood: 'drops-idle' }));
    const statuses: number[] = [];
    for (let i = 0; i < 8; i++) {
      const id = `dropped-${i}`;
      const seen = await scene.request(id, `${UNSAFE}x`, { method: 'POST', body: 'b' });
      statuses.push(seen.status);
      await new Promise((resolve) => {
        setTimeout(resolve, 200);
      });
    }
    expect(statuses.filter((status) => status !== 200).length <= 1).toEqual(true);
  });

  it('that end with their connection are passed on with no length of ours', async () => {
    scene.upstreams.forEach((upstream) => Object.assign(upstream, { mood: 'unframed' }));
    for (const [id, path, method] of [
      ['unframed-safe', SAFE, 'GET'],
      ['unframed-unsafe', UNSAFE, 'POST'],
    ] as const) {
      const seen = await scene.request(id, `${path}x`, { method });
      expect(seen.status).toEqual(200);
      expect(seen.body.endsWith(` ${id}`)).toEqual(true);
      expect(seen.headers['content-length']).toEqual(undefined);
      expect(seen.headers['transfer-encoding']).toEqual(undefined);
      expect(seen.headers.connection).toEqual('close');
    }
    expect(scene.runsOf('unframed-unsafe')).toEqual(1);
  });

  it('that end with their connection are asked for again where that is safe', async () => {
    scene.upstreams.forEach((upstream, i) =>
      Object.assign(upstream, { mood: i === 0 ? 'unframed' : 'well' }),
    );
    for (let i = 0; i < 6; i++) {
      const seen = await scene.request(`framed-${i}`, `${SAFE}x`);
      expect(seen.headers['content-length'] !== undefined).toEqual(true);
    }
  });

  it('are passed on whole when they are too long to be held, and broken off if they were', async () => {
    scene.upstreams.forEach((upstream) => Object.assign(upstream, { mood: 'large' }));
    const whole = await scene.request('large', `${UNSAFE}x`, { method: 'POST', body: 'b' });
    expect([whole.status, whole.body.length, whole.broken]).toEqual([200, LARGE_BODY_BYTES, false]);
    expect(whole.body.endsWith(' large')).toEqual(true);
    scene.upstreams.forEach((upstream) => Object.assign(upstream, { mood: 'large-cut' }));
    const cut = await scene.request('large-cut', `${UNSAFE}x`, { method: 'POST', body: 'b' });
    expect(cut.broken).toEqual(true);
    expect(scene.runsOf('large-cut')).toEqual(1);
  });

  it('that come before a long body was read go to their request, and the rest of it nowhere', async () => {
    scene.upstreams.forEach((upstream) => Object.assign(upstream, { mood: 'early' }));
    for (let i = 0; i < 4; i++) {
      const id = `early-${i}`;
      const body = 'b'.repeat(60_000);
      const seen = await scene.request(id, `${UNSAFE}x`, { method: 'POST', body });
      expect([seen.status, seen.body.endsWith(` ${id}`)]).toEqual([400, true]);
    }
    scene.upstreams.forEach((upstream) => Object.assign(upstream, { mood: 'well' }));
    const next = await scene.request('after-early', `${UNSAFE}x`, { method: 'POST', body: 'b' });
    expect([next.status, next.body.endsWith(' after-early')]).toEqual([200, true]);
    const ids = scene.upstreams.flatMap(({ runs }) => runs.map(({ id }) => id));
    expect(ids.filter((id) => id.startsWith('early-')).length).toEqual(4);
    expect(ids.includes('')).toEqual(false);
  });

  it('of an attempt that lost to another are let go of, though they are long', async () => {
    const [first, second] = scene.upstreams;
    if (!first || !second) throw new Error('two upstreams are wanted');
    Object.assign(first, { mood: 'large', work: 1200 });
    Object.assign(second, { mood: 'large', work: 1200 });
    const seen = await scene.request('both', `${SAFE}x`);
    expect([seen.status, seen.body.length]).toEqual([200, LARGE_BODY_BYTES]);
    scene.upstreams.forEach((upstream) => Object.assign(upstream, { mood: 'well', work: 5 }));
    const next = await Promise.all([1, 2, 3, 4].map((n) => scene.request(`n-${n}`, `${SAFE}x`)));
    expect(next.every(({ status }) => status === 200)).toEqual(true);
  });

  it('pass a failure on as the upstream gave it', async () => {
    scene.upstreams.forEach((upstream) => Object.assign(upstream, { mood: 'fails' }));
    const seen = await scene.request('fails', `${UNSAFE}x`, { method: 'POST', body: 'b' });
    expect(seen.status).toEqual(500);
    expect(seen.headers['x-redwingmount-response-signature']).toEqual('3e1b.07');
    expect(scene.runsOf('fails')).toEqual(1);
  });
});

describe('repeats', () => {
  let scene: Scene;
  before(async () => {
    scene = await Scene.start(2, [routeOf(SAFE, 'safe'), routeOf(UNSAFE, 'unsafe')]);
  });
  after(() => scene.close());
  beforeEach(() => {
    scene.upstreams.forEach((upstream) => Object.assign(upstream, { mood: 'well', work: 5 }));
  });

  it('take an idempotent request past an upstream that fails', async () => {
    const [ill] = scene.upstreams;
    if (ill) ill.mood = 'fails';
    for (let i = 0; i < 8; i++) {
      const seen = await scene.request(`repeat-${i}`, `${SAFE}x`);
      expect(seen.status).toEqual(200);
    }
  });

  it('take any request past an upstream that says it did not run', async () => {
    const [shedding] = scene.upstreams;
    if (shedding) shedding.mood = 'sheds';
    for (let i = 0; i < 8; i++) {
      const id = `shed-${i}`;
      const seen = await scene.request(id, `${UNSAFE}x`, { method: 'POST', body: 'b' });
      expect(seen.status).toEqual(200);
      expect(scene.runsOf(id)).toEqual(1);
    }
  });

  it('say "not run" only when all upstreams said so', async () => {
    scene.upstreams.forEach((upstream) => Object.assign(upstream, { mood: 'sheds' }));
    const seen = await scene.request('all-shed', `${UNSAFE}x`, { method: 'POST', body: 'b' });
    expect(seen.status).toEqual(503);
    expect(Number(seen.headers['retry-after']) > 0).toEqual(true);
    expect(scene.runsOf('all-shed')).toEqual(0);
  });

  it('join a hung attempt of an idempotent request', async () => {
    const [first] = scene.upstreams;
    if (first) first.mood = 'hangs';
    for (let i = 0; i < 4; i++) {
      const seen = await scene.request(`hang-${i}`, `${SAFE}x`);
      expect(seen.status).toEqual(200);
    }
  });

  it('cancel the work of a caller that leaves', async () => {
    scene.upstreams.forEach((upstream) => Object.assign(upstream, { work: 1500 }));
    const left = new AbortController();
    const pending = scene
      .request('leaver', `${SAFE}x`, { signal: left.signal })
      .catch(() => undefined);
    await scene.until(() => scene.runsOf('leaver') > 0);
    left.abort();
    await pending;
    await scene.until(() => scene.upstreams.some(({ cancelled }) => cancelled.includes('leaver')));
  });

  it('answer by the time that the route allows', async () => {
    scene.upstreams.forEach((upstream) => Object.assign(upstream, { mood: 'hangs' }));
    const id = 'too-long';
    const seen = await scene.request(id, `${UNSAFE}x`, {
      method: 'POST',
      body: 'b',
      deadlineMs: 400,
    });
    expect(seen.status).toEqual(504);
    expect(scene.runsOf(id)).toEqual(1);
  });
});
