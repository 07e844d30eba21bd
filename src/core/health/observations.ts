import type { AttemptResult, Instant, Millis, UpstreamId } from '../../model';

import { ErrorRates } from './error-rates';
import type { HealthEvent } from './events';
import { LatencyReference } from './latency-reference';
import { LocalHealth } from './local-health';
import { UpstreamEvidence } from './upstream-evidence';

type ConnectionEvent = HealthEvent & { readonly kind: 'attempt-connecting' | 'attempt-connected' };

/** Which attempts at an upstream count as evidence and as reference, by its health state. */
export interface EvidencePolicy {
  /** Whether latency is evidence; false while the upstream is cold. */
  readonly usesLatency: boolean;
  /**
   * Whether its attempts are a reference for its peers: while it is healthy, or suspect at the same
   * time as many others.
   */
  readonly isPeerReference: boolean;
}

/** Collects what the owner of a shard observed of its upstreams and of its own event loop. */
export class Observations {
  private readonly evidence = new Map<UpstreamId, UpstreamEvidence>();

  private readonly latencies = new LatencyReference();

  private readonly errorRates = new ErrorRates();

  private currentLocalHealth = LocalHealth.healthy;

  get localHealth(): LocalHealth {
    return this.currentLocalHealth;
  }

  add(id: UpstreamId): void {
    this.evidence.set(id, new UpstreamEvidence());
  }

  remove(id: UpstreamId): void {
    this.evidence.delete(id);
    this.latencies.remove(id);
    this.errorRates.remove(id);
  }

  evidenceFor(id: UpstreamId): UpstreamEvidence | undefined {
    return this.evidence.get(id);
  }

  recordLag(lag: Millis, now: Instant): void {
    this.currentLocalHealth = this.currentLocalHealth.recordLag(lag, now);
  }

  attemptStarted(id: UpstreamId, attempt: string, now: Instant): void {
    this.evidence.get(id)?.attemptStarted(attempt, now, this.currentLocalHealth.totalLag);
  }

  connectionChanged({ kind, upstream, attempt }: ConnectionEvent): void {
    this.evidence.get(upstream)?.connecting(attempt, kind === 'attempt-connecting');
  }

  attemptEnded(
    id: UpstreamId,
    attempt: string,
    result: AttemptResult,
    { usesLatency, isPeerReference }: EvidencePolicy,
    now: Instant,
  ): void {
    const attemptAge = this.evidence.get(id)?.attemptEnded(attempt, result, {
      now,
      totalLag: this.currentLocalHealth.totalLag,
      hazardOf: (latency) => this.latencies.hazard(id, latency),
      peerErrorRate: this.errorRates.peerErrorRate(id),
      usesLatency,
    });
    if (!isPeerReference || attemptAge === undefined) return;
    // The tests compare ages; the latency in the result may exclude the start of the attempt.
    if (result.kind === 'ok') this.latencies.record(id, attemptAge);
    this.errorRates.record(id, result);
  }

  /** Decays the statistics shared by all upstreams; call it before `weighOpenAttempts`. */
  tick(now: Instant): void {
    this.currentLocalHealth = this.currentLocalHealth.tick(now);
    this.latencies.refresh(now);
    this.errorRates.decay(now);
  }

  /** Updates the evidence from the ages of one upstream's open attempts. */
  weighOpenAttempts(id: UpstreamId, { usesLatency }: EvidencePolicy, now: Instant): void {
    const evidence = this.evidence.get(id);
    if (!usesLatency) {
      evidence?.clearStalls();
      return;
    }
    const hazardOf = (latency: Millis): number => this.latencies.hazard(id, latency);
    evidence?.weighOpenAttempts(now, this.currentLocalHealth.totalLag, hazardOf);
  }
}
