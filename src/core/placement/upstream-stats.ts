import type { GatewayUpstream, Instant, Millis } from '../../model';
import { UpstreamTerms } from '../announcements';

import { updateBelief, PRIOR_BELIEF, type FaultBelief, type EvidenceKind } from './fault-model';

/** Weight, 0 to 1, of the newest latency in the exponential moving average. */
const NEWEST_LATENCY_WEIGHT = 0.25;

/**
 * Time in milliseconds for which an upstream that refused or did not answer a connection gets no
 * requests.
 */
const UNREACHABLE_AVOIDANCE_MS: Millis = 1000;
/** Time in milliseconds for which an upstream that shed a request gets no more. */
const BUSY_AVOIDANCE_MS: Millis = 150;

/**
 * The conclusion about an upstream from how an attempt ended: evidence for the fault model, `busy`
 * if it shed the request, `unreachable` if it could not be connected to, or `none`.
 */
export type AttemptVerdict =
  | { readonly kind: 'evidence'; readonly evidence: EvidenceKind }
  | { readonly kind: 'busy' | 'unreachable' | 'none' };

/** A request sent to an upstream that has not ended. */
interface InFlightRequest {
  readonly startedAt: Instant;
  /** Time from which the answer is overdue, which is the only sign of an upstream that hangs. */
  readonly overdueAt: Instant;
  readonly bodyBytes: number;
}

/** Statistics that one node keeps of one run of an upstream. */
export class UpstreamStats {
  belief: FaultBelief = PRIOR_BELIEF;

  /** Latest known time at which any node sent the upstream a request; -Infinity if none did. */
  lastSentAt: Instant = Number.NEGATIVE_INFINITY;

  /** Time before which the upstream gets no requests. */
  private avoidedUntil: Instant = Number.NEGATIVE_INFINITY;

  /** Latest known time at which any node saw a failure of the upstream; -Infinity if none did. */
  lastFailedAt: Instant = Number.NEGATIVE_INFINITY;

  /**
   * Mean ratio of the upstream's latency to the mean latency of the same route at all upstreams.
   */
  latencyRatio = 1;

  private isRegistrationLapsed = false;

  private readonly inFlightRequests = new Map<string, InFlightRequest>();

  /** Number of requests from other nodes that the upstream held at the time `at`. */
  private remoteLoad = { count: 0, at: 0 };

  constructor(
    private entry: GatewayUpstream,
    /**
     * Time at which the upstream joined a service with recent requests; undefined if that had none.
     */
    readonly joinedAt: Instant | undefined,
    /** The terms that the upstream has announced. */
    readonly terms: UpstreamTerms = new UpstreamTerms(entry.id),
  ) {}

  /** The latest entry of the upstream. */
  get upstream(): GatewayUpstream {
    return this.entry;
  }

  /** Whether the registration has lapsed; the upstream may be gone, or may register again. */
  get isLapsed(): boolean {
    return this.isRegistrationLapsed;
  }

  /** Replaces the entry by a later one of the same run. */
  register(entry: GatewayUpstream): void {
    this.entry = entry;
    this.isRegistrationLapsed = false;
  }

  lapse(): void {
    this.isRegistrationLapsed = true;
  }

  /** Number of this node's requests in flight at the upstream. */
  get inFlight(): number {
    return this.inFlightRequests.size;
  }

  /**
   * Returns the estimated number of requests that the upstream holds from all nodes. The reported
   * share of other nodes decays with `meanLatency` as its time constant.
   */
  load(now: Instant, meanLatency: Millis): number {
    const { count, at } = this.remoteLoad;
    return this.inFlightRequests.size + count * Math.exp(-(now - at) / Math.max(1, meanLatency));
  }

  /** Total size in bytes of the bodies of this node's requests in flight at the upstream. */
  get bodyBytesInFlight(): number {
    let sum = 0;
    this.inFlightRequests.forEach(({ bodyBytes }) => {
      sum += bodyBytes;
    });
    return sum;
  }

  /** Records a request that is sent, with the size in bytes of its body. */
  attemptStarted(requestId: string, now: Instant, overdueAt: Instant, bodyBytes = 0): void {
    this.inFlightRequests.set(requestId, { startedAt: now, overdueAt, bodyBytes });
    this.lastSentAt = now;
    this.terms.recordSend(now);
  }

  /** Returns the number of this node's requests whose answers are overdue. */
  overdueCount(now: Instant): number {
    let count = 0;
    this.inFlightRequests.forEach(({ overdueAt }) => {
      if (now >= overdueAt) count += 1;
    });
    return count;
  }

  attemptEnded(requestId: string): void {
    this.inFlightRequests.delete(requestId);
  }

  /** Records the numbers of requests, this node's included, that the upstream reports. */
  recordReportedLoad(running: number, waiting: number, now: Instant): void {
    const count = Math.max(0, running + waiting - this.inFlightRequests.size);
    this.remoteLoad = { count, at: now };
  }

  /**
   * Returns whether the upstream gets no requests because it recently shed one or was unreachable.
   */
  isAvoided(now: Instant): boolean {
    return now < this.avoidedUntil;
  }

  applyEvidence(evidence: EvidenceKind, now: Instant): void {
    this.belief = updateBelief(this.belief, evidence, now);
    if (evidence === 'failed-early' || evidence === 'failed-late') this.lastFailedAt = now;
  }

  /**
   * Sets the fault probability, 0 to 1, to another node's estimate if this node has no evidence.
   */
  adoptBelief(faultProbability: number, now: Instant): void {
    if (this.belief === PRIOR_BELIEF) this.belief = { faultProbability, at: now };
  }

  /** Applies the conclusion from an attempt that has ended. */
  applyVerdict(verdict: AttemptVerdict, now: Instant): void {
    switch (verdict.kind) {
      case 'evidence':
        this.applyEvidence(verdict.evidence, now);
        return;
      case 'busy':
        this.avoidedUntil = now + BUSY_AVOIDANCE_MS;
        return;
      case 'unreachable':
        this.avoidedUntil = now + UNREACHABLE_AVOIDANCE_MS;
        break;
      case 'none':
    }
  }

  /** Records the ratio of an answer's latency to the mean latency of its route. */
  recordLatency(ratio: number): void {
    this.latencyRatio += (ratio - this.latencyRatio) * NEWEST_LATENCY_WEIGHT;
  }
}
