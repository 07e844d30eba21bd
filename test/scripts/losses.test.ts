import { expect } from 'earl';
import { describe, it } from 'node:test';

import { findLosses, type Loss } from '../../scripts/losses/causes';
import { parseLog } from '../../scripts/losses/log';
import { countRequests, lossReport } from '../../scripts/losses/report';

const line = (at: number, host: string, fields: Readonly<Record<string, unknown>>): string =>
  `  ${(Math.ceil(2 * at) / 2).toFixed(4)} ${host} ${JSON.stringify({ level: 'info', time: 5000 + 1000 * at, service: 's', route: 'r', ...fields })}`;

const request = (
  at: number,
  host: string,
  id: string,
  more: Readonly<Record<string, unknown>>,
): string => line(at, host, { event: 'request', request: id, attempts: 1, ...more });

const attempt = (
  at: number,
  host: string,
  id: string,
  more: Readonly<Record<string, unknown>>,
): string =>
  line(at, host, {
    event: 'attempt',
    request: id,
    upstream: 'u',
    placed: 'proven',
    number: 1,
    outcome: 'failed',
    status: 500,
    tookMs: 3,
    illBefore: 0.02,
    evidenceAgeMs: 400,
    ...more,
  });

const failed = (at: number, host: string, id: string, more = {}): readonly string[] => [
  attempt(at, host, id, more),
  request(at, host, id, { outcome: 'answer', status: 500, upstream: 'u' }),
];

const LOG = [
  'built in 0.8 s; 35092 lines in 392 files',
  ...failed(0.1, 'a', 'first'),
  request(1, 'a', 'good', { outcome: 'answer', status: 200, upstream: 'u' }),
  ...failed(1.5, 'b', 'early', { placed: 'cover' }),
  ...failed(1.9, 'a', 'again'),
  request(2, 'a', 'good-2', { outcome: 'answer', status: 200, upstream: 'u' }),
  ...failed(2.5, 'a', 'ran', { tookMs: 240 }),
  request(3, 'a', 'budget', { outcome: 'refused', why: 'no-repeat-left' }),
  request(3, 'a', 'full', { outcome: 'refused', why: 'no-room' }),
  request(3.2, 'a', 'late', { outcome: 'answer', status: 200, late: true, idempotent: true }),
  request(3.5, 'a', 'lost', { outcome: 'lost', why: 'timeout' }),
  request(3.6, 'a', 'left', { outcome: 'nobody' }),
  line(4, 'a', { event: 'served-left-out', requests: 7 }),
  '  4.1000 a {"level":"info","event":"request","request":"cut',
  'day                  own/srv  score  worth served',
].join('\n');

describe('the causes of requests that were not served', () => {
  const events = parseLog(LOG);
  const losses = findLosses(events);
  const of = (id: string): Loss | undefined => losses.find(({ request: found }) => found === id);

  it('follow from what any host had seen of the upstream before the request was sent', () => {
    expect(losses.map(({ request: id, cause }) => [id, cause])).toEqual([
      ['first', 'never-seen'],
      ['early', 'turned'],
      ['again', 'known-faulty'],
      ['ran', 'own-failure'],
      ['budget', 'retry-budget'],
      ['full', 'no-room'],
      ['late', 'late'],
      ['lost', 'no-answer'],
    ]);
    expect(of('again')?.known).toEqual({ good: false, ageMs: 397, host: 'b' });
    expect(of('early')).toEqual({
      request: 'early',
      host: 'b',
      second: 1,
      service: 's',
      route: 'r',
      idempotent: false,
      cause: 'turned',
      placed: 'cover',
      believed: 0.02,
      evidenceAgeMs: 400,
      known: { good: true, ageMs: 497, host: 'a' },
    });
    expect(of('late')?.idempotent).toEqual(true);
  });

  it('count the requests that the log only sums, and skip other and broken lines', () => {
    expect(countRequests(events)).toEqual(18);
    expect(parseLog('no log\n').length).toEqual(0);
  });

  it('are summed by cause, by placement and by second', () => {
    const report = lossReport(losses, countRequests(events));
    expect(report).toInclude('18 requests, 8 not served within their objective');
    expect(report).toInclude('| known-faulty | 1 | 5.56 % | 1 | 1 |');
    expect(report).toInclude('| cover | turned | 1 |');
    expect(report).toInclude('| 3 | 4 | retry-budget 1, no-room 1, late 1, no-answer 1 |');
  });
});
