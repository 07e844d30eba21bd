import type { AttemptResult, Instant, ServiceRules, Upstream, UpstreamId } from '../../model';

import { forgive, withFlap, type Entry } from './entry';
import type {
  EjectionRefusal,
  HealthEffect,
  HealthEvent,
  ProbeOrigin,
  HealthState,
  HealthStateReason,
} from './events';
import { canEject, degradedSuspects, readmissionOf, spareSlots } from './floor';
import { Observations, type Reading } from './observations';
import { isProbeDue, probeEffects, withProbes } from './probe-schedule';
import { answerRound, judgeRound } from './probes';
import {
  coldFrom,
  leavingFrom,
  raisedTest,
  review,
  suspectFrom,
  type ReviewContext,
} from './review';
import { Roster } from './roster';
import { isOnTrial, shareOf } from './share';
import { thresholdsFor, type Thresholds } from './thresholds';
import { NO_SCORES } from './upstream-evidence';

const CONFIRMED_EVIDENCE = 6;

/**
 * The standing of a shard's upstreams, as their one owner decides it. An object with identity:
 * `apply` is its one entrance, and `state` in the answer is the object itself.
 */
export class ShardHealth {
  private readonly roster = new Roster();

  private readonly observations = new Observations();

  private thresholds: Thresholds;

  private effects: HealthEffect[] = [];

  private constructor(
    private rules: ServiceRules,
    private now: Instant,
  ) {
    this.thresholds = thresholdsFor(rules.costRatio, 1);
  }

  /** A shard whose upstreams are all held healthy. */
  static start(upstreams: readonly Upstream[], rules: ServiceRules, now: Instant): ShardHealth {
    const health = new ShardHealth(rules, now);
    upstreams.forEach((upstream) => health.add(upstream, { kind: 'healthy' }));
    return health;
  }

  /** Takes in what was seen; the effects are the caller's to carry out, in order. */
  apply(
    event: HealthEvent,
    now: Instant,
  ): { readonly state: ShardHealth; readonly effects: readonly HealthEffect[] } {
    this.now = now;
    this.effects = [];
    this.takeIn(event);
    return { state: this, effects: this.effects };
  }

  /** The standing of an upstream; undefined when it is not of this shard. */
  healthState(id: UpstreamId): HealthState | undefined {
    return this.roster.get(id)?.healthState;
  }

  /** The share of its slots that an upstream may fill, 0 to 1. */
  share(id: UpstreamId): number {
    const entry = this.roster.get(id);
    return entry ? shareOf(entry, this.now) : 0;
  }

  /** How many more attempts may start at an upstream now. */
  room(id: UpstreamId): number {
    const entry = this.roster.get(id);
    const evidence = this.observations.of(id);
    if (!entry || !evidence) return 0;
    const { slots } = entry.upstream;
    const free = slots - evidence.openCount;
    if (isOnTrial(entry, this.now)) return evidence.openInTrial === 0 ? Math.min(1, free) : 0;
    const share = shareOf(entry, this.now);
    return share === 0 ? 0 : Math.max(1, Math.floor(share * slots)) - evidence.openCount;
  }

  /** An upstream that the next idempotent call should go to, to learn whether it is well. */
  trialDue(): UpstreamId | undefined {
    const due = this.roster.onTrial(this.now).find(({ upstream }) => this.room(upstream.id) > 0);
    return due?.upstream.id;
  }

  /** The slots in service beyond the floor; negative below it. */
  get spareSlots(): number {
    return spareSlots(this.roster.all, this.rules.floor);
  }

  private takeIn(event: HealthEvent): void {
    switch (event.kind) {
      case 'attempt-started':
        this.startAttempt(event.upstream, event.attempt);
        return;
      case 'attempt-connecting':
      case 'attempt-connected':
        this.observations.noteConnection(event);
        return;
      case 'attempt-ended':
        this.endAttempt(event.upstream, event.attempt, event.result);
        return;
      case 'probe-answered':
        this.answerProbe(event.upstream, event.from, event.result);
        return;
      case 'upstreams-changed':
        this.replaceUpstreams(event.upstreams);
        return;
      case 'rules-changed':
        this.rules = event.rules;
        this.tick();
        return;
      case 'self-observed':
        this.observations.observeLag(event.loopLag, this.now);
        this.tick();
        return;
      case 'tick':
        this.tick();
    }
  }

  private add(upstream: Upstream, healthState: HealthState): void {
    this.roster.add(upstream, healthState);
    this.observations.add(upstream.id);
  }

  private replaceUpstreams(upstreams: readonly Upstream[]): void {
    const ids = new Set(upstreams.map(({ id }) => id));
    this.roster.all.forEach(({ upstream: { id } }) => {
      if (ids.has(id)) return;
      this.roster.remove(id);
      this.observations.remove(id);
    });
    upstreams.forEach((upstream) => {
      const entry = this.roster.get(upstream.id);
      if (entry) this.roster.put({ ...entry, upstream });
      else this.add(upstream, coldFrom(this.now));
    });
    this.keepFloor();
  }

  private readingOf({ healthState }: Entry): Reading {
    const { kind } = healthState;
    return {
      latencyCounts: kind !== 'cold',
      isReference: kind === 'healthy' || (kind === 'suspect' && this.roster.manyAtOnce),
    };
  }

  private startAttempt(id: UpstreamId, attempt: string): void {
    const entry = this.roster.get(id);
    if (!entry) return;
    this.observations.start(id, attempt, this.now);
    this.observations.age(id, this.readingOf(entry), this.now);
    this.reviewOne(id);
  }

