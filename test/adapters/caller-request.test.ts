import { expect } from 'earl';
import type { IncomingMessage } from 'node:http';
import { describe, it } from 'node:test';

import { readCall } from '../../src/adapters/caller/request';
import { notRunOutcome, unknownOutcome, type Route } from '../../src/model';

const route: Route = {
  method: 'POST',
  pathPrefix: '/',
  service: 'bookings',
  idempotent: false,
  timeout: 5000,
};
/** A key under a prefix that a node handed out, and a caller's own key. */
const KEYS = ['h1.n1.zz.a', 'my-own-key'] as const;

const parseRequest = (headers: Record<string, string>, known: Route | undefined): unknown => {
  const req = { headers, rawHeaders: [], method: 'POST', url: '/x' } as unknown as IncomingMessage;
  return readCall(req, 'c', known, 0).extract();
};

describe('readCall', () => {
  it('does not refuse as not-run a call under a key, which another copy may have run', () => {
    KEYS.forEach((key) => {
      const late = parseRequest({ 'idempotency-key': key, 'redwing-timeout-ms': '0' }, route);
      expect(late).toEqual(unknownOutcome('timeout'));
      expect(parseRequest({ 'idempotency-key': key }, undefined)).toEqual(
        expect.subset({ service: '', idempotent: false }),
      );
    });
  });

  it('refuses as not-run a request without a key', () => {
    expect(parseRequest({ 'redwing-timeout-ms': '0' }, route)).toEqual(
      notRunOutcome('deadline-passed'),
    );
    expect(parseRequest({}, undefined)).toEqual(notRunOutcome('unknown-route'));
  });
});
