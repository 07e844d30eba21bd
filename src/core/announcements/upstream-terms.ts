import type { Instant, RequestsPerSecond, UpstreamAnnouncement } from '../../model';

/** A change of an upstream's terms. */
export interface TermsChange {
  readonly kind: 'limit';
  /** The limit before and now; undefined where there is none. */
  readonly before: RequestsPerSecond | undefined;
  readonly rateLimit: RequestsPerSecond | undefined;
}

/** The terms on which one run of an upstream takes requests, as its answers announce them. */
export class UpstreamTerms {
  private limit: { readonly rate: RequestsPerSecond; readonly heardAt: Instant } | undefined;

  /**
   * Applies the announcement of an answer; returns what has changed. Only a `genuine` answer ends a
   * limit by naming none, as others may leave headers out.
   */
  apply(
    { rateLimit }: UpstreamAnnouncement,
    { genuine }: { readonly genuine: boolean },
    now: Instant,
  ): readonly TermsChange[] {
    const before = this.limit?.rate;
    if (rateLimit !== undefined) this.limit = { rate: rateLimit, heardAt: now };
    else if (genuine) this.limit = undefined;
    const after = this.limit?.rate;
    return before === after ? [] : [{ kind: 'limit', before, rateLimit: after }];
  }
}
