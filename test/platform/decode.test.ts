import { expect } from 'earl';
import fc from 'fast-check';
import { describe, it } from 'node:test';

import {
  decodeConfig,
  decodeRecordPage,
  decodeUpstream,
  headerConventions,
  directoryCodec,
  parseSettings,
} from '../../platform';
import { DEFAULT_BOUNDS } from '../../src/model';

const SEED = 20261203;

const json = (value: unknown): Buffer => Buffer.from(JSON.stringify(value));

const CONFIG = {
  version: '0000000c',
  services: [{ name: 's', healthPath: '/health', maxConnections: 9 }],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 2, headerTimeoutMs: 3, idleTimeoutMs: 4 },
  virtualHosts: [
    {
      host: 'Shop.Example',
      paths: [
        {
          name: 'r',
          pathPrefix: '/a/',
          routeType: 'download',
          timeoutMs: 10,
          targetLatencyMs: 5,
          priority: 0,
          maxAttempts: 3,
          trafficSplit: [
            { service: 's', weight: 9 },
            { service: 't', weight: 0 },
          ],
        },
      ],
    },
  ],
};

const UPSTREAM_ENTRY = {
  address: '10.0.0.1:80',
  info: { service: 's', version: 'v1', zone: 'a', slots: 2 },
  status: { state: 'ready', sequence: 3, warmupLeftMs: 250 },
  born: 1_700_000_000_000,
};

describe('decodeConfig', () => {
  it('decodes a configuration into the model’s form', () => {
    const config = decodeConfig(json(CONFIG)).unsafeCoerce();
    expect(config.version).toEqual(12);
    expect(config.limits.idleTimeout).toEqual(4);
    expect(config.hosts.get('shop.example')).toEqual([
      {
        name: 'r',
        pathPrefix: '/a/',
        kind: 'download',
        timeout: 10,
        latencyObjective: 5,
        maxAttempts: 3,
        priority: 0,
        isPublic: false,
        targets: [{ service: 's', weight: 9 }],
      },
    ]);
  });

  it('decodes an unknown kind of request as unsafe, so that it is not run twice', () => {
    const [host] = CONFIG.virtualHosts;
    const paths = [{ ...host?.paths[0], routeType: 'novel' }];
    const config = decodeConfig(json({ ...CONFIG, virtualHosts: [{ host: 'h', paths }] }));
    expect(config.unsafeCoerce().hosts.get('h')?.[0]?.kind).toEqual('unsafe');
  });

  it('finds the workspace of each key, and reads a rate of 0 as no limit', () => {
    const tenants = [
      { name: 'w1', apiKeys: ['k1', 'k2'], priority: 0, ratePerS: 5, burst: 7 },
      { name: 'w2', apiKeys: ['k3'], ratePerS: 0 },
      { name: 'w3', apiKeys: [] },
    ];
    const { workspacesByKey } = decodeConfig(json({ ...CONFIG, tenants })).unsafeCoerce();
    const first = { name: 'w1', priority: 0, quota: { rate: 5, burst: 7 } };
    expect([...(workspacesByKey ?? [])]).toEqual([
      ['k1', first],
      ['k2', first],
      ['k3', { name: 'w2', priority: undefined, quota: undefined }],
    ]);
  });

  it('looks at no key where the configuration has no workspaces', () => {
    expect(decodeConfig(json(CONFIG)).unsafeCoerce().workspacesByKey).toEqual(undefined);
  });

  it('refuses a key of two workspaces, and bad quotas, so that no request runs under a wrong name', () => {
    const refusal = (...tenants: readonly object[]): unknown =>
      decodeConfig(json({ ...CONFIG, tenants }))
        .swap()
        .unsafeCoerce().field;
    const one = { name: 'w1', apiKeys: ['k1'] };
    expect(refusal(one, { name: 'w2', apiKeys: ['k1'] })).toEqual('tenants.apiKeys');
    expect(refusal({ ...one, ratePerS: -1 })).toEqual('tenants.ratePerS');
    expect(refusal({ ...one, ratePerS: 1, burst: -1 })).toEqual('tenants.burst');
    expect(refusal({ ...one, apiKeys: 'k1' })).toEqual('tenants.apiKeys');
  });

  it('names the bad field, and does not throw on arbitrary JSON', () => {
    expect(decodeConfig(Buffer.from('{')).isLeft()).toEqual(true);
    expect(
      decodeConfig(json({ ...CONFIG, version: '12' }))
        .swap()
        .unsafeCoerce(),
    ).toEqual({
      field: 'version',
    });
    fc.assert(
      fc.property(fc.json(), (text) => decodeConfig(Buffer.from(text)).isLeft()),
      { seed: SEED },
    );
  });
});

