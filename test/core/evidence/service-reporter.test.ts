import { expect } from 'earl';
import { describe, it } from 'node:test';

import { REPORT_TICK_MS, ServiceReporter, type UpstreamReport } from '../../../src/core/evidence';
import { RECENT_USE_WINDOW_MS, UpstreamStats } from '../../../src/core/placement';
import type { GatewayUpstream } from '../../../src/model';

const upstream: GatewayUpstream = {
  id: 'i-1',
  service: 's',
  endpoint: { address: '127.0.0.1', port: 1 },
  dataCentre: 'a',
  slots: 6,
  state: 'ready',
  born: 1,
  reportSequence: 1,
  warmedUpAt: 0,
};
const TICKS_PER_REPORT = 4;

/** A reporter to owners in other data centres with one upstream, in virtual time. */
class Bench {
  readonly stats = new UpstreamStats(upstream, undefined);

  readonly reporter = new ServiceReporter(TICKS_PER_REPORT);

  now = 10_000;

  private requestCount = 0;

  /** Sends a request that ends at once with this evidence; returns whether a report is urgent. */
  use(evidence: 'good' | 'failed-early' = 'good'): boolean {
    this.requestCount += 1;
    const id = `r-${this.requestCount}`;
    this.stats.attemptStarted(id, this.now, this.now + 1000);
    this.stats.attemptEnded(id);
    return this.reporter.record(this.stats, evidence, this.now, this.now);
  }

  tick(): readonly UpstreamReport[] {
    return this.reporter.takeDue([this.stats], this.now);
  }
}

/** Returns the greatest age of the use that others know of, with uses `gap` milliseconds apart. */
const oldestKnownUse = (gap: number): number => {
  const bench = new Bench();
  const ages: number[] = [];
  let knownUseAt = 0;
  for (let at = 0; at < 60_000; at += 10) {
    bench.now = 10_000 + at;
    if (at % gap === 0) bench.use();
    if (at % REPORT_TICK_MS === 130) {
      const [report] = bench.tick();
      if (report?.sentAgo !== undefined) knownUseAt = bench.now - report.sentAgo;
    }
    if (at > 3000) ages.push(bench.now - knownUseAt);
  }
  return Math.max(...ages);
};

describe('reports to owners in other data centres', () => {
  // Guards against the bytes of today: a report of each good response every 250 ms.
  it('are one a second for an upstream that responds well, with all evidence', () => {
    const bench = new Bench();
    const reports: UpstreamReport[] = [];
    const seconds = 10;
    for (let at = 0; at < seconds * 1000; at += 50) {
      bench.now = 10_000 + at;
      bench.use();
      if (at % REPORT_TICK_MS === 0) reports.push(...bench.tick());
    }
    expect(reports.length >= seconds - 1 && reports.length <= seconds + 1).toEqual(true);
    const evidence = reports.reduce((sum, { goodCount }) => sum + goodCount, 0);
    expect(evidence >= (seconds - 1) * 4 && evidence <= seconds * 4).toEqual(true);
  });

  // Guards against failures that wait for the next report of good responses.
  it('of failures are due at once, with the good responses before them, and once', () => {
    const bench = new Bench();
    expect(bench.use()).toEqual(false);
    expect(bench.use('failed-early')).toEqual(true);
    expect(bench.reporter.takeUrgent(bench.now)).toEqual([
      { key: bench.stats.key, goodCount: 1, failure: 'failed-early', sentAgo: 0, inFlight: 0 },
    ]);
    expect(bench.reporter.takeUrgent(bench.now)).toEqual([]);
  });

  // Guards against limits that other owners learn late, and against each of 60 owners telling all
  // others of a limit that all of them have heard of.
  it('of a changed limit are due at once unless it came from another owner', () => {
    const own = new Bench();
    own.stats.terms.adoptLimit({ rate: 2, heardAt: 9000 });
    expect(own.use()).toEqual(true);
    expect(own.reporter.takeUrgent(own.now)[0]?.limit).toEqual({ perSecond: 2, heardAgo: 1000 });
    const other = new Bench();
    other.stats.terms.adoptLimit({ rate: 2, heardAt: 9000 });
    other.reporter.noteKnownLimit(other.stats);
    expect(other.use()).toEqual(false);
  });

  // Guards against coverage by every data centre of an upstream that one of them uses, as its use
  // is not known elsewhere in time.
  it('keep the known use within the window of coverage while uses are 1,250 ms apart or less', () => {
    [100, 300, 500, 700, 900, 1100, 1250].forEach((gap) =>
      expect(oldestKnownUse(gap) < RECENT_USE_WINDOW_MS).toEqual(true),
    );
  });

  // Guards against upstreams that other owners take for used although no request reached them, as
  // where the path of the reporting host is cut.
  it('tell of no use while no response or failure of the upstream is known', () => {
    const bench = new Bench();
    bench.stats.attemptStarted('lost', bench.now, bench.now + 9000);
    const uses: unknown[] = [];
    for (let i = 0; i < 12; i++) {
      bench.now += REPORT_TICK_MS;
      uses.push(...bench.tick().map(({ sentAgo }) => sentAgo));
    }
    expect(uses).toEqual([undefined, undefined, undefined]);
  });

  // Guards against peers that believe in requests in flight which have ended, or forget long ones.
  it('repeat the number in flight while requests last, and tell when they have ended', () => {
    const bench = new Bench();
    bench.stats.attemptStarted('long', bench.now, bench.now + 9000);
    const told: number[] = [];
    const runTicks = (count: number): void => {
      for (let i = 0; i < count; i++) {
        bench.now += REPORT_TICK_MS;
        told.push(...bench.tick().map(({ inFlight }) => inFlight));
      }
    };
    runTicks(12);
    expect(told).toEqual([1, 1, 1]);
    bench.stats.attemptEnded('long');
    runTicks(12);
    expect(told).toEqual([1, 1, 1, 0]);
  });
});
