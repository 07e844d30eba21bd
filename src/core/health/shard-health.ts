import type { AttemptResult, Instant, ServiceRules, Upstream, UpstreamId } from '../../model';

import { decayFlaps, withFlap, type HealthEntry } from './entry';
import type {
  EjectionRefusal,
  HealthEffect,
  HealthEvent,
  ProbeOrigin,
  HealthState,
  HealthStateReason,
} from './events';
import { canEject, suspectsToDegrade, upstreamToReadmit, spareSlots } from './floor';
import { Observations, type EvidencePolicy } from './observations';
import { isProbeDue, probeEffects, withNewProbeRound } from './probe-schedule';
import { withProbeResult, probeVerdict } from './probe-round';
import {
  coldState,
  leavingState,
  testOverThreshold,
  review,
  suspectState,
  type ReviewContext,
} from './review';
import { HealthEntries } from './health-entries';
import { acceptsUnsafeTrial, isOnTrial, slotShare } from './share';
import { thresholdsFor, type Thresholds } from './thresholds';
import { ZERO_SCORES } from './upstream-evidence';

/** Evidence in nats of a probe round that finds the upstream unreachable from two places. */
const CONFIRMED_UNREACHABLE_NATS = 6;

/**
 * Decides the health states of a shard's upstreams on the node that owns the shard. Mutable: all
 * changes go through `apply`, and the `state` that it returns is this same object.
 */
export class ShardHealth {
  private readonly entries = new HealthEntries();

  private readonly observations = new Observations();

  private thresholds: Thresholds;

  private effects: HealthEffect[] = [];

  private constructor(
    private rules: ServiceRules,
    private now: Instant,
  ) {
    this.thresholds = thresholdsFor(rules.costRatio, 1);
  }

  /** Returns the health of a shard whose upstreams all start as healthy. */
  static start(upstreams: readonly Upstream[], rules: ServiceRules, now: Instant): ShardHealth {
    const health = new ShardHealth(rules, now);
    upstreams.forEach((upstream) => health.add(upstream, { kind: 'healthy' }));
    return health;
  }

  /** Applies an event and returns the effects, which the caller carries out in order. */
  apply(
    event: HealthEvent,
    now: Instant,
  ): { readonly state: ShardHealth; readonly effects: readonly HealthEffect[] } {
    this.now = now;
    this.effects = [];
    this.handleEvent(event);
    return { state: this, effects: this.effects };
  }

  /** Returns the health state of an upstream; undefined for one not in this shard. */
  healthState(id: UpstreamId): HealthState | undefined {
    return this.entries.get(id)?.healthState;
  }

  /** Returns the share of its slots that an upstream may fill, 0 to 1. */
  share(id: UpstreamId): number {
    const entry = this.entries.get(id);
    return entry ? slotShare(entry, this.now) : 0;
  }

  /** Returns the number of further attempts that may start now; zero or negative for none. */
  availableSlots(id: UpstreamId): number {
    const entry = this.entries.get(id);
    const evidence = this.observations.evidenceFor(id);
    if (!entry || !evidence) return 0;
    const { slots } = entry.upstream;
    const free = slots - evidence.openCount;
    if (isOnTrial(entry, this.now)) return evidence.openInTrial === 0 ? Math.min(1, free) : 0;
    const share = slotShare(entry, this.now);
    return share === 0 ? 0 : Math.max(1, Math.floor(share * slots)) - evidence.openCount;
  }

  /**
   * Returns an upstream on trial that the next call should go to, if any. Calls that are not
   * idempotent are used only for a trial that has waited in vain for others.
   */
  upstreamDueForTrial(idempotent: boolean): UpstreamId | undefined {
    const due = this.entries
      .onTrial(this.now)
      .find(
        (entry) =>
          this.availableSlots(entry.upstream.id) > 0 &&
          (idempotent || acceptsUnsafeTrial(entry, this.now)),
      );
    return due?.upstream.id;
  }

  /** Number of slots in service above the capacity floor; negative below it. */
  get spareSlots(): number {
    return spareSlots(this.entries.all, this.rules.floor);
  }

