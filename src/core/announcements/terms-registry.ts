import type { GatewayUpstream, UpstreamId } from '../../model';

import { UpstreamTerms } from './upstream-terms';

/** Number of upstreams of which terms are kept; beyond it the oldest are dropped. */
const MAX_KEPT_COUNT = 20_000;

/**
 * Keeps the terms of each run of an upstream. They outlast its registration, so that an upstream
 * whose entry is gone for a while or moves to another service keeps its terms.
 */
export class TermsRegistry {
  private readonly termsById = new Map<
    UpstreamId,
    { readonly born: number; readonly terms: UpstreamTerms }
  >();

  /** Returns the terms of an upstream's run; undefined if another run is known. */
  find({ id, born }: Pick<GatewayUpstream, 'id' | 'born'>): UpstreamTerms | undefined {
    const known = this.termsById.get(id);
    return known?.born === born ? known.terms : undefined;
  }

  /** Returns the terms of an upstream's run; a new run starts without any. */
  of({ id, born }: Pick<GatewayUpstream, 'id' | 'born'>): UpstreamTerms {
    const known = this.termsById.get(id);
    if (known?.born === born) return known.terms;
    const terms = new UpstreamTerms(id);
    this.termsById.delete(id);
    this.termsById.set(id, { born, terms });
    if (this.termsById.size > MAX_KEPT_COUNT) {
      const [oldest] = this.termsById.keys();
      if (oldest !== undefined) this.termsById.delete(oldest);
    }
    return terms;
  }
}
