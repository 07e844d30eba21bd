import { peerKey, type Instant, type Millis, type NodeAddress } from '../../model';

import type { ListedNode } from './quorum-sample';

/** How long a word of the log lets a node go on. */
export const CONFIRMATION_TTL_MS: Millis = 2500;

/** How long an answer counts towards a majority. */
export const PEER_SUPPORT_TTL_MS: Millis = 5000;

/**
 * Why a node may take work, or why not. `log`: it knows the log held nothing newer moments ago.
 * `majority`: nobody it can reach hears the log, and most listed nodes hold nothing newer.
 */
export type Freshness = 'log' | 'majority' | 'stale';

const NEVER: Instant = Number.NEGATIVE_INFINITY;

/** What a node knows of how current its configuration is. Immutable. */
export class FreshnessEvidence {
  static readonly none = new FreshnessEvidence(NEVER, undefined, new Map());

  private constructor(
    /** The log is known to have held nothing newer at this instant. */
    private readonly confirmedAt: Instant,
    private readonly sample: readonly ListedNode[] | undefined,
    /** When nodes that answered with nothing newer had been asked, by peer key. */
    private readonly support: ReadonlyMap<string, Instant>,
  ) {}

  /** The log held nothing newer at `at`. */
  logConfirmed(at: Instant): FreshnessEvidence {
    if (at <= this.confirmedAt) return this;
    return new FreshnessEvidence(at, this.sample, this.support);
  }

  /** A node asked at `askedAt` has answered that it holds nothing newer. */
  supported(node: NodeAddress, askedAt: Instant): FreshnessEvidence {
    const support = new Map(this.support).set(peerKey(node), askedAt);
    return new FreshnessEvidence(this.confirmedAt, this.sample, support);
  }

  /** The nodes among which a majority counts, this one left out. */
  among(sample: readonly ListedNode[]): FreshnessEvidence {
    const keys = new Set(sample.map(peerKey));
    const support = new Map([...this.support].filter(([key]) => keys.has(key)));
    return new FreshnessEvidence(this.confirmedAt, sample, support);
  }

  /** Time since the log is known to have held nothing newer; Infinity when never. */
  confirmationAge(now: Instant): Millis {
    return now - this.confirmedAt;
  }

  at(now: Instant): Freshness {
    if (this.confirmationAge(now) <= CONFIRMATION_TTL_MS) return 'log';
    if (!this.sample) return 'stale';
    const agreeing = this.sample.filter((node) => {
      const askedAt = this.support.get(peerKey(node));
      return askedAt !== undefined && now - askedAt <= PEER_SUPPORT_TTL_MS;
    });
    const votes = agreeing.length + 1;
    return votes * 2 > this.sample.length + 1 ? 'majority' : 'stale';
  }
}