  private handleEvent(event: HealthEvent): void {
    switch (event.kind) {
      case 'attempt-started':
        this.startAttempt(event.upstream, event.attempt);
        return;
      case 'attempt-connecting':
      case 'attempt-connected':
        this.observations.connectionChanged(event);
        return;
      case 'attempt-ended':
        this.endAttempt(event.upstream, event.attempt, event.result);
        return;
      case 'probe-answered':
        this.recordProbeResult(event.upstream, event.from, event.result);
        return;
      case 'upstreams-changed':
        this.replaceUpstreams(event.upstreams);
        return;
      case 'rules-changed':
        this.rules = event.rules;
        this.tick();
        return;
      case 'self-observed':
        this.observations.recordLag(event.loopLag, this.now);
        this.tick();
        return;
      case 'tick':
        this.tick();
    }
  }

  private add(upstream: Upstream, healthState: HealthState): void {
    this.entries.add(upstream, healthState);
    this.observations.add(upstream.id);
  }

  private replaceUpstreams(upstreams: readonly Upstream[]): void {
    const ids = new Set(upstreams.map(({ id }) => id));
    this.entries.all.forEach(({ upstream: { id } }) => {
      if (ids.has(id)) return;
      this.entries.remove(id);
      this.observations.remove(id);
    });
    upstreams.forEach((upstream) => {
      const entry = this.entries.get(upstream.id);
      if (entry) this.entries.put({ ...entry, upstream });
      else this.add(upstream, coldState(this.now));
    });
    this.enforceFloor();
  }

  private evidencePolicyFor({ healthState }: HealthEntry): EvidencePolicy {
    const { kind } = healthState;
    return {
      usesLatency: kind !== 'cold',
      isPeerReference: kind === 'healthy' || (kind === 'suspect' && this.entries.hasManySuspects),
    };
  }

  private startAttempt(id: UpstreamId, attempt: string): void {
    const entry = this.entries.get(id);
    if (!entry) return;
    this.observations.attemptStarted(id, attempt, this.now);
    this.observations.weighOpenAttempts(id, this.evidencePolicyFor(entry), this.now);
    this.reviewUpstream(id);
  }

  private endAttempt(id: UpstreamId, attempt: string, result: AttemptResult): void {
    const entry = this.entries.get(id);
    if (!entry) return;
    this.observations.attemptEnded(id, attempt, result, this.evidencePolicyFor(entry), this.now);
    if (result.kind === 'shed') this.handleShed(entry, result.cause);
    else this.reviewUpstream(id);
  }

  private handleShed(entry: HealthEntry, cause: 'busy' | 'draining' | 'cold'): void {
    const { kind } = entry.healthState;
    if (cause === 'busy' || kind === 'ejected' || kind === 'leaving') return;
    if (cause === 'draining') this.transition(entry, leavingState(this.now), 'draining');
    else if (kind !== 'cold') this.transition(entry, coldState(this.now), 'cold');
  }

  private recordProbeResult(id: UpstreamId, from: ProbeOrigin, result: AttemptResult): void {
    const entry = this.entries.get(id);
    if (!entry?.probeRound) return;
    const round = withProbeResult(entry.probeRound, from, result);
    this.entries.put({ ...entry, probeRound: round });
    const isComplete = round.self !== undefined && round.other !== undefined;
    if (isComplete && probeVerdict(round, this.now) === 'confirmed') {
      this.observations.evidenceFor(id)?.addProbeEvidence(CONFIRMED_UNREACHABLE_NATS);
    }
    this.reviewUpstream(id);
  }

  private tick(): void {
    this.observations.tick(this.now);
    this.thresholds = thresholdsFor(
      this.rules.costRatio,
      this.observations.localHealth.thresholdMultiplier,
    );
    this.entries.all.forEach((entry) => {
      const { id } = entry.upstream;
      this.entries.put(decayFlaps(entry, this.thresholds.holdDown, this.now));
      this.observations.weighOpenAttempts(id, this.evidencePolicyFor(entry), this.now);
      this.reviewUpstream(id);
      this.probeWhenDue(id);
    });
    this.enforceFloor();
  }

