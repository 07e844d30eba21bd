import type { AttemptResult, Instant, Millis, UpstreamId } from '../../model';

import { ErrorRates } from './error-rates';
import type { HealthEvent } from './events';
import { LatencyReference } from './latency-reference';
import { LocalHealth } from './local-health';
import { UpstreamEvidence } from './upstream-evidence';

type ConnectionEvent = HealthEvent & { readonly kind: 'attempt-connecting' | 'attempt-connected' };

/** How the attempts at an upstream are to be read, by its standing. */
export interface EvidencePolicy {
  /** Whether slowness is evidence; not while an upstream is cold. */
  readonly usesLatency: boolean;
  /** Whether its peers are compared with it; not while it is under suspicion. */
  readonly isPeerReference: boolean;
}

/** All that the owner of a shard has seen of its upstreams, and of itself. */
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
    { usesLatency: latencyCounts, isPeerReference: isReference }: EvidencePolicy,
    now: Instant,
  ): void {
    const attemptAge = this.evidence.get(id)?.attemptEnded(attempt, result, {
      now,
      lagTotal: this.currentLocalHealth.totalLag,
      hazardOf: (latency) => this.latencies.hazard(id, latency),
      peerErrorRate: this.errorRates.peerErrorRate(id),
      usesLatency: latencyCounts,
    });
    if (!isReference || attemptAge === undefined) return;
    // The age, as the owner's tests see it; what the attempt reports may leave out its start.
    if (result.kind === 'ok') this.latencies.record(id, attemptAge);
    this.errorRates.record(id, result);
  }

  /** Ages what is shared between the upstreams; before the upstreams' own `age`. */
  tick(now: Instant): void {
    this.currentLocalHealth = this.currentLocalHealth.tick(now);
    this.latencies.refresh(now);
    this.errorRates.decay(now);
  }

  /** Weighs the open attempts of one upstream by their age. */
  weighOpenAttempts(
    id: UpstreamId,
    { usesLatency: latencyCounts }: EvidencePolicy,
    now: Instant,
  ): void {
    const evidence = this.evidence.get(id);
    if (!latencyCounts) {
      evidence?.clearStalls();
      return;
    }
    const hazardOf = (latency: Millis): number => this.latencies.hazard(id, latency);
    evidence?.weighOpenAttempts(now, this.currentLocalHealth.totalLag, hazardOf);
  }
}
