import type { AttemptResult, Instant, Millis } from '../../model';

import {
  CONNECTION_FAILURE_NATS,
  evidenceOf,
  NO_EVIDENCE,
  stallEvidence,
  type Evidence,
  type Symptom,
} from './evidence';
import type { Thresholds } from './thresholds';

/**
 * Age in milliseconds, longer than any pause of a healthy process, from which an attempt counts in
 * a trial even if it started before it.
 */
const STALL_AGE_MS: Millis = 1_000;
/** Age in milliseconds from which a connection attempt counts as failed until it opens. */
const SLOW_CONNECT_AGE_MS: Millis = 20;

/** The two sequential tests that run in parallel. */
export type SequentialTest = 'failure' | 'slowness';

/** Returns the cumulative hazard of a latency in milliseconds among the peers. */
export type HazardOf = (latency: Millis) => number;

interface OpenAttempt {
  readonly startedAt: Instant;
  /** Total event-loop lag at the start, in milliseconds. */
  readonly lagAtStart: Millis;
  readonly connecting: boolean;
}

/** Accumulated log-likelihood ratios of faulty over healthy, in nats. */
export interface TestScores {
  readonly failure: number;
  readonly slowness: number;
}

/** The range of the scores in nats; without it, new evidence could not outweigh old. */
interface ScoreBounds {
  readonly lower: number;
  readonly upper: number;
}

interface Trial {
  /** Start of the trial; attempts started earlier don't count in it. */
  readonly since: Instant;
  readonly scores: TestScores;
  readonly bounds: ScoreBounds;
}

export const ZERO_SCORES: TestScores = { failure: 0, slowness: 0 };

const NO_SYMPTOMS = { answers: ZERO_SCORES, silence: ZERO_SCORES };

/** Range in nats of the running scores. */
const RUNNING_BOUNDS: ScoreBounds = { lower: 0, upper: 20 };

const clamp = (score: number, { lower, upper }: ScoreBounds): number =>
  Math.min(upper, Math.max(lower, score));

const addEvidence = (scores: TestScores, evidence: Evidence, bounds: ScoreBounds): TestScores => ({
  failure: clamp(scores.failure + evidence.failure, bounds),
  slowness: clamp(scores.slowness + evidence.slowness, bounds),
});

/**
 * Accumulates the evidence about one upstream: running tests (CUSUM) that make it suspect, a trial
 * (SPRT) that then decides, and the attempts still open.
 */
export class UpstreamEvidence {
  private readonly openAttempts = new Map<string, OpenAttempt>();

  private running: TestScores = ZERO_SCORES;

  private trial: Trial | undefined;

  /** Slowness evidence in nats from the ages of all open attempts. */
  private stallScore = 0;

  /** The part of `stallScore` that counts in the trial. */
  private trialStallScore = 0;

  /** Failure evidence in nats from attempts whose connections are slow to open. */
  private connectStallScore = 0;

  /** The parts of the running scores by symptom. */
  private symptoms: Readonly<Record<Symptom, TestScores>> = NO_SYMPTOMS;

  get openCount(): number {
    return this.openAttempts.size;
  }

  /** Number of open attempts that count in the trial. */
  get openInTrial(): number {
    const since = this.trial?.since ?? Infinity;
    return [...this.openAttempts.values()].filter(({ startedAt }) => startedAt >= since).length;
  }

  /** Scores of the running tests, open attempts included; 0 without evidence of a fault. */
  get runningScores(): TestScores {
    const { failure, slowness } = this.running;
    return { failure: failure + this.connectStallScore, slowness: slowness + this.stallScore };
  }

  /** Scores of the trial, open attempts included: positive for faulty, negative for healthy. */
  get trialScores(): TestScores {
    const { failure, slowness } = this.trial?.scores ?? ZERO_SCORES;
    return { failure, slowness: slowness + this.trialStallScore };
  }

  /** Whether open attempts contribute more to the slowness score than finished ones. */
  get isStalled(): boolean {
    return this.stallScore > this.running.slowness;
  }

  /** Returns whether silence, which a link can cause, or answers contribute most to a test. */
  symptomOf(test: SequentialTest): Symptom {
    const { answers, silence } = this.symptoms;
    const stallScore = test === 'failure' ? this.connectStallScore : this.stallScore;
    return silence[test] + stallScore > answers[test] ? 'silence' : 'answers';
  }

