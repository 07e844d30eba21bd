import { expect } from 'earl';
import fc from 'fast-check';
import { describe, it } from 'node:test';

import { describeTomlError, parseSettings } from '../../src/adapters';

const VALID = `dataCentre = "takoradi"
[listen]
address = "127.0.0.1"
callerPort = 7080
peerPort = 7081
operatorPort = 7082
[platform]
log = "http://127.0.0.1:9000"
hosts = "http://127.0.0.1:9001/"
[limits]
maxBodyBytes = "256MB"
drainTimeout = "1.5s"
`;

const refusal = (source: string): string =>
  parseSettings('node.toml', source).caseOf({ Left: describeTomlError, Right: () => 'accepted' });

describe('settings', () => {
  it('converts sizes to bytes and times to milliseconds, and fills in defaults', () => {
    const settings = parseSettings('node.toml', VALID).unsafeCoerce();
    expect(settings.limits.maxBodyBytes).toEqual(256 * 2 ** 20);
    expect(settings.limits.drainTimeout).toEqual(1500);
    expect(settings.platform.hosts).toEqual('http://127.0.0.1:9001');
    expect(settings.platform.timeout).toEqual(2000);
  });

  const refusals: readonly (readonly [from: string, to: string, start: string])[] = [
    ['peerPort = 7081', 'peerPort = 7080', 'node.toml:5: listen.peerPort: overlap'],
    ['peerPort = 7081', 'peerPort = "7081"', 'node.toml:5: listen.peerPort: wrong-type'],
    ['peerPort = 7081', 'peerPort = 70810', 'node.toml:5: listen.peerPort: out-of-range'],
    ['peerPort = 7081', '', 'node.toml:2: listen.peerPort: missing-key'],
    ['peerPort = 7081', 'peerport = 7081', 'node.toml:5: listen.peerport: unknown-key'],
    ['[limits]', '[limit]', 'node.toml:10: limit: unknown-key'],
    ['"1.5s"', '1500', 'node.toml:12: limits.drainTimeout: wrong-unit'],
    ['"1.5s"', '"1.5"', 'node.toml:12: limits.drainTimeout: wrong-unit'],
    ['"256MB"', '"256s"', 'node.toml:11: limits.maxBodyBytes: wrong-unit'],
    ['"127.0.0.1"', '"localhost"', 'node.toml:3: listen.address: out-of-range'],
    [':9000', ':7081', 'node.toml:8: platform.log: overlap'],
    ['"takoradi"', '""', 'node.toml:1: dataCentre: out-of-range'],
    ['[limits]', '[limits', 'node.toml:10: syntax'],
  ];
  refusals.forEach(([from, to, start]) =>
    it(`refuses ${start}`, () => {
      expect(refusal(VALID.replace(from, to)).startsWith(start)).toEqual(true);
    }),
  );

  it('does not throw on arbitrary text', () => {
    const lines = fc.constantFrom(...VALID.split('\n'), '[[listen]]', 'listen = 1', 'dataCentre');
    const source = fc.oneof(
      fc.string(),
      fc.array(fc.oneof(lines, fc.string())).map((all) => all.join('\n')),
    );
    fc.assert(
      fc.property(source, (text) => {
        parseSettings('node.toml', text);
      }),
      { seed: 1, numRuns: 500 },
    );
  });
});
