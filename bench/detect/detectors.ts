import {
  ShardHealth,
  TRIAL_SHARE,
  type HealthEvent,
  type ProbeOrigin,
} from '../../src/core/health';
import type { AttemptResult, Instant, ServiceRules, Upstream } from '../../src/model';
import { BaselineDetector } from '../baseline-detector';

/** A probe that a detector asks for, of the upstream at `index`. */
export interface ProbeRequest {
  readonly index: number;
  readonly from: ProbeOrigin;
  readonly deadline: Instant;
}

/** Probes to send and upstreams ejected in response to one event. */
export interface DetectorEffects {
  readonly probes: readonly ProbeRequest[];
  readonly ejectedIndexes: readonly number[];
}

/** A failure detector as the simulation drives it; upstreams are numbered from 0. */
export interface Detector {
  attemptStarted(index: number, attempt: number, now: Instant): DetectorEffects;
  /** Reports that an attempt still waits for its connection to open. */
  attemptConnecting(index: number, attempt: number, now: Instant): void;
  attemptEnded(
    index: number,
    attempt: number,
    result: AttemptResult,
    now: Instant,
  ): DetectorEffects;
  probeAnswered(
    index: number,
    from: ProbeOrigin,
    result: AttemptResult,
    now: Instant,
  ): DetectorEffects;
  tick(now: Instant): DetectorEffects;
  /** Returns how many attempts may start at an upstream now, given how many are open. */
  startableAttempts(index: number, open: number): number;
  /** Returns the index of an upstream that is due a trial request, or -1. */
  nextTrial(): number;
  /** Returns the share of its slots that an upstream may use, 0 to 1. */
  slotShare(index: number): number;
  /** Returns whether an upstream gets no requests except trials. */
  getsOnlyTrials(index: number): boolean;
}

const NO_EFFECTS: DetectorEffects = { probes: [], ejectedIndexes: [] };

/** Adapts the gateway's own detector, `ShardHealth`. */
export class ShardHealthDetector implements Detector {
  private readonly health: ShardHealth;

  private readonly indexById: ReadonlyMap<string, number>;

  constructor(
    private readonly upstreams: readonly Upstream[],
    rules: ServiceRules,
    now: Instant,
  ) {
    this.health = ShardHealth.start(upstreams, rules, now);
    this.indexById = new Map(upstreams.map(({ id }, index) => [id, index]));
  }

  attemptStarted(index: number, attempt: number, now: Instant): DetectorEffects {
    const upstream = this.id(index);
    return this.applyEvent({ kind: 'attempt-started', upstream, attempt: String(attempt) }, now);
  }

  attemptConnecting(index: number, attempt: number, now: Instant): void {
    this.health.apply(
      { kind: 'attempt-connecting', upstream: this.id(index), attempt: String(attempt) },
      now,
    );
  }

  attemptEnded(
    index: number,
    attempt: number,
    result: AttemptResult,
    now: Instant,
  ): DetectorEffects {
    const upstream = this.id(index);
    return this.applyEvent(
      { kind: 'attempt-ended', upstream, attempt: String(attempt), result },
      now,
    );
  }

  probeAnswered(
    index: number,
    from: ProbeOrigin,
    result: AttemptResult,
    now: Instant,
  ): DetectorEffects {
    return this.applyEvent({ kind: 'probe-answered', upstream: this.id(index), from, result }, now);
  }

  tick(now: Instant): DetectorEffects {
    return this.applyEvent({ kind: 'tick' }, now);
  }

  startableAttempts(index: number): number {
    return this.health.availableSlots(this.id(index));
  }

  nextTrial(): number {
    const id = this.health.upstreamDueForTrial(true);
    return id === undefined ? -1 : (this.indexById.get(id) ?? -1);
  }

  slotShare(index: number): number {
    return this.health.share(this.id(index));
  }

  getsOnlyTrials(index: number): boolean {
    return this.slotShare(index) <= TRIAL_SHARE;
  }

  /** Returns the inventory id of the upstream at an index; empty when there is none. */
  private id(index: number): string {
    return this.upstreams[index]?.id ?? '';
  }

  private applyEvent(event: HealthEvent, now: Instant): DetectorEffects {
    const { effects } = this.health.apply(event, now);
    if (effects.length === 0) return NO_EFFECTS;
    const probes: ProbeRequest[] = [];
    const ejectedIndexes: number[] = [];
    effects.forEach((effect) => {
      const index = this.indexById.get(effect.upstream) ?? -1;
      if (effect.kind === 'probe') probes.push({ ...effect, index });
      if (effect.kind === 'standing-changed' && effect.to.kind === 'ejected')
        ejectedIndexes.push(index);
    });
    return { probes, ejectedIndexes };
  }
}

/** Adapts the baseline detector, which sends no probes and no trials. */
export class BaselineAdapter implements Detector {
  private readonly detector: BaselineDetector;

  constructor(
    count: number,
    private readonly slots: number,
    now: Instant,
    shedsAreFailures: boolean,
  ) {
    this.detector = new BaselineDetector(count, now, shedsAreFailures);
  }

  // eslint-disable-next-line class-methods-use-this
  attemptStarted(): DetectorEffects {
    return NO_EFFECTS;
  }

  // eslint-disable-next-line class-methods-use-this
  attemptConnecting(): void {}

  attemptEnded(
    index: number,
    _attempt: number,
    result: AttemptResult,
    now: Instant,
  ): DetectorEffects {
    return this.detector.recordResult(index, result, now)
      ? { probes: [], ejectedIndexes: [index] }
      : NO_EFFECTS;
  }

  // eslint-disable-next-line class-methods-use-this
  probeAnswered(): DetectorEffects {
    return NO_EFFECTS;
  }

  tick(now: Instant): DetectorEffects {
    this.detector.tick(now);
    return NO_EFFECTS;
  }

  startableAttempts(index: number, open: number): number {
    return this.detector.isEjected(index) ? 0 : this.slots - open;
  }

  // eslint-disable-next-line class-methods-use-this
  nextTrial(): number {
    return -1;
  }

  slotShare(index: number): number {
    return this.detector.isEjected(index) ? 0 : 1;
  }

  getsOnlyTrials(index: number): boolean {
    return this.detector.isEjected(index);
  }
}
