import { expect } from 'earl';
import { describe, it } from 'node:test';

import { explainRequest, parseLogLine, type LogLine } from '../../src/cli/explain';

const line = (source: string, fields: Readonly<Record<string, unknown>>): LogLine => {
  const parsed = parseLogLine(`  1.25 ${source} ${JSON.stringify(fields)}`, source);
  if (!parsed) throw new Error('expected the text to parse as a log line');
  return parsed;
};

const LINES = [
  line('n1', { time: 900, event: 'upstream-joined', upstream: 'i-1', service: 's' }),
  line('n1', { time: 950, event: 'upstream-joined', upstream: 'i-9', service: 's' }),
  line('n1', { time: 1000, event: 'config-in-force', version: 4 }),
  line('n1', {
    time: 1005,
    event: 'request',
    request: 'a',
    outcome: 'answer',
    status: 500,
    upstream: 'i-1',
  }),
  line('n1', {
    time: 1004,
    event: 'attempt',
    request: 'a',
    upstream: 'i-1',
    outcome: 'failed',
    status: 500,
    tookMs: 3,
  }),
  line('n2', { time: 2000, event: 'request', request: 'b', outcome: 'refused', why: 'no-room' }),
  line('n2', {
    time: 3001,
    event: 'attempt',
    request: 'c',
    upstream: 'i-2',
    outcome: 'unknown',
    why: 'timeout',
    tookMs: 4000,
  }),
  line('n2', {
    time: 3002,
    event: 'request',
    request: 'c',
    outcome: 'lost',
    why: 'timeout',
    upstream: 'i-2',
  }),
];

/** A hedged request: the second attempt is answered first, and the first one times out later. */
const HEDGED_LINES = [
  line('n3', {
    time: 5000,
    event: 'attempt',
    request: 'd',
    upstream: 'i-4',
    number: 2,
    outcome: 'failed',
    status: 500,
    tookMs: 1038,
  }),
  line('n3', {
    time: 6000,
    event: 'attempt',
    request: 'd',
    upstream: 'i-3',
    number: 1,
    outcome: 'unknown',
    why: 'timeout',
    tookMs: 3976,
  }),
  line('n3', {
    time: 6000,
    event: 'request',
    request: 'd',
    outcome: 'answer',
    status: 500,
    upstream: 'i-4',
  }),
];

const causeOf = (id: string): string => explainRequest(LINES, id).at(-1) ?? '';

describe('explain', () => {
  it('orders a request’s lines and the state changes before it by time', () => {
    const events = explainRequest(LINES, 'a').map((text) => text.split(' ')[2]);
    expect(events.slice(0, 4)).toEqual([
      'upstream-joined',
      'config-in-force',
      'attempt',
      'request',
    ]);
  });

  it('tells an unknown key from a used up quota, so that operators look at the right one', () => {
    const causeOfLine = (fields: Readonly<Record<string, unknown>>): string =>
      explainRequest([line('n1', { time: 1, event: 'request', request: 'q', ...fields })], 'q').at(
        -1,
      ) ?? '';
    expect(causeOfLine({ outcome: 'unauthorized', keyDigest: '1727be964d2e' })).toEqual(
      'cause: the key with digest 1727be964d2e is of no workspace in the configuration in force; it did not run',
    );
    expect(causeOfLine({ outcome: 'unauthorized' })).toInclude('a missing or repeated key');
    expect(causeOfLine({ outcome: 'over-quota', workspace: 'w1', retryAfterMs: 204 })).toEqual(
      'cause: workspace w1 had used up its quota; it did not run, and was to come back after 204 ms',
    );
  });

  it('states the cause: an upstream failure, a refusal, a time-out, a lost node', () => {
    expect(causeOf('a').includes('upstream i-1 answered 500 after 3 ms')).toEqual(true);
    expect(causeOf('b')).toEqual('cause: the gateway refused it (no-room) and it did not run');
    expect(causeOf('c').includes('upstream i-2 gave no usable answer (timeout)')).toEqual(true);
    const cut = LINES.filter(({ event }) => event !== 'request');
    expect(explainRequest(cut, 'c').at(-1)?.includes('its node died or was cut off')).toEqual(true);
    expect(causeOf('nobody')).toEqual(
      'no line names request nobody: it reached none of these nodes, or its node died before its end',
    );
  });

  it('skips text that is not a gateway log line', () => {
    expect(parseLogLine('some text', 'n')).toEqual(undefined);
    expect(parseLogLine('{"time":"x"}', 'n')).toEqual(undefined);
    expect(parseLogLine('{broken', 'n')).toEqual(undefined);
  });

  it('names the upstream whose answer the caller got, even if another attempt ended later', () => {
    expect(explainRequest(HEDGED_LINES, 'd').at(-1)).toEqual(
      'cause: upstream i-4 answered 500 after 1038 ms, and it was not repeated further; upstream i-3 gave none (timeout)',
    );
  });

  it('shows the announcements that held a request back', () => {
    const lines = [
      line('n1', {
        time: 500,
        event: 'limit-announced',
        upstream: 'i-1',
        service: 's',
        perSecond: 1.4,
      }),
      line('n1', {
        time: 510,
        event: 'pause-announced',
        upstream: 'i-2',
        service: 'other',
        forMs: 9,
      }),
      line('n1', {
        time: 1000,
        event: 'request',
        request: 'h',
        service: 's',
        outcome: 'refused',
        why: 'held-back',
        retryAfterMs: 700,
        upstream: '',
      }),
    ];
    const explained = explainRequest(lines, 'h');
    expect(explained.length).toEqual(3);
    expect(explained[0]?.includes('"perSecond":1.4')).toEqual(true);
    expect(explained[2]).toEqual(
      'cause: all upstreams of s had announced limits, pauses or departures; the gateway refused it for 700 ms and it did not run',
    );
  });
});