  private reviewUpstream(id: UpstreamId): void {
    const entry = this.entries.get(id);
    const evidence = this.observations.evidenceFor(id);
    if (!entry || !evidence) return;
    const context: ReviewContext = {
      now: this.now,
      evidence,
      thresholds: this.thresholds,
      localRefusal: () => this.localRefusal(),
      canEject: () => canEject(this.entries.all, entry, this.rules.floor),
    };
    const decision = review(entry, context);
    if (decision.kind === 'move') this.transition(entry, decision.to, decision.reason);
    if (decision.kind === 'refuse') this.refuseEjection(entry, decision.reason);
  }

  private localRefusal(): EjectionRefusal | undefined {
    if (this.observations.localHealth.blocksEjection) return 'local-health';
    return this.entries.hasManySuspects ? 'many-at-once' : undefined;
  }

  private refuseEjection(entry: HealthEntry, reason: EjectionRefusal): void {
    if (entry.ejectionRefused) return;
    this.entries.put({ ...entry, ejectionRefused: true });
    this.effects.push({ kind: 'ejection-refused', upstream: entry.upstream.id, reason });
  }

  private transition(entry: HealthEntry, to: HealthState, reason: HealthStateReason): void {
    if (to.kind === 'ejected' && !canEject(this.entries.all, entry, this.rules.floor)) {
      this.refuseEjection(entry, 'floor-invariant');
      return;
    }
    const { id } = entry.upstream;
    const evidence = this.observations.evidenceFor(id);
    const raisedBy = (evidence && testOverThreshold(evidence, this.thresholds)) ?? entry.raisedBy;
    const moved = {
      ...entry,
      healthState: to,
      ejectionRefused: false,
      raisedBy,
      probeRound: undefined,
    };
    this.entries.put(to.kind === 'ejected' ? withFlap(moved) : moved);
    this.resetEvidence(id, to);
    this.reportTransition(entry, to, reason);
    if (to.kind === 'suspect') this.startProbes(id);
    this.enforceFloor();
  }

  private reportTransition(
    { upstream, healthState }: HealthEntry,
    to: HealthState,
    reason: HealthStateReason,
  ): void {
    const change = { upstream: upstream.id, from: healthState, to, reason };
    this.effects.push({ kind: 'standing-changed', ...change });
  }

  private resetEvidence(id: UpstreamId, to: HealthState): void {
    const evidence = this.observations.evidenceFor(id);
    if (to.kind !== 'suspect') evidence?.clear();
    if (to.kind === 'suspect') evidence?.openTrial(to.trialAt, this.thresholds);
    if (to.kind === 'probation' && to.fullAt === undefined) {
      evidence?.openTrial(to.startAt, this.thresholds);
    }
  }

  private probeWhenDue(id: UpstreamId): void {
    const entry = this.entries.get(id);
    if (entry && isProbeDue(entry, this.now)) this.startProbes(id);
  }

  private startProbes(id: UpstreamId): void {
    const entry = this.entries.get(id);
    if (!entry) return;
    this.entries.put(withNewProbeRound(entry, this.now));
    this.effects.push(...probeEffects(entry, this.now));
  }

  /**
   * Readmits ejected upstreams while the capacity floor is not met, and degrades needed suspects.
   */
  private enforceFloor(): void {
    const readmitted = upstreamToReadmit(this.entries.all, this.rules.floor);
    if (readmitted) {
      this.transition(readmitted, suspectState(this.now, true), 'floor');
      return;
    }
    const scoreOf = (id: UpstreamId): number => {
      const { failure, slowness } = this.observations.evidenceFor(id)?.runningScores ?? ZERO_SCORES;
      return failure + slowness;
    };
    const degraded = suspectsToDegrade(this.entries.all, scoreOf, this.rules.floor);
    this.entries.suspects.forEach((entry) => {
      const { healthState, upstream } = entry;
      if (healthState.kind !== 'suspect' || healthState.degraded === degraded.has(upstream.id))
        return;
      const to: HealthState = { ...healthState, degraded: !healthState.degraded };
      this.entries.put({ ...entry, healthState: to });
      this.reportTransition(entry, to, 'floor');
    });
  }
}
