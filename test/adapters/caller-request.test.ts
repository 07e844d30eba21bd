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
const KEYS = ['h1.n1.zz.a', 'my-own-key'] as const;

const read = (headers: Record<string, string>, known: Route | undefined): unknown => {
  const req = { headers, rawHeaders: [], method: 'POST', url: '/x' } as unknown as IncomingMessage;
  return readCall(req, 'c', known, 0).extract();
};

describe('readCall', () => {
  it('does not say not-run of a key that another copy may have run', () => {
    KEYS.forEach((key) => {
      const late = read({ 'idempotency-key': key, 'redwing-timeout-ms': '0' }, route);
      expect(late).toEqual(unknownOutcome('timeout'));
      expect(read({ 'idempotency-key': key }, undefined)).toEqual(
        expect.subset({ service: '', idempotent: false }),
      );
    });
  });

  it('refuses a request without a key for good', () => {
    expect(read({ 'redwing-timeout-ms': '0' }, route)).toEqual(notRunOutcome('deadline-passed'));
    expect(read({}, undefined)).toEqual(notRunOutcome('unknown-route'));
  });
});
