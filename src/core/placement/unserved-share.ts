import type { Instant, Millis } from '../../model';

/** Time constant in milliseconds of the decay: the window in which `floorShare` holds. */
const DECAY_TIME_MS: Millis = 2000;
/**
 * Share of a service's requests that go unserved from which `floorShare` holds, halved, as one host
 * sees only some of them and the upstreams have to be in use by the time a tenth is reached.
 */
const HIGH_SHARE = 0.05;
/** Number of served requests that the estimate starts from, so that one failure is not a share. */
const PRIOR_SERVED_COUNT = 15;

/**
 * Estimates which share of a service's recent requests was refused or failed. Load pattern: upstreams
 * begin to reject or fail many requests at once, and within two seconds those that had none must
 * be in use.
 */
export class UnservedShare {
  private ended = 0;

  private unserved = 0;

  private at: Instant = 0;

  /** Records a request that has ended; one whose caller left does not count. */
  record(isServed: boolean, now: Instant): void {
    this.decay(now);
    this.ended += 1;
    if (!isServed) this.unserved += 1;
  }

  /** Whether so many requests go unserved that `floorShare` may hold soon. */
  isHigh(now: Instant): boolean {
    this.decay(now);
    return this.unserved >= HIGH_SHARE * (this.ended + PRIOR_SERVED_COUNT);
  }

  private decay(now: Instant): void {
    const factor = Math.exp(-Math.max(0, now - this.at) / DECAY_TIME_MS);
    this.ended *= factor;
    this.unserved *= factor;
    this.at = Math.max(this.at, now);
  }
}
