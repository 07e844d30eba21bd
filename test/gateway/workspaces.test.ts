import { expect } from 'earl';
import { after, before, describe, it } from 'node:test';

import { GatewayHarness, routeOf } from './harness';

const KEY = 'jy5rcpihhacruddedev3';
const OTHER_KEY = 'nax7u27gxprymh2rryta';
const PATHS = [
  routeOf('/read/', 'safe'),
  routeOf('/w/', 'unsafe'),
  routeOf('/open/', 'safe', { public: true }),
];
const WORKSPACES = [
  { name: 'cuka620', apiKeys: [KEY], priority: 1 },
  { name: 'lovo22d', apiKeys: [OTHER_KEY], priority: 0 },
];

describe('a gateway with workspaces in its configuration', () => {
  let harness: GatewayHarness;
  before(async () => {
    harness = await GatewayHarness.start(2, PATHS);
    harness.configure(2, PATHS, { tenants: WORKSPACES });
    await harness.until(() => harness.count('config-in-force') === 2);
  });
  after(() => harness.close());

  const send = async (
    id: string,
    path: string,
    headers: Readonly<Record<string, string>>,
  ): Promise<{ readonly status: number; readonly heads: readonly string[] }> => {
    const { status } = await harness.request(id, path, { headers });
    const received = harness.upstreams.flatMap((upstream) => upstream.received);
    return {
      status,
      heads: received.filter((request) => request.id === id).map(({ head }) => head.toLowerCase()),
    };
  };

  it('names the workspace of the key to the upstream, and keeps the key to itself', async () => {
    const { status, heads } = await send('a1', '/read/x', { 'X-Api-Key': KEY });
    expect(status).toEqual(200);
    expect(heads.length).toEqual(1);
    expect(heads[0] ?? '').toInclude('x-redwingmount-tenant: cuka620');
    expect(heads[0]?.includes(KEY)).toEqual(false);
  });

  it('replaces the name of a workspace that a caller sends, so that none poses as another', async () => {
    const headers = { 'X-Api-Key': KEY, 'X-Redwingmount-Tenant': 'lovo22d' };
    const { heads } = await send('a2', '/w/x', headers);
    expect(heads[0] ?? '').toInclude('x-redwingmount-tenant: cuka620');
    expect(heads[0]?.includes('lovo22d')).toEqual(false);
  });

  it('answers 401 to a key that is unknown, missing or sent twice, and runs nothing', async () => {
    const unknown = await send('a3', '/read/x', { 'X-Api-Key': 'somebody' });
    const missing = await send('a4', '/read/x', {});
    const twice = await send('a5', '/read/x', { 'X-Api-Key': `${KEY}, ${OTHER_KEY}` });
    const none = { status: 401, heads: [] };
    expect([unknown, missing, twice]).toEqual([none, none, none]);
  });

  it('serves a public route without a key, and in nobody’s name', async () => {
    const headers = { 'X-Api-Key': 'somebody', 'X-Redwingmount-Tenant': 'lovo22d' };
    const { status, heads } = await send('a6', '/open/x', headers);
    expect(status).toEqual(200);
    expect(heads[0]?.includes('lovo22d')).toEqual(false);
    expect(heads[0]?.includes('somebody')).toEqual(false);
  });

  it('writes a digest of a refused key to the log, and no key', () => {
    const text = JSON.stringify(harness.telemetry.events);
    expect(text).toInclude('keyDigest');
    expect([KEY, OTHER_KEY, 'somebody'].some((key) => text.includes(key))).toEqual(false);
  });

  it('refuses a key from the moment at which a configuration without it is in force', async () => {
    harness.configure(3, PATHS, { tenants: [{ name: 'cuka620', apiKeys: [] }] });
    await harness.until(() => harness.count('config-in-force') === 3);
    expect((await send('a7', '/read/x', { 'X-Api-Key': KEY })).status).toEqual(401);
  });

  it('forwards the headers of keys and workspaces like others without workspaces', async () => {
    harness.configure(4, PATHS);
    await harness.until(() => harness.count('config-in-force') === 4);
    const { status, heads } = await send('a8', '/read/x', { 'X-Api-Key': KEY });
    expect(status).toEqual(200);
    expect(heads[0] ?? '').toInclude(`x-api-key: ${KEY}`);
  });
});
