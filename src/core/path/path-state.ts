import type { Instant, Millis } from '../../model';

/** Time in milliseconds from a check that found the path good until another may begin. */
const CHECK_INTERVAL_MS: Millis = 500;
/** Time in milliseconds between two checks while the path is cut. */
const MIN_RECHECK_DELAY_MS: Millis = 200;
const MAX_RECHECK_DELAY_MS: Millis = 1600;
/** Time in milliseconds within which a path that is cut again counts as flapping. */
const FLAPPING_WINDOW_MS: Millis = 5000;
/** Number of upstreams that must be unreachable, and none reachable, for the path to be cut. */
const MIN_UNREACHABLE_COUNT = 2;
/** Number of upstreams that must be reachable for the path to be good again. */
const MIN_REACHABLE_COUNT = 2;
/** Time in milliseconds without any bytes from an upstream after which the path is in doubt. */
const SILENCE_MS: Millis = 500;

/** How many of the upstreams that were tried took a connection. */
export interface PathCheck {
  readonly reachable: number;
  readonly unreachable: number;
}

/** A change of what is believed of the path. */
export type PathChange =
  { readonly kind: 'cut' } | { readonly kind: 'restored'; readonly cutSince: Instant };

/**
 * What a host believes of its own path to the upstreams of all services. Load pattern: a host loses
 * its links to all upstreams while callers and peers still reach it; each upstream by itself looks
 * as if it had failed.
 */
export class PathState {
  private cutSince: Instant | undefined;

  private restoredAt: Instant = Number.NEGATIVE_INFINITY;

  private nextCheckAt: Instant = Number.NEGATIVE_INFINITY;

  private recheckDelay: Millis = MIN_RECHECK_DELAY_MS;

  /** When an upstream last accepted a connection or sent bytes. */
  private contactAt: Instant = Number.NEGATIVE_INFINITY;

  get isCut(): boolean {
    return this.cutSince !== undefined;
  }

  recordContact(now: Instant): void {
    this.contactAt = now;
  }

  /** Whether no upstream has sent anything lately, so that a late answer may be the path's fault. */
  isSilent(now: Instant): boolean {
    return now - this.contactAt >= SILENCE_MS;
  }

  /** Whether connections to some upstreams should be tried now. */
  mayCheck(now: Instant): boolean {
    return now >= this.nextCheckAt;
  }

  /** Takes in a check that has ended; undefined if the belief stays. */
  applyCheck({ reachable, unreachable }: PathCheck, now: Instant): PathChange | undefined {
    if (reachable > 0) this.contactAt = now;
    if (this.cutSince === undefined) {
      this.nextCheckAt = now + CHECK_INTERVAL_MS;
      if (reachable > 0 || unreachable < MIN_UNREACHABLE_COUNT) return undefined;
      const isFlapping = now - this.restoredAt < FLAPPING_WINDOW_MS;
      this.recheckDelay = isFlapping
        ? Math.min(MAX_RECHECK_DELAY_MS, 2 * this.recheckDelay)
        : MIN_RECHECK_DELAY_MS;
      this.cutSince = now;
      this.nextCheckAt = now + this.recheckDelay;
      return { kind: 'cut' };
    }
    this.nextCheckAt = now + this.recheckDelay;
    const needed = Math.min(MIN_REACHABLE_COUNT, reachable + unreachable);
    if (reachable === 0 || reachable < needed) return undefined;
    const { cutSince } = this;
    this.cutSince = undefined;
    this.restoredAt = now;
    return { kind: 'restored', cutSince };
  }
}
