import { expect } from 'earl';
import { describe, it } from 'node:test';

import { UpstreamList } from '../../../src/core/gateway';
import { UNKNOWN_START_UNIX_MS, type GatewayUpstream } from '../../../src/model';

const TRUE_PORT = 80;
const FALSE_PORT = 81;
const START_UNIX_MS = Date.UTC(2026, 0, 1);
const YEAR_MS = 365 * 24 * 3600 * 1000;

const entryOf = (more: Partial<GatewayUpstream>): GatewayUpstream => ({
  id: 'u',
  service: 's',
  endpoint: { address: '10.0.0.1', port: TRUE_PORT },
  dataCentre: 'a',
  slots: 2,
  state: 'ready',
  born: START_UNIX_MS,
  reportSequence: 40,
  warmedUpAt: 0,
  ...more,
});

const FALSE_ADDRESS = { endpoint: { address: '10.0.0.1', port: FALSE_PORT } };

/** Guards against an upstream that one odd entry under its id takes out of service for good. */
describe('an odd entry under the id of an upstream that goes on to report', () => {
  const odd: Readonly<Record<string, Partial<GatewayUpstream>>> = {
    'with the largest sequence': { reportSequence: Number.MAX_SAFE_INTEGER, ...FALSE_ADDRESS },
    'with a sequence that leaps': { reportSequence: 100, ...FALSE_ADDRESS },
    'with a start a year ahead': { born: START_UNIX_MS + YEAR_MS, ...FALSE_ADDRESS },
    'with the largest start': { born: Number.MAX_SAFE_INTEGER, ...FALSE_ADDRESS },
    'with both': {
      born: Number.MAX_SAFE_INTEGER,
      reportSequence: Number.MAX_SAFE_INTEGER,
      ...FALSE_ADDRESS,
    },
    'that says draining': { state: 'draining', reportSequence: 41 },
    'that says draining, with the largest sequence': {
      state: 'draining',
      reportSequence: Number.MAX_SAFE_INTEGER,
    },
    'of a later run that says draining': { state: 'draining', born: START_UNIX_MS + 1 },
  };
  [START_UNIX_MS, UNKNOWN_START_UNIX_MS].forEach((born) =>
    Object.entries(odd).forEach(([name, fields]) =>
      [true, false].forEach((isKnown) =>
        it(`${name}, start ${born > 0 ? 'known' : 'not known'}, upstream ${isKnown ? 'known' : 'new'}`, () => {
          const list = new UpstreamList();
          if (isKnown) list.apply({ kind: 'put', upstream: entryOf({ born }) });
          list.apply({ kind: 'put', upstream: entryOf({ born, ...fields }) });
          for (let reportSequence = 42; reportSequence < 46; reportSequence++) {
            list.apply({ kind: 'put', upstream: entryOf({ born, reportSequence }) });
          }
          const held = list.get('u');
          expect([held?.endpoint.port, held?.state]).toEqual([TRUE_PORT, 'ready']);
        }),
      ),
    ),
  );
});

/** Guards against a late write that is taken for a contradiction. */
describe('entries that the store carries out late', () => {
  const apply = (...entries: readonly Partial<GatewayUpstream>[]): GatewayUpstream | undefined => {
    const list = new UpstreamList();
    entries.forEach((fields) => list.apply({ kind: 'put', upstream: entryOf(fields) }));
    return list.get('u');
  };

  it('do not bring a draining upstream back', () => {
    const late = [41, 42, 43].map((reportSequence) => ({ reportSequence }));
    const held = apply({ reportSequence: 40 }, { reportSequence: 44, state: 'draining' }, ...late);
    expect(held?.state).toEqual('draining');
  });

  it('of an earlier run do not replace a run that reports', () => {
    const later = (reportSequence: number): Partial<GatewayUpstream> => ({
      born: START_UNIX_MS + 1,
      reportSequence,
      ...FALSE_ADDRESS,
    });
    const held = apply(
      later(1),
      { reportSequence: 41 },
      later(2),
      { reportSequence: 42 },
      later(3),
      { reportSequence: 43 },
    );
    expect(held?.endpoint.port).toEqual(FALSE_PORT);
  });

  it('twice the same do not refute anything', () => {
    const held = apply(
      { born: START_UNIX_MS + 1, ...FALSE_ADDRESS },
      { reportSequence: 41 },
      { reportSequence: 41 },
    );
    expect(held?.endpoint.port).toEqual(FALSE_PORT);
  });
});
