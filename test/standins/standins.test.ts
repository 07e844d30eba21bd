import { expect } from 'earl';
import { createHash } from 'node:crypto';
import { afterEach, describe, it } from 'node:test';

import {
  bundleETag,
  bundleHash,
  startFaultProxy,
  startHostList,
  startLog,
  startUpstream,
  type StandIn,
} from '../../standins';

const openStandIns: StandIn[] = [];

/** Registers a stand-in to be closed after the test. Returns it. */
const closedAfterTest = <T extends StandIn>(standIn: T): T => {
  openStandIns.push(standIn);
  return standIn;
};

const urlOf = (port: number, path: string): string => `http://127.0.0.1:${port}${path}`;

const postJson = (port: number, path: string, body: unknown): Promise<Response> =>
  fetch(urlOf(port, path), { method: 'POST', body: JSON.stringify(body) });

const readJson = async (res: Response): Promise<unknown> => res.json();

/** Polls until an upstream has started `total` runs. */
const waitUntilRuns = async (port: number, total: number): Promise<void> => {
  const runs = (await readJson(await fetch(urlOf(port, '/_runs')))) as { total: number };
  if (runs.total < total) await waitUntilRuns(port, total);
};

const startTestUpstream = (options: { slots?: number; latencyMs?: number } = {}) =>
  startUpstream({
    port: 0,
    id: 'asset-1',
    service: 'bookings',
    slots: 1,
    connections: 50,
    latencyMs: 1,
    probeLatencyMs: 0,
    ...options,
  }).then(closedAfterTest);

afterEach(async () => {
  await Promise.all(openStandIns.splice(0).map((standIn) => standIn.close()));
});

describe('the log stand-in', () => {
  it('keeps a record whose append is not answered', async () => {
    const { port } = closedAfterTest(await startLog({ port: 0, loseAnswers: 1 }));
    await expect(postJson(port, '/streams/config', { value: 'a' })).toBeRejected();
    expect(await readJson(await fetch(urlOf(port, '/streams/config?from=0')))).toEqual({
      records: [{ offset: 0, value: 'a' }],
      first: 0,
      next: 1,
    });
  });

  it('answers a long poll at the next append, and reports the first offset of a trimmed stream', async () => {
    const { port } = closedAfterTest(await startLog({ port: 0, retentionRecords: 1 }));
    const waiting = fetch(urlOf(port, '/streams/s?from=0&waitMs=10000'));
    await postJson(port, '/streams/s', { value: 1 });
    expect(await readJson(await waiting)).toEqual({
      records: [{ offset: 0, value: 1 }],
      first: 0,
      next: 1,
    });
    await postJson(port, '/streams/s', { value: 2 });
    const trimmed = await fetch(urlOf(port, '/streams/s?from=0'));
    expect([trimmed.status, await readJson(trimmed)]).toEqual([410, { first: 1 }]);
    expect(await readJson(await fetch(urlOf(port, '/_stats')))).toEqual({ appends: { s: 2 } });
  });

  it('refuses appends during an outage without storing them', async () => {
    const { port } = closedAfterTest(await startLog({ port: 0 }));
    await postJson(port, '/_control', { outage: true });
    expect((await postJson(port, '/streams/s', { value: 1 })).status).toEqual(503);
    await postJson(port, '/_control', { outage: false });
    expect(await readJson(await fetch(urlOf(port, '/streams/s')))).toEqual({
      records: [],
      first: 0,
      next: 0,
    });
  });
});

describe('the host list stand-in', () => {
  it('shows a change only after the lag', async () => {
    const row = {
      address: '127.0.0.1',
      callerPort: 1,
      peerPort: 2,
      dataCentre: 'sekondi',
      leaving: false,
    };
    const { port } = closedAfterTest(await startHostList({ port: 0, hosts: [row] }));
    await postJson(port, '/_control', { hosts: [], lagMs: 3_600_000 });
    expect(await readJson(await fetch(urlOf(port, '/hosts')))).toEqual([row]);
    await postJson(port, '/_control', { hosts: [], lagMs: 0 });
    expect(await readJson(await fetch(urlOf(port, '/hosts')))).toEqual([]);
  });
});