describe('decodeUpstream', () => {
  it('decodes an entry into the model’s form', () => {
    expect(decodeUpstream('i-1', json(UPSTREAM_ENTRY), 1000).unsafeCoerce()).toEqual({
      id: 'i-1',
      service: 's',
      endpoint: { address: '10.0.0.1', port: 80 },
      dataCentre: 'a',
      slots: 2,
      state: 'ready',
      born: 1_700_000_000_000,
      reportSequence: 3,
      warmedUpAt: 1250,
    });
  });

  it('refuses an entry with a field of another type, and does not throw on arbitrary bytes', () => {
    const paths = ['address', 'info', 'status', 'info.slots', 'status.state', 'status.sequence'];
    paths.forEach((path) => {
      const [outer = '', inner] = path.split('.');
      const entry: Record<string, unknown> = structuredClone(UPSTREAM_ENTRY);
      if (inner) entry[outer] = { ...(entry[outer] as object), [inner]: [] };
      else entry[outer] = [];
      expect(decodeUpstream('i', json(entry), 0).isLeft()).toEqual(true);
    });
    expect(decodeUpstream('i', json({ ...UPSTREAM_ENTRY, born: 1.5 }), 0).isLeft()).toEqual(true);
    fc.assert(
      fc.property(fc.uint8Array(), (bytes) => decodeUpstream('i', Buffer.from(bytes), 0).isLeft()),
      { seed: SEED },
    );
  });
});

describe('decodeRecordPage', () => {
  const record = (key: string, value: Buffer): Buffer => {
    const name = Buffer.from(key);
    const head = Buffer.alloc(5);
    head.writeUInt32BE(1 + name.length + value.length);
    head.writeUInt8(name.length, 4);
    return Buffer.concat([head, name, value]);
  };
  const page = (end: number, records: readonly Buffer[]): Buffer => {
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(end));
    return Buffer.concat([head, ...records]);
  };

  it('returns the records that were encoded', () => {
    fc.assert(
      fc.property(
        fc.nat(),
        fc.array(fc.tuple(fc.string({ minLength: 1, maxLength: 20 }), fc.uint8Array())),
        (end, written) => {
          const body = page(
            end,
            written.map(([key, value]) => record(key, Buffer.from(value))),
          );
          const decoded = decodeRecordPage(body).unsafeCoerce();
          expect(decoded.end).toEqual(end);
          expect(decoded.records.map(({ key, value }) => [key, [...value]])).toEqual(
            written.map(([key, value]) => [key, [...value]]),
          );
        },
      ),
      { seed: SEED },
    );
  });

  it('refuses a page that is truncated within a record or the header', () => {
    const first = record('a', Buffer.from('one'));
    const body = page(2, [first, record('b', Buffer.from('two'))]);
    const whole = new Set([16, 16 + first.length, body.length]);
    for (let length = 0; length < body.length; length++) {
      expect(decodeRecordPage(body.subarray(0, length)).isRight()).toEqual(whole.has(length));
    }
  });

  it('does not throw on arbitrary bytes', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
        decodeRecordPage(Buffer.from(bytes));
      }),
      { seed: SEED },
    );
  });
});

describe('headerConventions and directoryCodec', () => {
  it('decodes a load header, and ignores a malformed one', () => {
    const load = (text: string | undefined): unknown => headerConventions.parseLoad(() => text);
    expect(load('3,1,6')).toEqual({ running: 3, waiting: 1 });
    [undefined, '', '3,1', '3,1,x', '-1,0,6'].forEach((text) =>
      expect(load(text)).toEqual(undefined),
    );
  });

  it('decodes what upstreams announce, and ignores malformed or repeated values', () => {
    const announced = (status: number, headers: Readonly<Record<string, string[]>>): unknown =>
      headerConventions.parseAnnouncement(status, (name) => headers[name] ?? []);
    const nothing = { rateLimit: undefined, isLeaving: false, pause: undefined, malformed: [] };
    expect(
      announced(503, { 'server-limit': ['1.4'], 'server-leaving': ['1'], 'retry-after': ['0.5'] }),
    ).toEqual({ rateLimit: 1.4, isLeaving: true, pause: 500, malformed: [] });
    expect(announced(429, { 'retry-after': ['2'] })).toEqual(nothing);
    ['-1', '', 'x', '1e3', '12345678901', 'Infinity'].forEach((text) =>
      expect(announced(200, { 'server-limit': [text] })).toEqual({
        ...nothing,
        malformed: ['limit'],
      }),
    );
    expect(announced(200, { 'server-limit': ['1', '2'], 'server-leaving': ['0'] })).toEqual({
      ...nothing,
      malformed: ['limit', 'leaving'],
    });
    ['-1', 'Fri, 04 Dec 2026 08:00:00 GMT'].forEach((text) =>
      expect(announced(503, { 'retry-after': [text] })).toEqual({
        ...nothing,
        malformed: ['pause'],
      }),
    );
    // Guards against an upstream that gets requests as it asks for a pause of more than an hour.
    ['3600', '86400', '999999999'].forEach((text) =>
      expect(announced(503, { 'retry-after': [text] })).toEqual({ ...nothing, pause: 3_600_000 }),
    );
  });

  it('decodes directory queries and encodes answers', () => {
    const target = '/redwingmount/resolve?name=h&region=r&zone=z';
    expect(directoryCodec.decode(target)).toEqual({ host: 'h', dataCentre: 'z' });
    expect(directoryCodec.decode('/else')).toEqual(undefined);
    expect(JSON.parse(directoryCodec.encode(['10.0.0.1:80'], 2))).toEqual({
      addresses: ['10.0.0.1:80'],
      ttlS: 2,
    });
  });
});

