import { peerKey, type Instant, type Millis, type NodeAddress } from '../../model';

import type { ListedNode } from './quorum-sample';

/** Time in milliseconds for which a log confirmation keeps the configuration fresh. */
export const CONFIRMATION_TTL_MS: Millis = 2500;

/** Time in milliseconds for which an answer counts towards a majority, from when it was asked. */
export const PEER_SUPPORT_TTL_MS: Millis = 5000;

/**
 * Says whether a node may accept calls, and why. `log`: the log recently held nothing newer.
 * `majority`: without such a confirmation, most nodes of the quorum sample hold nothing newer.
 * `stale`: neither holds, so the node must not accept calls.
 */
export type Freshness = 'log' | 'majority' | 'stale';

const NEVER: Instant = Number.NEGATIVE_INFINITY;

/** Evidence that the configuration of a node is current. Immutable. */
export class FreshnessEvidence {
  static readonly none = new FreshnessEvidence(NEVER, undefined, new Map());

  private constructor(
    /** Latest time at which the log is known to have held nothing newer. */
    private readonly confirmedAt: Instant,
    /** The quorum sample, without this node; undefined before the nodes are known. */
    private readonly sample: readonly ListedNode[] | undefined,
    /** Time at which nodes that hold nothing newer were asked, by peer key. */
    private readonly agreementAskedAt: ReadonlyMap<string, Instant>,
  ) {}

  /** Records that the log held nothing newer at `at`. */
  logConfirmed(at: Instant): FreshnessEvidence {
    if (at <= this.confirmedAt) return this;
    return new FreshnessEvidence(at, this.sample, this.agreementAskedAt);
  }

  /** Records that a node asked at `askedAt` holds nothing newer. */
  peerAgreed(node: NodeAddress, askedAt: Instant): FreshnessEvidence {
    const agreementAskedAt = new Map(this.agreementAskedAt).set(peerKey(node), askedAt);
    return new FreshnessEvidence(this.confirmedAt, this.sample, agreementAskedAt);
  }

  /** Replaces the quorum sample, which excludes this node, and drops evidence of other nodes. */
  withSample(sample: readonly ListedNode[]): FreshnessEvidence {
    const keys = new Set(sample.map(peerKey));
    const agreementAskedAt = new Map([...this.agreementAskedAt].filter(([key]) => keys.has(key)));
    return new FreshnessEvidence(this.confirmedAt, sample, agreementAskedAt);
  }

  /** Time in milliseconds since the log is known to have held nothing newer; Infinity if never. */
  confirmationAge(now: Instant): Millis {
    return now - this.confirmedAt;
  }

  /** Returns the freshness at `now`. */
  at(now: Instant): Freshness {
    if (this.confirmationAge(now) <= CONFIRMATION_TTL_MS) return 'log';
    if (!this.sample) return 'stale';
    const agreeing = this.sample.filter((node) => {
      const askedAt = this.agreementAskedAt.get(peerKey(node));
      return askedAt !== undefined && now - askedAt <= PEER_SUPPORT_TTL_MS;
    });
    const votes = agreeing.length + 1;
    return votes * 2 > this.sample.length + 1 ? 'majority' : 'stale';
  }
}
