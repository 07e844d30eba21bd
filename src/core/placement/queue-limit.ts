import type { Instant, Millis } from '../../model';

/** Upper bound and start of the learned number of requests that an upstream queues. */
export const MAX_QUEUED_COUNT = 10;

/** Time constant in milliseconds of the exponential decay of the evidence. */
const EVIDENCE_DECAY_TIME_MS: Millis = 30_000;
/** Time in milliseconds without evidence beyond the limit after which one more may be queued. */
const PROBE_INTERVAL_MS: Millis = 15_000;
/** Interval in milliseconds at which the limit is computed anew without new evidence. */
const REFRESH_INTERVAL_MS: Millis = 1000;
/** Ratio of requests beyond the limit that are refused; load estimates are late at times. */
const REFUSED_RATIO_BEYOND = 0.97;
/**
 * Lowest ratio of refusals within the limit that is assumed. Together with `CHANGE_PENALTY` it makes
 * two refusals necessary to lower a limit.
 */
const MIN_BACKGROUND_RATIO = 0.05;
const MAX_BACKGROUND_RATIO = 0.9;
/** Log-likelihood by which another limit must be better than the initial one. */
const CHANGE_PENALTY = 4;
/** Number of refusals below which the evidence is not worth evaluating. */
const NEGLIGIBLE_COUNT = 0.05;

interface LevelCounts {
  accepted: number;
  refused: number;
}

/** An upstream's answer to a request that found the given number of requests there. */
export interface QueueEvidence {
  /**
   * Position of the request in the upstream's queue, from 1; 0 or less if a slot was free.
   */
  readonly level: number;
  readonly refused: boolean;
}

const createLevels = (): readonly LevelCounts[] =>
  Array.from({ length: MAX_QUEUED_COUNT + 1 }, () => ({ accepted: 0, refused: 0 }));

/**
 * Learns how many requests an upstream queues beyond its slots before it rejects work: the limit
 * that explains best which requests were accepted and which refused. Load patterns: upstreams that
 * reject beyond a fixed queue length, which should not be asked in vain, and upstreams that reject
 * half of all requests for some seconds whatever their load, which must not lower the limit. The
 * latter also accept requests at the lengths at which they refuse others, so that refusals are
 * explained by a background ratio rather than by a lower limit.
 */
export class QueueLimit {
  private readonly levels = createLevels();

  private decayedAt: Instant = Number.NEGATIVE_INFINITY;

  private computedAt: Instant = Number.NEGATIVE_INFINITY;

  /** Time from which one request more than the limit may be queued. */
  private probeAt: Instant = Number.POSITIVE_INFINITY;

  private current = MAX_QUEUED_COUNT;

  /** `parent` is the limit of the service, from which that of an upstream starts. */
  constructor(
    private readonly parent?: QueueLimit,
    /** Without it, the limit stays at the highest. */
    private readonly learns = true,
  ) {}

  /** Returns the number of requests beyond the slots that the upstream may be made to hold. */
  limit(now: Instant): number {
    if (now - this.computedAt >= REFRESH_INTERVAL_MS) this.compute(now);
    return now >= this.probeAt ? Math.min(MAX_QUEUED_COUNT, this.current + 1) : this.current;
  }

  /** Records whether the upstream took a request, for it and for its service. */
  record(evidence: QueueEvidence, now: Instant): void {
    if (!this.learns) return;
    this.parent?.record(evidence, now);
    const { refused } = evidence;
    const level = Math.max(0, Math.round(evidence.level));
    // A refusal far beyond the upper bound says nothing about limits up to it.
    if (refused && level > MAX_QUEUED_COUNT) return;
    this.decay(now);
    const counts = this.levels[Math.min(MAX_QUEUED_COUNT, level)];
    if (!counts) return;
    if (refused) counts.refused += 1;
    else counts.accepted += 1;
    if (level > this.current) this.probeAt = now + PROBE_INTERVAL_MS;
    if (refused || level > this.current) this.compute(now);
  }

  private decay(now: Instant): void {
    const factor = Math.exp(-Math.max(0, now - this.decayedAt) / EVIDENCE_DECAY_TIME_MS);
    this.decayedAt = Math.max(now, this.decayedAt);
    this.levels.forEach((counts) => {
      Object.assign(counts, {
        accepted: counts.accepted * factor,
        refused: counts.refused * factor,
      });
    });
  }

  private compute(now: Instant): void {
    this.computedAt = now;
    this.decay(now);
    const initial = this.parent ? this.parent.limit(now) : MAX_QUEUED_COUNT;
    const hasRefusals = this.levels.some(({ refused }) => refused > NEGLIGIBLE_COUNT);
    const isInformed = hasRefusals || initial < MAX_QUEUED_COUNT;
    const limit = isInformed ? this.mostLikely(initial) : MAX_QUEUED_COUNT;
    if (limit === this.current) return;
    this.current = limit;
    this.probeAt = limit < MAX_QUEUED_COUNT ? now + PROBE_INTERVAL_MS : Number.POSITIVE_INFINITY;
  }

  private mostLikely(initial: number): number {
    let best = initial;
    let highest = this.logLikelihood(initial);
    for (let limit = MAX_QUEUED_COUNT; limit >= 0; limit -= 1) {
      const value = this.logLikelihood(limit) - CHANGE_PENALTY;
      if (value > highest) {
        highest = value;
        best = limit;
      }
    }
    return best;
  }

  private logLikelihood(limit: number): number {
    let accepted = 0;
    let refused = 0;
    let beyond = 0;
    this.levels.forEach((counts, level) => {
      if (level <= limit) {
        accepted += counts.accepted;
        refused += counts.refused;
        return;
      }
      beyond +=
        counts.refused * Math.log(REFUSED_RATIO_BEYOND) +
        counts.accepted * Math.log(1 - REFUSED_RATIO_BEYOND);
    });
    const ratio = Math.min(
      MAX_BACKGROUND_RATIO,
      Math.max(MIN_BACKGROUND_RATIO, refused / Math.max(1, refused + accepted)),
    );
    return beyond + refused * Math.log(ratio) + accepted * Math.log(1 - ratio);
  }
}
