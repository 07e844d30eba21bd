import { expect } from 'earl';
import { describe, it } from 'node:test';

import { decodeConfig } from '../../platform';

type Fields = Readonly<Record<string, unknown>>;

const ROUTE = {
  name: 'r',
  pathPrefix: '/a/',
  routeType: 'safe',
  timeoutMs: 1000,
  targetLatencyMs: 500,
  priority: 0,
  maxAttempts: 2,
  service: 's',
};

const configOf = (...hosts: readonly { host: string; paths: readonly Fields[] }[]): Fields => ({
  version: '0000000c',
  services: ['s', 't'].map((name) => ({ name, healthPath: '/health', maxConnections: 9 })),
  limits: { maxHeaderBytes: 1, maxBodyBytes: 2, headerTimeoutMs: 3, idleTimeoutMs: 4 },
  virtualHosts: hosts,
});

const withRoutes = (...routes: readonly Fields[]): Fields =>
  configOf({ host: 'h', paths: routes.map((route) => ({ ...ROUTE, ...route })) });

const split = (...trafficSplit: readonly Fields[]): Fields =>
  withRoutes({ service: undefined, trafficSplit });

/** Returns the field by which a configuration is refused; undefined if it is taken. */
const refusedField = (config: Fields | string): string | undefined =>
  decodeConfig(Buffer.from(typeof config === 'string' ? config : JSON.stringify(config))).caseOf<
    string | undefined
  >({ Left: ({ field }) => field, Right: () => undefined });

/** Guards against an invalid configuration that is put in force. */
describe('a configuration that breaks a rule is refused', () => {
  const invalid: Readonly<Record<string, readonly [config: Fields | string, field: string]>> = {
    'one place twice': [withRoutes({}, { name: 'q' }), 'pathPrefix'],
    'one place in two entries of a host': [
      configOf({ host: 'h', paths: [ROUTE] }, { host: 'H', paths: [ROUTE] }),
      'pathPrefix',
    ],
    'a prefix that does not begin with a slash': [withRoutes({ pathPrefix: 'a/' }), 'pathPrefix'],
    'a prefix that does not end with a slash': [withRoutes({ pathPrefix: '/a' }), 'pathPrefix'],
    'no weight': [split({ service: 's' }), 'trafficSplit.weight'],
    'a negative weight': [
      split({ service: 's', weight: 2 }, { service: 't', weight: -1 }),
      'trafficSplit.weight',
    ],
    'weights of 0 only': [split({ service: 's', weight: 0 }), 'trafficSplit'],
    'an empty split': [split(), 'trafficSplit'],
    'a timeout of 0': [withRoutes({ timeoutMs: 0, targetLatencyMs: undefined }), 'timeoutMs'],
    'a negative timeout': [withRoutes({ timeoutMs: -5, targetLatencyMs: undefined }), 'timeoutMs'],
    'cut short': [JSON.stringify(withRoutes({})).slice(0, -9), 'not JSON'],
  };
  Object.entries(invalid).forEach(([name, [config, field]]) =>
    it(name, () => {
      expect(refusedField(config)).toEqual(field);
    }),
  );
});

/** Guards against a valid configuration that is refused, which would leave its hosts unserved. */
describe('a configuration that breaks no rule is taken', () => {
  const valid: Readonly<Record<string, Fields>> = {
    // The store accepts it, and deployments have it.
    'an objective over the timeout': withRoutes({ targetLatencyMs: 1001 }),
    // Its requests are refused; those of other routes are served.
    'a service that is not listed': withRoutes({ service: 'x' }),
    'the root prefix': withRoutes({ pathPrefix: '/' }),
    'prefixes of each other': withRoutes({}, { pathPrefix: '/a/b/' }),
    'a part of weight 0': split({ service: 's', weight: 1 }, { service: 't', weight: 0 }),
    'fractional weights': split({ service: 's', weight: 0.7 }, { service: 't', weight: 0.3 }),
    'one service twice in a split': split({ service: 's', weight: 1 }, { service: 's', weight: 1 }),
    'no objective': withRoutes({ targetLatencyMs: undefined }),
    'a host without routes': configOf({ host: 'h', paths: [] }),
    'fields of later versions': { ...withRoutes({ novel: 1 }), baseVersion: '00000005' },
  };
  Object.entries(valid).forEach(([name, config]) =>
    it(name, () => {
      expect(refusedField(config)).toEqual(undefined);
    }),
  );

  it('with all routes of a host that is listed twice', () => {
    const config = configOf(
      { host: 'h', paths: [ROUTE] },
      { host: 'H', paths: [{ ...ROUTE, pathPrefix: '/b/' }] },
    );
    const { hosts } = decodeConfig(Buffer.from(JSON.stringify(config))).unsafeCoerce();
    expect(hosts.get('h')?.map(({ pathPrefix }) => pathPrefix)).toEqual(['/a/', '/b/']);
  });
});
