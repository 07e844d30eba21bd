import { expect } from 'earl';
import http from 'node:http';
import net from 'node:net';
import { after, before, describe, it } from 'node:test';

import { httpGet, configOf, routeOf, GatewayHarness } from './harness';

describe('a gateway', () => {
  let harness: GatewayHarness;
  before(async () => {
    harness = await GatewayHarness.start(2);
  });
  after(() => harness.close());

  it('answers 503 and is not ready before it knows a configuration', async () => {
    const seen = await harness.request('early', '/any/x');
    expect(seen.status).toEqual(503);
    expect(Number(seen.headers['retry-after']) > 0).toEqual(true);
    expect((await httpGet(harness.ports.readiness, '/redwingmount/ready')).status).toEqual(503);
  });

  it('routes by the longest path prefix once it knows a configuration', async () => {
    harness.configure(5, [
      routeOf('/a/', 'safe'),
      routeOf('/a/b/', 'unsafe', { service: 'nowhere' }),
    ]);
    harness.upstreams.forEach((upstream) => harness.register(upstream));
    await harness.until(() => harness.count('config-in-force') === 1);
    await harness.until(() => harness.count('upstream-joined') === 2);
    expect((await httpGet(harness.ports.readiness, '/redwingmount/ready')).status).toEqual(200);
    expect((await harness.request('one', '/a/x?y=1')).status).toEqual(200);
    expect((await harness.request('two', '/a/b/x')).status).toEqual(503);
    expect((await harness.request('three', '/c/x')).status).toEqual(404);
    const [run] = harness.upstreams.flatMap(({ runs }) => runs);
    expect(run?.head.startsWith('GET /a/x?y=1 HTTP/1.1')).toEqual(true);
  });

  it('keeps its configuration when the store offers an older or malformed one', async () => {
    harness.configure(4, [routeOf('/old/', 'safe')]);
    harness.store.put('keyed.op', 'config', 'nonsense');
    await harness.until(() => harness.count('config-refused') === 1);
    expect((await harness.request('still', '/a/x')).status).toEqual(200);
    expect((await harness.request('old', '/old/x')).status).toEqual(404);
  });

  it('names its own address in the directory', async () => {
    const target = '/redwingmount/resolve?name=shop.example&region=r&zone=takoradi';
    // A gateway that knows no other answers 503 until it had time to discover others.
    let answer = await httpGet(harness.ports.directory, target);
    while (answer.status === 503) {
      await new Promise((resolve) => {
        setTimeout(resolve, 50);
      });
      answer = await httpGet(harness.ports.directory, target);
    }
    expect(answer.status).toEqual(200);
    expect(JSON.parse(answer.body)).toEqual({
      addresses: [`127.0.0.1:${harness.ports.callers}`],
      ttlS: 1,
    });
    expect((await httpGet(harness.ports.directory, '/other')).status).toEqual(404);
  });

  it('forwards end-to-end headers only, and the time that remains', async () => {
    await harness.request('headers', '/a/x', {
      headers: { connection: 'x-hop', 'x-hop': '1', 'x-end': '2', te: 'trailers' },
      deadlineMs: 1234,
    });
    const run = harness.upstreams.flatMap(({ runs }) => runs).find(({ id }) => id === 'headers');
    const head = run?.head.toLowerCase() ?? '';
    expect(head.includes('x-end: 2')).toEqual(true);
    expect(head.includes('x-hop')).toEqual(false);
    expect(head.includes('te: trailers')).toEqual(false);
    const left = Number(/x-redwingmount-deadline-ms: (\d+)/.exec(head)?.[1]);
    expect(left > 1000 && left <= 1234).toEqual(true);
    expect(head.match(/x-redwingmount-deadline-ms/g)?.length).toEqual(1);
  });

  it('forwards bodies of any framing and refuses those that are too large', async () => {
    const chunked = await harness.request('chunked', '/a/x', {
      method: 'POST',
      body: 'hello',
      headers: { 'transfer-encoding': 'chunked', expect: '100-continue' },
    });
    expect(chunked.status).toEqual(200);
    const run = harness.upstreams.flatMap(({ runs }) => runs).find(({ id }) => id === 'chunked');
    expect(run?.body).toEqual('hello');
    const long = await harness.request('long', '/a/x', {
      method: 'POST',
      body: 'x'.repeat(70_000),
    });
    expect(long.status).toEqual(413);
  });

  it('refuses a request with ambiguous framing, so that none is smuggled behind it', async () => {
    const first = await new Promise<string>((resolve) => {
      const socket = net.connect(harness.ports.callers, '127.0.0.1', () => {
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
    const targets = harness.upstreams.flatMap(({ runs }) => runs).map(({ head }) => head);
    expect(targets.some((head) => head.includes('smuggled'))).toEqual(false);
  });

  it('reuses connections to callers and upstreams', async () => {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    for (let i = 0; i < 5; i++) await harness.request(`kept-${i}`, '/a/x', { agent });
    agent.destroy();
    const runs = harness.upstreams
      .flatMap(({ id, runs: all }) => all.map((run) => ({ ...run, upstream: id })))
      .filter(({ id }) => id.startsWith('kept-'));
    expect(
      new Set(runs.map(({ upstream, connection }) => `${upstream} ${connection}`)).size < 5,
    ).toEqual(true);
  });

  it('puts a configuration of a higher version in force', async () => {
    harness.store.put('keyed.op', 'config', configOf(9, [routeOf('/new/', 'safe')]));
    await harness.until(() => harness.count('config-in-force') === 2);
    expect((await harness.request('new', '/new/x')).status).toEqual(200);
    expect((await harness.request('gone', '/a/x')).status).toEqual(404);
  });
});

describe('a planned stop', () => {
  it('is no longer ready, still serves requests, asks callers to reconnect, and ends', async () => {
    const harness = await GatewayHarness.start(2, [routeOf('/a/', 'unsafe')]);
    harness.upstreams.forEach((upstream) => Object.assign(upstream, { work: 800 }));
    const pending = harness.request('slow', '/a/x', { method: 'POST', body: 'b' });
    await harness.until(() => harness.runsOf('slow') === 1);
    const stopped = harness.gateway.stop();
    expect((await httpGet(harness.ports.readiness, '/redwingmount/ready')).status).toEqual(503);
    const late = await harness.request('late', '/a/x', { method: 'POST', body: 'b' });
    expect(late.status).toEqual(200);
    expect(late.headers.connection).toEqual('close');
    expect((await pending).status).toEqual(200);
    await stopped;
    await harness.close();
  });
});
