import { expect } from 'earl';
import { describe, it } from 'node:test';

import { AcceptedConnections, maxAcceptedCount } from '../../../src/core/connections';

describe('AcceptedConnections', () => {
  const create = () => {
    const time = { now: 0 };
    const progress = new Map<string, { taken: number; waiting: number }>();
    const accepted = new AcceptedConnections<string>({
      now: () => time.now,
      of: (connection) => progress.get(connection) ?? { taken: 0, waiting: 0 },
    });
    ['a', 'b', 'c', 'new'].forEach((connection) => accepted.add(connection));
    return { accepted, time, progress };
  };

  it('gives up the longest idle connection for a new one', () => {
    const { accepted } = create();
    accepted.begin('a');
    accepted.begin('b');
    accepted.end('b');
    accepted.end('a');
    expect(accepted.toClose('new')).toEqual('c');
    accepted.remove('c');
    expect(accepted.toClose('new')).toEqual('b');
  });

  it('gives up none whose requests are at work', () => {
    const { accepted, time } = create();
    ['a', 'b', 'c'].forEach((connection) => accepted.begin(connection));
    accepted.toClose('new');
    time.now = 60_000;
    expect(accepted.toClose('new')).toEqual(undefined);
  });

  /** Guards against callers that occupy all descriptors with answers that they never read. */
  it('gives up a connection whose answers are not read, unless some of them are taken', () => {
    const { accepted, time, progress } = create();
    ['a', 'b', 'c'].forEach((connection) => accepted.begin(connection));
    progress.set('b', { taken: 100, waiting: 50 });
    progress.set('c', { taken: 100, waiting: 50 });
    expect(accepted.toClose('new')).toEqual(undefined);
    time.now = 1500;
    progress.set('b', { taken: 120, waiting: 30 });
    expect(accepted.toClose('new')).toEqual('c');
  });
});

describe('maxAcceptedCount', () => {
  it('keeps a quarter of the sockets, or as many as are used, for the gateway itself', () => {
    expect(maxAcceptedCount(1000, 0)).toEqual(734);
    expect(maxAcceptedCount(1000, 250)).toEqual(734);
    expect(maxAcceptedCount(1000, 400)).toEqual(584);
    expect(maxAcceptedCount(Number.POSITIVE_INFINITY, 400)).toEqual(Number.POSITIVE_INFINITY);
  });
});