  /** Records a started attempt; `totalLag` is the event-loop lag in milliseconds up to now. */
  attemptStarted(attempt: string, now: Instant, totalLag: Millis): void {
    this.openAttempts.set(attempt, { startedAt: now, lagAtStart: totalLag, connecting: false });
  }

  /** Records whether an open attempt waits for its connection. */
  connecting(attempt: string, connecting: boolean): void {
    const opened = this.openAttempts.get(attempt);
    if (opened) this.openAttempts.set(attempt, { ...opened, connecting });
  }

  /**
   * Records the end of an attempt. Returns its age in milliseconds without event-loop lag, or
   * undefined for an unknown attempt. `usesLatency` is false while slowness is expected.
   */
  attemptEnded(
    attempt: string,
    result: AttemptResult,
    context: {
      readonly now: Instant;
      readonly totalLag: Millis;
      readonly hazardOf: HazardOf;
      readonly peerErrorRate: number;
      readonly usesLatency: boolean;
    },
  ): Millis | undefined {
    const opened = this.openAttempts.get(attempt);
    if (!opened) return undefined;
    this.openAttempts.delete(attempt);
    const attemptAge = context.now - opened.startedAt - (context.totalLag - opened.lagAtStart);
    const full = evidenceOf(result, context.hazardOf(attemptAge), context.peerErrorRate);
    const evidence = context.usesLatency ? full : { ...full, slowness: 0 };
    this.running = addEvidence(this.running, evidence, RUNNING_BOUNDS);
    this.recordSymptom(evidence);
    if (this.trial && opened.startedAt >= this.trial.since) this.addToTrial(evidence);
    return attemptAge;
  }

  /** Recomputes the evidence from the ages of the open attempts. */
  weighOpenAttempts(now: Instant, totalLag: Millis, hazardOf: HazardOf): void {
    const since = this.trial?.since ?? Infinity;
    this.clearStalls();
    this.openAttempts.forEach(({ startedAt, lagAtStart, connecting }) => {
      const attemptAge = now - startedAt - (totalLag - lagAtStart);
      if (connecting && attemptAge >= SLOW_CONNECT_AGE_MS)
        this.connectStallScore += CONNECTION_FAILURE_NATS;
      const weight = stallEvidence(hazardOf(attemptAge));
      this.stallScore += weight;
      if (startedAt >= since || attemptAge >= STALL_AGE_MS) this.trialStallScore += weight;
    });
  }

  /** Drops the evidence from open attempts; used while slowness is expected. */
  clearStalls(): void {
    this.stallScore = 0;
    this.trialStallScore = 0;
    this.connectStallScore = 0;
  }

  /** Opens a trial of attempts started from `since` on, bounded by the two thresholds. */
  openTrial(since: Instant, { clear, ejectAlone }: Thresholds): void {
    this.trial = { since, scores: ZERO_SCORES, bounds: { lower: -clear, upper: ejectAlone } };
  }

  /** Adds evidence in nats from a probe round that the upstream is unreachable. */
  addProbeEvidence(weight: number): void {
    this.addToTrial({ ...NO_EVIDENCE, failure: weight, symptom: 'silence' });
  }

  /** Resets all evidence and keeps the open attempts. */
  clear(): void {
    this.running = ZERO_SCORES;
    this.trial = undefined;
    this.symptoms = NO_SYMPTOMS;
    this.clearStalls();
  }

  private addToTrial(evidence: Evidence): void {
    if (!this.trial) return;
    const { since, scores, bounds } = this.trial;
    this.trial = { since, scores: addEvidence(scores, evidence, bounds), bounds };
  }

  private recordSymptom({ failure, slowness, symptom }: Evidence): void {
    const weights = { failure: Math.max(0, failure), slowness: Math.max(0, slowness) };
    const noted = this.symptoms[symptom];
    const { running } = this;
    const sum = (before: TestScores): TestScores => ({
      failure: running.failure === 0 ? 0 : before.failure,
      slowness: running.slowness === 0 ? 0 : before.slowness,
    });
    const added = {
      failure: noted.failure + weights.failure,
      slowness: noted.slowness + weights.slowness,
    };
    const symptoms = { ...this.symptoms, [symptom]: added };
    this.symptoms = { answers: sum(symptoms.answers), silence: sum(symptoms.silence) };
  }
}
