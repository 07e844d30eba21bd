import { expect } from 'earl';
import { after, before, describe, it } from 'node:test';

import { entryOf, routeOf, Scene } from './harness';

const PATH = '/read/';

describe('upstreams that come and go', () => {
  let scene: Scene;
  before(async () => {
    scene = await Scene.start(2, [routeOf(PATH, 'safe')]);
  });
  after(() => scene.close());

  const served = async (prefix: string, count: number): Promise<ReadonlySet<string>> => {
    const bodies = await Promise.all(
      Array.from({ length: count }, (_, i) => scene.request(`${prefix}-${i}`, `${PATH}x`)),
    );
    expect(bodies.every(({ status }) => status === 200)).toEqual(true);
    return new Set(bodies.map(({ body }) => body.split(' ')[0] ?? ''));
  };

  it('get no new work once they drain, though an old report follows', async () => {
    const [first, second] = scene.upstreams;
    if (!first || !second) throw new Error('two upstreams are wanted');
    scene.register(first, { state: 'draining', sequence: 3 });
    await scene.until(() => scene.count('upstream-draining') === 1);
    scene.register(first, { state: 'ready', sequence: 2 });
    scene.store.put('keyed.servers', 'i-news', 'a record that follows');
    await scene.until(() => scene.count('upstream-entry-refused') === 1);
    expect(await served('draining', 8)).toEqual(new Set([second.id]));
  });

  it('are taken anew after a restart under their id', async () => {
    const [first, second] = scene.upstreams;
    if (!first || !second) throw new Error('two upstreams are wanted');
    scene.register(first, { born: 2, sequence: 1 });
    await scene.until(() => scene.count('upstream-reborn') === 1);
    scene.register(second, { state: 'draining', sequence: 9 });
    await scene.until(() => scene.count('upstream-draining') === 2);
    expect(await served('reborn', 8)).toEqual(new Set([first.id]));
    scene.register(second, { born: 2, sequence: 1 });
    await scene.until(() => scene.count('upstream-reborn') === 2);
  });

  it('are left alone by entries that name none', async () => {
    const refused = scene.count('upstream-entry-refused');
    [
      'not json',
      [],
      { address: 'nowhere' },
      { ...entryOf(scene.upstreams[0]!), address: 7 },
      { ...entryOf(scene.upstreams[0]!), born: 'yesterday' },
      {
        ...entryOf(scene.upstreams[0]!),
        status: { state: 'asleep', sequence: 1, warmupLeftMs: 0 },
      },
    ].forEach((value, i) => scene.store.put('keyed.servers', `foreign-${i}`, value));
    await scene.until(() => scene.count('upstream-entry-refused') === refused + 6);
    expect((await served('foreign', 8)).size > 0).toEqual(true);
  });

  it('are asked by id, so that another at their address runs nothing', async () => {
    const [first, second] = scene.upstreams;
    if (!first || !second) throw new Error('two upstreams are wanted');
    // The first one's entry now points at the second one's address.
    scene.store.put('keyed.servers', first.id, entryOf(second, { born: 3 }));
    await scene.until(() => scene.count('upstream-reborn') === 3);
    expect(await served('reused', 8)).toEqual(new Set([second.id]));
    scene.register(first, { born: 4 });
    await scene.until(() => scene.count('upstream-reborn') === 4);
  });

  it('stay in use while the store is away or talks nonsense', async () => {
    for (const mood of ['busy', 'reset', 'cut-short'] as const) {
      scene.store.mood = mood;
      expect((await served(mood, 4)).size > 0).toEqual(true);
    }
    scene.store.mood = 'well';
  });

  it('stay in use while their entries, lapsed during an outage of the store, come back', async () => {
    const left = scene.count('upstream-left');
    const regained = scene.count('feed-regained');
    scene.store.mood = 'busy';
    await scene.until(() => scene.telemetry.events.at(-1)?.name === 'feed-lost');
    scene.upstreams.forEach(({ id }) => scene.store.put('keyed.servers', id));
    scene.store.mood = 'well';
    await scene.until(() => scene.count('feed-regained') > regained);
    await scene.until(() => scene.count('upstream-lapsed') === 2);
    expect((await served('lapsed', 8)).size > 0).toEqual(true);
    scene.upstreams.forEach((upstream, i) =>
      scene.register(upstream, { born: i === 0 ? 4 : 2, sequence: 50 }),
    );
    await new Promise((resolve) => {
      setTimeout(resolve, 2500);
    });
    expect(scene.count('upstream-left')).toEqual(left);
    expect((await served('back', 8)).size > 0).toEqual(true);
  });

  it('are read anew after the store has dropped its history', async () => {
    const [first] = scene.upstreams;
    if (!first) throw new Error('an upstream is wanted');
    scene.store.put('keyed.servers', 'filler', 'x');
    scene.store.put('keyed.servers', 'filler');
    scene.store.compact('keyed.servers');
    scene.store.put('keyed.servers', first.id);
    await scene.until(() => scene.count('upstream-left') >= 1);
    expect((await served('compacted', 4)).has(first.id)).toEqual(false);
  });
});
