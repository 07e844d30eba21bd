import { expect } from 'earl';
import http from 'node:http';
import net from 'node:net';
import { after, before, describe, it } from 'node:test';

import { ask, configOf, routeOf, Scene } from './harness';

describe('a gateway', () => {
  let scene: Scene;
  before(async () => {
    scene = await Scene.start(2);
  });
  after(() => scene.close());

  it('answers 503 and is not ready before it knows a configuration', async () => {
    const seen = await scene.request('early', '/any/x');
    expect(seen.status).toEqual(503);
    expect(Number(seen.headers['retry-after']) > 0).toEqual(true);
    expect((await ask(scene.ports.readiness, '/redwingmount/ready')).status).toEqual(503);
  });

  it('serves by the longest prefix of the host once it does', async () => {
    scene.configure(5, [
      routeOf('/a/', 'safe'),
      routeOf('/a/b/', 'unsafe', { service: 'nowhere' }),
    ]);
    scene.upstreams.forEach((upstream) => scene.register(upstream));
    await scene.until(() => scene.count('config-in-force') === 1);
    await scene.until(() => scene.count('upstream-joined') === 2);
    expect((await ask(scene.ports.readiness, '/redwingmount/ready')).status).toEqual(200);
    expect((await scene.request('one', '/a/x?y=1')).status).toEqual(200);
    expect((await scene.request('two', '/a/b/x')).status).toEqual(503);
    expect((await scene.request('three', '/c/x')).status).toEqual(404);
    const [run] = scene.upstreams.flatMap(({ runs }) => runs);
    expect(run?.head.startsWith('GET /a/x?y=1 HTTP/1.1')).toEqual(true);
  });

  it('never goes back to an older configuration', async () => {
    scene.configure(4, [routeOf('/old/', 'safe')]);
    scene.store.put('keyed.op', 'config', 'nonsense');
    await scene.until(() => scene.count('config-refused') === 1);
    expect((await scene.request('still', '/a/x')).status).toEqual(200);
    expect((await scene.request('old', '/old/x')).status).toEqual(404);
  });

  it('names itself in the directory', async () => {
    const target = '/redwingmount/resolve?name=shop.example&region=r&zone=takoradi';
    // Alone, it waits a moment for others to show.
    let answer = await ask(scene.ports.directory, target);
    while (answer.status === 503) {
      await new Promise((resolve) => {
        setTimeout(resolve, 50);
      });
      answer = await ask(scene.ports.directory, target);
    }
    expect(answer.status).toEqual(200);
    expect(JSON.parse(answer.body)).toEqual({
      addresses: [`127.0.0.1:${scene.ports.callers}`],
      ttlS: 1,
    });
    expect((await ask(scene.ports.directory, '/other')).status).toEqual(404);
  });

  it('forwards headers but those of one connection, and the time that is left', async () => {
    await scene.request('headers', '/a/x', {
      headers: { connection: 'x-hop', 'x-hop': '1', 'x-end': '2', te: 'trailers' },
      deadlineMs: 1234,
    });
    const run = scene.upstreams.flatMap(({ runs }) => runs).find(({ id }) => id === 'headers');
    const head = run?.head.toLowerCase() ?? '';
    expect(head.includes('x-end: 2')).toEqual(true);
    expect(head.includes('x-hop')).toEqual(false);
    expect(head.includes('te: trailers')).toEqual(false);
    const left = Number(/x-redwingmount-deadline-ms: (\d+)/.exec(head)?.[1]);
    expect(left > 1000 && left <= 1234).toEqual(true);
    expect(head.match(/x-redwingmount-deadline-ms/g)?.length).toEqual(1);
  });

  it('forwards bodies of any framing and refuses those that are too long', async () => {
    const chunked = await scene.request('chunked', '/a/x', {
      method: 'POST',
      body: 'hello',
      headers: { 'transfer-encoding': 'chunked', expect: '100-continue' },
    });
    expect(chunked.status).toEqual(200);
    const run = scene.upstreams.flatMap(({ runs }) => runs).find(({ id }) => id === 'chunked');
    expect(run?.body).toEqual('hello');
    const long = await scene.request('long', '/a/x', { method: 'POST', body: 'x'.repeat(70_000) });
    expect(long.status).toEqual(413);
  });

  it('refuses bytes that are no request and smuggled ones', async () => {
    const first = await new Promise<string>((resolve) => {
      const socket = net.connect(scene.ports.callers, '127.0.0.1', () => {
        socket.write(
          'POST /a/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 5\r\n' +
            'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /a/smuggled HTTP/1.1\r\n\r\n',
        );
      });
      let text = '';
      socket.on('data', (chunk) => {
        text += chunk.toString();
      });
      socket.on('close', () => resolve(text));
    });
    expect(first.startsWith('HTTP/1.1 400')).toEqual(true);
    const targets = scene.upstreams.flatMap(({ runs }) => runs).map(({ head }) => head);
    expect(targets.some((head) => head.includes('smuggled'))).toEqual(false);
  });

  it('keeps callers and upstreams connected between requests', async () => {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    for (let i = 0; i < 5; i++) await scene.request(`kept-${i}`, '/a/x', { agent });
    agent.destroy();
    const runs = scene.upstreams
      .flatMap(({ id, runs: all }) => all.map((run) => ({ ...run, upstream: id })))
      .filter(({ id }) => id.startsWith('kept-'));
    expect(
      new Set(runs.map(({ upstream, connection }) => `${upstream} ${connection}`)).size < 5,
    ).toEqual(true);
  });

  it('puts later versions in force', async () => {
    scene.store.put('keyed.op', 'config', configOf(9, [routeOf('/new/', 'safe')]));
    await scene.until(() => scene.count('config-in-force') === 2);
    expect((await scene.request('new', '/new/x')).status).toEqual(200);
    expect((await scene.request('gone', '/a/x')).status).toEqual(404);
  });
});

describe('a planned stop', () => {
  it('cuts off nothing, is told to callers, and ends', async () => {
    const scene = await Scene.start(2, [routeOf('/a/', 'unsafe')]);
    scene.upstreams.forEach((upstream) => Object.assign(upstream, { work: 800 }));
    const pending = scene.request('slow', '/a/x', { method: 'POST', body: 'b' });
    await scene.until(() => scene.runsOf('slow') === 1);
    const stopped = scene.gateway.stop();
    expect((await ask(scene.ports.readiness, '/redwingmount/ready')).status).toEqual(503);
    const late = await scene.request('late', '/a/x', { method: 'POST', body: 'b' });
    expect(late.status).toEqual(200);
    expect(late.headers.connection).toEqual('close');
    expect((await pending).status).toEqual(200);
    await stopped;
    await scene.close();
  });
});