describe('the upstream stand-in', () => {
  it('counts runs of requests that started, and none of requests that it shed', async () => {
    const { port } = await startTestUpstream();
    await postJson(port, '/_control', { hang: true });
    const stop = new AbortController();
    const hung = fetch(urlOf(port, '/book'), {
      method: 'POST',
      headers: { 'idempotency-key': 'k1', 'redwing-request-id': 'r1' },
      body: 'x',
      signal: stop.signal,
    });
    await waitUntilRuns(port, 1);
    const shed = await fetch(urlOf(port, '/book'), { headers: { 'idempotency-key': 'k2' } });
    expect([shed.status, shed.headers.get('redwing-not-started')]).toEqual([503, 'busy']);
    expect(shed.headers.get('redwing-load')).toEqual('1/1');
    expect(await readJson(await fetch(urlOf(port, '/_runs')))).toEqual({
      total: 1,
      arrivals: 2,
      byKey: { k1: 1 },
      byRequestId: { r1: 1 },
    });
    stop.abort();
    await expect(hung).toBeRejected();
  });

  it('frees the slot of a caller that disconnected', async () => {
    const { port } = await startTestUpstream();
    await postJson(port, '/_control', { hang: true });
    await expect(fetch(urlOf(port, '/a'), { signal: AbortSignal.timeout(50) })).toBeRejected();
    await postJson(port, '/_control', { hang: false });
    let status = 503;
    while (status === 503) status = (await fetch(urlOf(port, '/a'))).status;
    expect(status).toEqual(200);
  });

  it('reports itself and the request, or another request under the fault wrong', async () => {
    const { port } = await startTestUpstream();
    const headers = { 'redwing-request-id': 'r1' };
    const res = await fetch(urlOf(port, '/fares?x=1'), { method: 'POST', body: 'hi', headers });
    expect(res.headers.get('redwing-request-id')).toEqual('r1');
    expect(await readJson(res)).toEqual({
      upstream: 'asset-1',
      service: 'bookings',
      method: 'POST',
      path: '/fares?x=1',
      requestId: 'r1',
      bodyHash: createHash('sha256').update('hi').digest('hex'),
    });
    await postJson(port, '/_control', { wrong: true });
    const wrong = await fetch(urlOf(port, '/fares'), { headers: { 'redwing-request-id': 'r2' } });
    expect(wrong.headers.get('redwing-request-id')).toEqual('r1');
  });

  it('answers 504 at the deadline', async () => {
    const { port } = await startTestUpstream({ latencyMs: 60_000 });
    const res = await fetch(urlOf(port, '/a'), { headers: { 'redwing-timeout-ms': '20' } });
    expect(res.status).toEqual(504);
  });

  it('reports ok to health checks under the fault misleadingHealth while requests fail', async () => {
    const { port } = await startTestUpstream();
    await postJson(port, '/_control', { errorRatio: 1 });
    expect((await fetch(urlOf(port, '/_health'))).status).toEqual(503);
    await postJson(port, '/_control', { misleadingHealth: true });
    expect((await fetch(urlOf(port, '/_health'))).status).toEqual(200);
    expect((await fetch(urlOf(port, '/a'))).status).toEqual(500);
  });

  it('serves a bundle complete or by range, and closes the connection of a truncated one', async () => {
    const { port } = await startTestUpstream();
    const bytes = 300_000;
    const url = urlOf(port, `/bundle/${bytes}`);
    const whole = Buffer.from(await (await fetch(url)).arrayBuffer());
    expect(createHash('sha256').update(whole).digest('hex')).toEqual(bundleHash(bytes));
    const range = { range: 'bytes=100000-' };
    const rest = await fetch(url, { headers: { ...range, 'if-range': bundleETag(bytes) } });
    expect(rest.status).toEqual(206);
    expect(Buffer.from(await rest.arrayBuffer()).equals(whole.subarray(100_000))).toEqual(true);
    const changed = await fetch(url, { headers: { ...range, 'if-range': '"other"' } });
    expect([changed.status, (await changed.arrayBuffer()).byteLength]).toEqual([200, bytes]);
    await postJson(port, '/_control', { truncateRatio: 1 });
    await expect(fetch(url).then((res) => res.arrayBuffer())).toBeRejected();
  });
});

describe('the fault proxy', () => {
  it('drops one direction: the request arrives, the answer does not', async () => {
    const target = await startTestUpstream();
    const proxy = closedAfterTest(
      await startFaultProxy({
        port: 0,
        controlPort: 0,
        targetHost: '127.0.0.1',
        targetPort: target.port,
      }),
    );
    expect((await fetch(urlOf(proxy.port, '/a'))).status).toEqual(200);
    await postJson(proxy.controlPort, '/_control', { down: 'drop' });
    const lost = fetch(urlOf(proxy.port, '/a'), { signal: AbortSignal.timeout(1000) });
    await waitUntilRuns(target.port, 2);
    await expect(lost).toBeRejected();
    await postJson(proxy.controlPort, '/_control', { down: 'pass', reset: true });
    expect((await fetch(urlOf(proxy.port, '/a'))).status).toEqual(200);
  });

  it('holds bytes back without loss, and resets connections', async () => {
    const target = await startTestUpstream();
    const proxy = closedAfterTest(
      await startFaultProxy({
        port: 0,
        controlPort: 0,
        targetHost: '127.0.0.1',
        targetPort: target.port,
        up: 'freeze',
      }),
    );
    const slow = fetch(urlOf(proxy.port, '/a'));
    await postJson(proxy.controlPort, '/_control', { up: { delayMs: 5 } });
    expect((await slow).status).toEqual(200);
    await postJson(target.port, '/_control', { hang: true });
    const broken = fetch(urlOf(proxy.port, '/a'));
    await waitUntilRuns(target.port, 2);
    await postJson(proxy.controlPort, '/_control', { reset: true });
    await expect(broken).toBeRejected();
  });
});
