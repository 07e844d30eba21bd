import { expect } from 'earl';
import { describe, it } from 'node:test';

import { SendingHosts, TermsRegistry, UpstreamTerms } from '../../../src/core/announcements';
import { NO_ANNOUNCEMENT, type UpstreamAnnouncement } from '../../../src/model';

const ALONE = new SendingHosts(['a'], 'a', -10_000);
const GENUINE = { genuine: true };

const announcing = (more: Partial<UpstreamAnnouncement>): UpstreamAnnouncement => ({
  ...NO_ANNOUNCEMENT,
  ...more,
});

describe('the terms of an upstream', () => {
  it('end a pause at the latest of the ends that it has named', () => {
    const terms = new UpstreamTerms('u');
    terms.apply(announcing({ pause: 3000 }), GENUINE, 0);
    terms.apply(announcing({ pause: 500 }), GENUINE, 1000);
    expect(terms.heldUntil(ALONE)).toEqual(3000);
    expect(terms.mayStillSend(2999)).toEqual(false);
    expect(terms.mayStillSend(3000)).toEqual(true);
  });

  it('end a limit with a genuine answer that names none, and with no other', () => {
    const terms = new UpstreamTerms('u');
    terms.apply(announcing({ rateLimit: 2 }), GENUINE, 0);
    terms.apply(NO_ANNOUNCEMENT, { genuine: false }, 10);
    expect(terms.limit?.rate).toEqual(2);
    expect(terms.apply(NO_ANNOUNCEMENT, GENUINE, 20)).toEqual([
      { kind: 'limit', before: 2, rateLimit: undefined },
    ]);
    expect(terms.heldUntil(ALONE)).toEqual(Number.NEGATIVE_INFINITY);
  });

  it('take over what another gateway heard only if it is later', () => {
    const terms = new UpstreamTerms('u');
    terms.apply(announcing({ rateLimit: 2 }), GENUINE, 100);
    expect(terms.adoptLimit({ rate: 5, heardAt: 50 })).toEqual([]);
    expect(terms.adoptLimit({ rate: undefined, heardAt: 150 }).length).toEqual(1);
    expect(terms.limit?.rate).toEqual(undefined);
  });

  it('send something now and then to an upstream whose limit is 0, to learn of its end', () => {
    const terms = new UpstreamTerms('u');
    terms.apply(announcing({ rateLimit: 0 }), GENUINE, 0);
    terms.heldUntil(ALONE);
    terms.recordSend(1000);
    const next = terms.heldUntil(ALONE);
    expect(next > 1000 && Number.isFinite(next)).toEqual(true);
  });

  it('outlast the registration and end with the run of the upstream', () => {
    const registry = new TermsRegistry();
    const run = { id: 'u', born: 1 };
    registry.of(run).apply(announcing({ isLeaving: true }), GENUINE, 0);
    expect(registry.of(run).isLeaving).toEqual(true);
    expect(registry.of({ ...run, born: 2 }).isLeaving).toEqual(false);
    // An answer of the earlier run that comes late changes nothing.
    expect(registry.find(run)).toEqual(undefined);
    expect(registry.of({ ...run, born: 2 }).isLeaving).toEqual(false);
  });
});