describe('parseSettings', () => {
  const FILE = [
    'nodeName = "edge-1"',
    'ip = "10.1.0.15"',
    'zone = "a"',
    'somethingNew = true',
    'portRange = [7620, 7635]',
    'seeds = ["10.1.0.15:8649"]',
    'bounds = ["drainMs=2000","graceS=6","retryBudgetRatio=0.2","budgetWindowS=10","budgetMinRetries=60","ttl_max_s=5","floorShare=0.7","later=true"]',
    '[listen]',
    'front = "10.1.0.15:8641"',
    'readiness = "10.1.0.15:8640"',
    'directory = "10.1.0.15:8644"',
    '[limits]',
    'cpuShare = 0.675',
    'cpuCores = 2',
    'linkMbps = 7.5',
    'maxFds = 4100',
    '[platform]',
    'address = "10.200.1.7:8642"',
  ].join('\n');

  it('decodes the settings and ignores unknown fields', () => {
    const settings = parseSettings('node.toml', FILE).unsafeCoerce();
    expect(settings.listen.peers).toEqual({ address: '10.1.0.15', port: 7620 });
    expect(settings.seeds).toEqual(['10.1.0.15']);
    expect(settings.bounds.stopGrace).toEqual(6000);
    expect(settings.store).toEqual({ address: '10.200.1.7', port: 8642 });
    expect(settings.limits).toEqual({
      cores: 1.35,
      megabitsPerSecond: 7.5,
      memoryBytes: Infinity,
      maxSockets: 3900,
    });
  });

  it('reads the bounds of keys and quotas, and binds hosts out of contact only if told to', () => {
    const boundsOf = (bounds: string): unknown => {
      const text = FILE.replace(/bounds = .*/, `bounds = [${bounds}]`);
      return parseSettings('node.toml', text).unsafeCoerce().bounds;
    };
    expect(
      boundsOf(
        '"strictRevoke=true","revokeMs=5000","quotaWindowS=4","quotaOver=0.2","quotaSlack=9"',
      ),
    ).toEqual({
      ...DEFAULT_BOUNDS,
      keyRevocationTime: 5000,
      quotaWindow: 4000,
      quotaExcessRatio: 0.2,
      quotaExcessCount: 9,
    });
    expect(boundsOf('"strictRevoke=false","revokeMs=5000"')).toEqual(DEFAULT_BOUNDS);
  });

  it('reads all data centres in the same order on every host', () => {
    const zones = (text: string): unknown =>
      parseSettings('node.toml', `${FILE}\n[zones]\n${text}`).unsafeCoerce().dataCentres;
    expect(zones('b = "r"\na = "r"')).toEqual(['a', 'b']);
    expect(zones('a = "r"\nb = "r"')).toEqual(['a', 'b']);
    expect(parseSettings('node.toml', FILE).unsafeCoerce().dataCentres).toEqual([]);
  });

  it('uses the default of each bound that the file leaves out', () => {
    const some = FILE.replace(/bounds = .*/, 'bounds = ["drainMs=2500"]');
    expect(parseSettings('node.toml', some).unsafeCoerce().bounds).toEqual({
      ...DEFAULT_BOUNDS,
      drainTime: 2500,
    });
    const none = FILE.replace(/bounds = .*\n/, '');
    expect(parseSettings('node.toml', none).unsafeCoerce().bounds).toEqual(DEFAULT_BOUNDS);
  });

  const badFields: readonly (readonly [string, string, string])[] = [
    ['front = "10.1.0.15:8641"', 'front = "nowhere"', 'listen.front'],
    ['"drainMs=2000"', '"drainMs=soon"', 'bounds.drainMs'],
    ['portRange = [7620, 7635]', 'portRange = [7620]', 'portRange'],
    ['zone = "a"', 'zone = 7', 'zone'],
    ['linkMbps = 7.5', 'linkMbps = 0', 'limits.linkMbps'],
    ['seeds = ["10.1.0.15:8649"]', 'seeds = "x"', 'seeds'],
    ['nodeName = "edge-1"', 'nodeName = ', ''],
  ];
  badFields.forEach(([from, to, field]) => {
    it(`names the bad field: ${to}`, () => {
      const err = parseSettings('node.toml', FILE.replace(from, to)).swap().unsafeCoerce();
      expect([err.file, err.field]).toEqual(['node.toml', field]);
      expect(err.wanted.length > 0).toEqual(true);
    });
  });
});
