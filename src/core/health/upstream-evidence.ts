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

/** Beyond any pause of a healthy process: an attempt this old speaks for itself. */
const STALL_AGE_MS: Millis = 1_000;
/** A connection that takes this long to open counts as a failed one until it is open. */
const SLOW_CONNECT_AGE_MS: Millis = 20;

/** The two tests kept side by side. */
export type SequentialTest = 'failure' | 'slowness';

/** How a latency ranks among the peers, as a cumulative hazard. */
export type HazardOf = (latency: Millis) => number;

interface OpenAttempt {
  readonly startedAt: Instant;
  readonly lagAtStart: Millis;
  /** Whether its connection is still being opened. */
  readonly connecting: boolean;
}

/** Log-likelihood ratios in nats, of sick over healthy. */
export interface TestScores {
  readonly failure: number;
  readonly slowness: number;
}

/** The range that scores stay in, so that old evidence can be outweighed. */
interface ScoreBounds {
  readonly lower: number;
  readonly upper: number;
}

interface Trial {
  /** Attempts started before this don't count in the trial. */
  readonly since: Instant;
  readonly scores: TestScores;
  readonly bounds: ScoreBounds;
}

/** Nothing said either way. */
export const ZERO_SCORES: TestScores = { failure: 0, slowness: 0 };

const NO_SYMPTOMS = { answers: ZERO_SCORES, silence: ZERO_SCORES };

const RUNNING_BOUNDS: ScoreBounds = { lower: 0, upper: 20 };

const clamp = (score: number, { lower, upper }: ScoreBounds): number =>
  Math.min(upper, Math.max(lower, score));

const addEvidence = (scores: TestScores, evidence: Evidence, bounds: ScoreBounds): TestScores => ({
  failure: clamp(scores.failure + evidence.failure, bounds),
  slowness: clamp(scores.slowness + evidence.slowness, bounds),
});

/**
 * What the owner has seen of one upstream: a running test (CUSUM) that raises suspicion, a trial
 * (SPRT) that settles it, and the attempts still open.
 */
export class UpstreamEvidence {
  private readonly openAttempts = new Map<string, OpenAttempt>();

  private running: TestScores = ZERO_SCORES;

  private trial: Trial | undefined;

  private stallScore = 0;

  private trialStallScore = 0;

  private connectStallScore = 0;

  /** What the running scores are made of, by symptom. */
  private symptoms: Readonly<Record<Symptom, TestScores>> = NO_SYMPTOMS;

  get openCount(): number {
    return this.openAttempts.size;
  }

  /** Open attempts that count in the trial. */
  get openInTrial(): number {
    const since = this.trial?.since ?? Infinity;
    return [...this.openAttempts.values()].filter(({ startedAt }) => startedAt >= since).length;
  }

  /** The running tests' scores, 0 for nothing against the upstream. */
  get runningScores(): TestScores {
    const { failure, slowness } = this.running;
    return { failure: failure + this.connectStallScore, slowness: slowness + this.stallScore };
  }

  /** The trial's scores: above 0 for sick, below for well. */
  get trialScores(): TestScores {
    const { failure, slowness } = this.trial?.scores ?? ZERO_SCORES;
    return { failure, slowness: slowness + this.trialStallScore };
  }

  get isStalled(): boolean {
    return this.stallScore > this.running.slowness;
  }

  /** Whether a test was raised mostly by silence, which a link can cause, or by answers. */
  symptomOf(test: SequentialTest): Symptom {
    const { answers, silence } = this.symptoms;
    const stallScore = test === 'failure' ? this.connectStallScore : this.stallScore;
    return silence[test] + stallScore > answers[test] ? 'silence' : 'answers';
  }

  attemptStarted(attempt: string, now: Instant, lagTotal: Millis): void {
    this.openAttempts.set(attempt, { startedAt: now, lagAtStart: lagTotal, connecting: false });
  }

  /** Notes whether an open attempt waits for its connection. */
  connecting(attempt: string, connecting: boolean): void {
    const opened = this.openAttempts.get(attempt);
    if (opened) this.openAttempts.set(attempt, { ...opened, connecting });
  }

  /**
   * Takes in the end of an attempt, and answers with its age unless it is not known.
   * `latencyCounts` is false while slowness is to be expected.
   */
  attemptEnded(
    attempt: string,
    result: AttemptResult,
    context: {
      readonly now: Instant;
      readonly lagTotal: Millis;
      readonly hazardOf: HazardOf;
      readonly peerErrorRate: number;
      readonly usesLatency: boolean;
    },
  ): Millis | undefined {
    const opened = this.openAttempts.get(attempt);
    if (!opened) return undefined;
    this.openAttempts.delete(attempt);
    const attemptAge = context.now - opened.startedAt - (context.lagTotal - opened.lagAtStart);
    const full = evidenceOf(result, context.hazardOf(attemptAge), context.peerErrorRate);
    const evidence = context.usesLatency ? full : { ...full, slowness: 0 };
    this.running = addEvidence(this.running, evidence, RUNNING_BOUNDS);
    this.recordSymptom(evidence);
    if (this.trial && opened.startedAt >= this.trial.since) this.addToTrial(evidence);
    return attemptAge;
  }

  /** Weighs the attempts still open by their age. */
  weighOpenAttempts(now: Instant, lagTotal: Millis, hazardOf: HazardOf): void {
    const since = this.trial?.since ?? Infinity;
    this.clearStalls();
    this.openAttempts.forEach(({ startedAt, lagAtStart, connecting }) => {
      const attemptAge = now - startedAt - (lagTotal - lagAtStart);
      if (connecting && attemptAge >= SLOW_CONNECT_AGE_MS)
        this.connectStallScore += CONNECTION_FAILURE_NATS;
      const weight = stallEvidence(hazardOf(attemptAge));
      this.stallScore += weight;
      if (startedAt >= since || attemptAge >= STALL_AGE_MS) this.trialStallScore += weight;
    });
  }

  /** Forgets the open attempts' ages, for when slowness is to be expected. */
  clearStalls(): void {
    this.stallScore = 0;
    this.trialStallScore = 0;
    this.connectStallScore = 0;
  }

  /** Opens a trial of the attempts started from `since` on, between the two thresholds. */
  openTrial(since: Instant, { clear, ejectAlone }: Thresholds): void {
    this.trial = { since, scores: ZERO_SCORES, bounds: { lower: -clear, upper: ejectAlone } };
  }

  /** Adds evidence against reachability that came by probe. */
  addProbeEvidence(weight: number): void {
    this.addToTrial({ ...NO_EVIDENCE, failure: weight, symptom: 'silence' });
  }

  /** Starts over, with the open attempts kept. */
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
