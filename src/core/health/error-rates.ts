import type { AttemptResult, Instant, Millis, UpstreamId } from '../../model';

/** Time in milliseconds after which a counted answer has half its weight. */
const HALF_LIFE_MS: Millis = 1_000;
/** Number of successful answers assumed for the peers before any is counted. */
const PRIOR_ANSWER_COUNT = 20;

interface AnswerCounts {
  readonly answers: number;
  readonly errors: number;
}

const ZERO_COUNTS: AnswerCounts = { answers: 0, errors: 0 };

/**
 * Tracks the error rate of each upstream's peers. Errors that all upstreams give alike are likely
 * caused by the callers, so they are expected and count less against one upstream.
 */
export class ErrorRates {
  private readonly counts = new Map<UpstreamId, AnswerCounts>();

  private total: AnswerCounts = ZERO_COUNTS;

  private decayedAt: Instant | undefined;

  record(id: UpstreamId, result: AttemptResult): void {
    if (result.kind !== 'ok' && result.kind !== 'error-status') return;
    const { answers, errors } = this.counts.get(id) ?? ZERO_COUNTS;
    const error = result.kind === 'error-status' ? 1 : 0;
    this.counts.set(id, { answers: answers + 1, errors: errors + error });
    this.total = { answers: this.total.answers + 1, errors: this.total.errors + error };
  }

  remove(id: UpstreamId): void {
    const { answers, errors } = this.counts.get(id) ?? ZERO_COUNTS;
    this.counts.delete(id);
    this.total = { answers: this.total.answers - answers, errors: this.total.errors - errors };
  }

  /** Returns the share of error answers among the upstream's peers, 0 to 1. */
  peerErrorRate(id: UpstreamId): number {
    const own = this.counts.get(id) ?? ZERO_COUNTS;
    const answers = this.total.answers - own.answers;
    return Math.max(0, this.total.errors - own.errors) / (answers + PRIOR_ANSWER_COUNT);
  }

  /** Reduces the weight of earlier answers by the time since the last call. */
  decay(now: Instant): void {
    const factor = 0.5 ** ((now - (this.decayedAt ?? now)) / HALF_LIFE_MS);
    this.decayedAt = now;
    let total = ZERO_COUNTS;
    this.counts.forEach(({ answers, errors }, id) => {
      const aged = { answers: answers * factor, errors: errors * factor };
      this.counts.set(id, aged);
      total = { answers: total.answers + aged.answers, errors: total.errors + aged.errors };
    });
    this.total = total;
  }
}