  private endAttempt(id: UpstreamId, attempt: string, result: AttemptResult): void {
    const entry = this.roster.get(id);
    if (!entry) return;
    this.observations.end(id, attempt, result, this.readingOf(entry), this.now);
    if (result.kind === 'shed') this.takeShed(entry, result.cause);
    else this.reviewOne(id);
  }

  private takeShed(entry: Entry, cause: 'busy' | 'draining' | 'cold'): void {
    const { kind } = entry.healthState;
    if (cause === 'busy' || kind === 'ejected' || kind === 'leaving') return;
    if (cause === 'draining') this.move(entry, leavingFrom(this.now), 'draining');
    else if (kind !== 'cold') this.move(entry, coldFrom(this.now), 'cold');
  }

  private answerProbe(id: UpstreamId, from: ProbeOrigin, result: AttemptResult): void {
    const entry = this.roster.get(id);
    if (!entry?.round) return;
    const round = answerRound(entry.round, from, result);
    this.roster.put({ ...entry, round });
    const isComplete = round.self !== undefined && round.other !== undefined;
    if (isComplete && judgeRound(round, this.now) === 'confirmed') {
      this.observations.of(id)?.addProbeEvidence(CONFIRMED_EVIDENCE);
    }
    this.reviewOne(id);
  }

  private tick(): void {
    this.observations.tick(this.now);
    this.thresholds = thresholdsFor(this.rules.costRatio, this.observations.local.multiplier);
    this.roster.all.forEach((entry) => {
      const { id } = entry.upstream;
      this.roster.put(forgive(entry, this.thresholds.holdDown, this.now));
      this.observations.age(id, this.readingOf(entry), this.now);
      this.reviewOne(id);
      this.probeWhenDue(id);
    });
    this.keepFloor();
  }

  private reviewOne(id: UpstreamId): void {
    const entry = this.roster.get(id);
    const evidence = this.observations.of(id);
    if (!entry || !evidence) return;
    const context: ReviewContext = {
      now: this.now,
      evidence,
      thresholds: this.thresholds,
      selfDoubt: () => this.selfDoubt(),
      canEject: () => canEject(this.roster.all, entry, this.rules.floor),
    };
    const decision = review(entry, context);
    if (decision.kind === 'move') this.move(entry, decision.to, decision.reason);
    if (decision.kind === 'refuse') this.refuse(entry, decision.reason);
  }

  private selfDoubt(): EjectionRefusal | undefined {
    if (this.observations.local.isDoubtful) return 'local-health';
    return this.roster.manyAtOnce ? 'many-at-once' : undefined;
  }

  private refuse(entry: Entry, reason: EjectionRefusal): void {
    if (entry.refused) return;
    this.roster.put({ ...entry, refused: true });
    this.effects.push({ kind: 'ejection-refused', upstream: entry.upstream.id, reason });
  }

  private move(entry: Entry, to: HealthState, reason: HealthStateReason): void {
    if (to.kind === 'ejected' && !canEject(this.roster.all, entry, this.rules.floor)) {
      this.refuse(entry, 'floor-invariant');
      return;
    }
    const { id } = entry.upstream;
    const evidence = this.observations.of(id);
    const raisedBy = (evidence && raisedTest(evidence, this.thresholds)) ?? entry.raisedBy;
    const moved = { ...entry, healthState: to, refused: false, raisedBy, round: undefined };
    this.roster.put(to.kind === 'ejected' ? withFlap(moved) : moved);
    this.resetEvidence(id, to);
    this.noteMove(entry, to, reason);
    if (to.kind === 'suspect') this.startProbes(id);
    this.keepFloor();
  }

  private noteMove(
    { upstream, healthState }: Entry,
    to: HealthState,
    reason: HealthStateReason,
  ): void {
    const change = { upstream: upstream.id, from: healthState, to, reason };
    this.effects.push({ kind: 'standing-changed', ...change });
  }

  private resetEvidence(id: UpstreamId, to: HealthState): void {
    const evidence = this.observations.of(id);
    if (to.kind !== 'suspect') evidence?.clear();
    if (to.kind === 'suspect') evidence?.openTrial(to.trialAt, this.thresholds);
    if (to.kind === 'probation' && to.fullAt === undefined) {
      evidence?.openTrial(to.startAt, this.thresholds);
    }
  }

  private probeWhenDue(id: UpstreamId): void {
    const entry = this.roster.get(id);
    if (entry && isProbeDue(entry, this.now)) this.startProbes(id);
  }

  private startProbes(id: UpstreamId): void {
    const entry = this.roster.get(id);
    if (!entry) return;
    this.roster.put(withProbes(entry, this.now));
    this.effects.push(...probeEffects(entry, this.now));
  }

  /** Takes ejected upstreams back while the floor is not met, and degrades suspects it needs. */
  private keepFloor(): void {
    const readmitted = readmissionOf(this.roster.all, this.rules.floor);
    if (readmitted) {
      this.move(readmitted, suspectFrom(this.now, true), 'floor');
      return;
    }
    const scoreOf = (id: UpstreamId): number => {
      const { failure, slowness } = this.observations.of(id)?.runningScores ?? NO_SCORES;
      return failure + slowness;
    };
    const degraded = degradedSuspects(this.roster.all, scoreOf, this.rules.floor);
    this.roster.suspects.forEach((entry) => {
      const { healthState, upstream } = entry;
      if (healthState.kind !== 'suspect' || healthState.degraded === degraded.has(upstream.id))
        return;
      const to: HealthState = { ...healthState, degraded: !healthState.degraded };
      this.roster.put({ ...entry, healthState: to });
      this.noteMove(entry, to, 'floor');
    });
  }
}
