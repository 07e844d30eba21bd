import type { AttemptResult, Instant, Millis } from '../src/model';

/** Consecutive failures that eject an upstream. */
const EJECTION_FAILURE_COUNT = 5;
const SWEEP_INTERVAL_MS: Millis = 10_000;
/** Time out of rotation for a first ejection; multiplied by the upstream's ejection count. */
const BASE_EJECTION_MS: Millis = 30_000;
const MAX_EJECTED_RATIO = 0.1;

/** Ejection state of one upstream. */
interface BaselineUpstream {
  readonly consecutiveFailures: number;
  /** Multiplies the ejection time; a sweep that finds the upstream in rotation lowers it by 1. */
  readonly ejectionCount: number;
  /** Undefined while the upstream is in rotation. */
  readonly ejectedAt: Instant | undefined;
}

const INITIAL_UPSTREAM: BaselineUpstream = {
  consecutiveFailures: 0,
  ejectionCount: 0,
  ejectedAt: undefined,
};

/**
 * Implements the outlier detection that proxies commonly ship, as a baseline for comparison.
 * Five consecutive failures eject an upstream. A sweep every 10 s readmits upstreams whose
 * ejection time, 30 s times their ejection count, has passed. At most 10% of the upstreams are
 * ejected at once, but always at least one may be.
 */
export class BaselineDetector {
  private readonly upstreams: BaselineUpstream[];

  private nextSweepAt: Instant;

  constructor(
    count: number,
    now: Instant,
    /** Whether a shed, which is a 503 on the wire, counts as a failure. */
    private readonly shedsAreFailures: boolean,
  ) {
    this.upstreams = Array.from({ length: count }, () => INITIAL_UPSTREAM);
    this.nextSweepAt = now + SWEEP_INTERVAL_MS;
  }

  isEjected(index: number): boolean {
    return this.upstreams[index]?.ejectedAt !== undefined;
  }

  /** Records how an attempt ended; returns true when that ejects the upstream. */
  recordResult(index: number, result: AttemptResult, now: Instant): boolean {
    const upstream = this.upstreams[index];
    if (!upstream || result.kind === 'cancelled') return false;
    if (result.kind === 'shed' && !this.shedsAreFailures) return false;
    const failures = result.kind === 'ok' ? 0 : upstream.consecutiveFailures + 1;
    const ejects =
      failures >= EJECTION_FAILURE_COUNT && upstream.ejectedAt === undefined && this.canEject();
    this.upstreams[index] = ejects
      ? { consecutiveFailures: 0, ejectionCount: upstream.ejectionCount + 1, ejectedAt: now }
      : { ...upstream, consecutiveFailures: failures };
    return ejects;
  }

  /** Runs the sweep when it is due. */
  tick(now: Instant): void {
    if (now < this.nextSweepAt) return;
    this.nextSweepAt += SWEEP_INTERVAL_MS;
    this.upstreams.forEach((upstream, index) => {
      const { ejectedAt, ejectionCount } = upstream;
      if (ejectedAt === undefined) {
        this.upstreams[index] = { ...upstream, ejectionCount: Math.max(0, ejectionCount - 1) };
      } else if (now >= ejectedAt + BASE_EJECTION_MS * ejectionCount) {
        this.upstreams[index] = { ...upstream, ejectedAt: undefined };
      }
    });
  }

  private canEject(): boolean {
    const ejected = this.upstreams.filter(({ ejectedAt }) => ejectedAt !== undefined).length;
    return ejected === 0 || (ejected + 1) / this.upstreams.length <= MAX_EJECTED_RATIO;
  }
}
