import { expect } from 'earl';
import { describe, it } from 'node:test';

import {
  HostQuotas,
  quotaTermsOf,
  type QuotaEvent,
  type QuotaMember,
  type QuotaMessage,
  type TokenDecision,
} from '../../../src/core/quota';
import { DEFAULT_BOUNDS, type WorkspaceQuota } from '../../../src/model';

const TERMS = quotaTermsOf([], { ...DEFAULT_BOUNDS, quotaExcessRatio: 0.1 });
const READY = 5000;

const memberOf = (index: number): QuotaMember => ({
  incarnation: `n${index}`,
  dataCentre: '',
  address: `10.0.0.${index}`,
  peerPort: 7000,
  datagramVersion: 3,
  state: 'alive',
});

/** A host beside `peerCount` others that never answer, with what it sends and logs. */
const createHost = (peerCount: number) => {
  const quotas = new Map<string, WorkspaceQuota>([['w', { rate: 300, burst: 30 }]]);
  const sent: QuotaMessage[] = [];
  const events: QuotaEvent['kind'][] = [];
  const host = new HostQuotas(
    { ...memberOf(0) },
    TERMS,
    {
      quotaOf: (name) => quotas.get(name),
      send: (_, message) => sent.push(message),
      onEvent: ({ kind }) => events.push(kind),
    },
    0,
    100,
  );
  host.onMembers(
    Array.from({ length: peerCount + 1 }, (_, i) => memberOf(i)),
    0,
  );
  const decide = (now: number, workspace = 'w'): TokenDecision | undefined => {
    let decision: TokenDecision | undefined;
    host.request(workspace, now, now + 50, (made) => {
      decision = made;
    });
    return decision;
  };
  return { host, quotas, sent, events, decide };
};

describe('the quotas of one host', () => {
  it('decide at once and without a message where the host is the allocator', () => {
    const { host, sent, decide } = createHost(0);
    host.advance(READY);
    expect(decide(READY + 1000)?.kind).toEqual('granted');
    expect(decide(READY + 1000, 'unknown')?.kind).toEqual('unavailable');
    expect(sent).toEqual([]);
  });

  it('do not use a token past the end of its lease, in stock or given back', () => {
    const { host, quotas, decide } = createHost(0);
    host.advance(READY);
    const now = READY + 1000;
    const decisions = Array.from({ length: 10 }, () => decide(now));
    // Nothing more is granted from here on; the host has tokens that it asked for ahead of need.
    quotas.clear();
    expect(decide(now + 1)?.kind).toEqual('granted');
    const [first] = decisions;
    if (first?.kind !== 'granted') throw new Error('no token granted');
    const late = now + 2 * TERMS.lease + 1;
    host.giveBack('w', first.token, late);
    expect(decide(late)?.kind === 'granted').toEqual(false);
  });

  it('use a token again that was given back in time', () => {
    const { host, quotas, decide } = createHost(0);
    host.advance(READY);
    const now = READY + 1000;
    const decision = decide(now);
    if (decision?.kind !== 'granted') throw new Error('no token granted');
    quotas.clear();
    expect(decide(now + 1)?.kind).toEqual('unavailable');
    host.giveBack('w', decision.token, now + 2);
    expect(decide(now + 3)?.kind).toEqual('granted');
  });

  it('refuse in time, and at once later, where allocators do not answer', () => {
    const { host, sent, events } = createHost(30);
    const waits: number[] = [];
    let now = READY;
    const ask = (askedAt: number): void =>
      host.request('w', askedAt, askedAt + 50, ({ kind }) => {
        expect(kind).toEqual('unavailable');
        waits.push(now - askedAt);
      });
    for (const end = READY + 3000; now < end; now += 5) {
      host.onContact(now);
      if (now % 100 === 0) ask(now);
      host.advance(now);
    }
    expect(Math.max(...waits)).toBeLessThanOrEqual(50);
    expect(waits.at(-1)).toEqual(0);
    expect(events.filter((kind) => kind === 'allocator-silent').length).toBeGreaterThan(0);
    // Each silent allocator is asked about once a second, and each request is repeated once.
    expect(sent.length).toBeLessThanOrEqual(60);
  });
});
