import type { GatewayUpstream, Instant, Millis } from '../../model';

import { updateBelief, PRIOR_BELIEF, type FaultBelief, type EvidenceKind } from './fault-model';

/** Weight of the newest latency in the running mean. */
const NEWEST_LATENCY_WEIGHT = 0.25;

/** An upstream that refused a connection or is silent to it is left out for this long. */
const UNREACHABLE_AVOIDANCE_MS: Millis = 1000;
/** An upstream that shed a request is left out for this long. */
const BUSY_AVOIDANCE_MS: Millis = 150;

/** How an attempt ended, as far as it says something of the upstream. */
export type AttemptVerdict =
  | { readonly kind: 'evidence'; readonly evidence: EvidenceKind }
  | { readonly kind: 'busy' | 'unreachable' | 'none' };

/** A request on its way at an upstream. */
interface InFlightRequest {
  readonly startedAt: Instant;
  /** When an answer is overdue; a hung upstream shows only by this. */
  readonly overdueAt: Instant;
}

/** What one node knows of one run of an upstream. */
export class UpstreamStats {
  belief: FaultBelief = PRIOR_BELIEF;

  /** When any node is known to have sent it a request; -Infinity if none. */
  lastSentAt: Instant = Number.NEGATIVE_INFINITY;

  private avoidedUntil: Instant = Number.NEGATIVE_INFINITY;

  /** When any node is known to have had a failure from it; -Infinity if none. */
  lastFailedAt: Instant = Number.NEGATIVE_INFINITY;

  /** Latency in parts of what its service's answers usually take. */
  latencyRatio = 1;

  private readonly inFlightRequests = new Map<string, InFlightRequest>();

  private remoteLoad = { count: 0, at: 0 };

  constructor(
    public upstream: GatewayUpstream,
    /** When it joined a service at work; undefined if it was there before. */
    readonly joinedAt: Instant | undefined,
  ) {}

  get inFlight(): number {
    return this.inFlightRequests.size;
  }

  /** Requests that it is thought to hold, from all nodes; what others sent ends in time. */
  load(now: Instant, meanLatency: Millis): number {
    const { count, at } = this.remoteLoad;
    return this.inFlightRequests.size + count * Math.exp(-(now - at) / Math.max(1, meanLatency));
  }

  attemptStarted(requestId: string, now: Instant, overdueAt: Instant): void {
    this.inFlightRequests.set(requestId, { startedAt: now, overdueAt });
    this.lastSentAt = now;
  }

  /** Requests without an answer past the time when one was due. */
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

  /** Takes the upstream's own word on its load, which includes this node's requests. */
  recordReportedLoad(running: number, waiting: number, now: Instant): void {
    const count = Math.max(0, running + waiting - this.inFlightRequests.size);
    this.remoteLoad = { count, at: now };
  }

  /** Whether it is left out for a moment, as it shed a request or could not be reached. */
  isAvoided(now: Instant): boolean {
    return now < this.avoidedUntil;
  }

  applyEvidence(evidence: EvidenceKind, now: Instant): void {
    this.belief = updateBelief(this.belief, evidence, now);
    if (evidence === 'failed-early' || evidence === 'failed-late') this.lastFailedAt = now;
  }

  /** Takes another node's belief where this one knows nothing. */
  adoptBelief(faultProbability: number, now: Instant): void {
    if (this.belief === PRIOR_BELIEF) this.belief = { faultProbability, at: now };
  }

  /** Notes how an attempt ended. */
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

  /** Takes an answer's latency in parts of the usual one. */
  recordLatency(ratio: number): void {
    this.latencyRatio += (ratio - this.latencyRatio) * NEWEST_LATENCY_WEIGHT;
  }
}
