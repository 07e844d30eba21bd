import {
  ShardHealth,
  TRIAL_SHARE,
  type HealthEvent,
  type ProbeOrigin,
} from '../../src/core/health';
import type { AttemptResult, Instant, ServiceRules, Upstream } from '../../src/model';
import { BaselineDetector } from '../baseline-detector';

/** A probe that a detector asks for. */
export interface ProbeRequest {
  readonly index: number;
  readonly from: ProbeOrigin;
  readonly deadline: Instant;
}

/** What a detector did in answer to an event. */
export interface Reaction {
  readonly probes: readonly ProbeRequest[];
  readonly ejected: readonly number[];
}

/** A detector as the model drives it; upstreams are numbered from 0. */
export interface Detector {
  started(index: number, attempt: number, now: Instant): Reaction;
  connecting(index: number, attempt: number, now: Instant): void;
  ended(index: number, attempt: number, result: AttemptResult, now: Instant): Reaction;
  probed(index: number, from: ProbeOrigin, result: AttemptResult, now: Instant): Reaction;
  tick(now: Instant): Reaction;
  /** Attempts that may start now, given those open. */
  room(index: number, open: number): number;
  /** The upstream to be tried next, or -1. */
  trialDue(): number;
  /** The share of its slots that an upstream gets. */
  share(index: number): number;
  /** Whether an upstream gets no work but trials. */
  isHeld(index: number): boolean;
}

const NOTHING: Reaction = { probes: [], ejected: [] };

/** The project's own detector. */
export class OwnDetector implements Detector {
  private readonly health: ShardHealth;

  private readonly indexes: ReadonlyMap<string, number>;

  constructor(
    private readonly upstreams: readonly Upstream[],
    rules: ServiceRules,
    now: Instant,
  ) {
    this.health = ShardHealth.start(upstreams, rules, now);
    this.indexes = new Map(upstreams.map(({ id }, index) => [id, index]));
  }

  started(index: number, attempt: number, now: Instant): Reaction {
    const upstream = this.id(index);
    return this.react({ kind: 'attempt-started', upstream, attempt: String(attempt) }, now);
  }

  connecting(index: number, attempt: number, now: Instant): void {
    this.health.apply(
      { kind: 'attempt-connecting', upstream: this.id(index), attempt: String(attempt) },
      now,
    );
  }

  ended(index: number, attempt: number, result: AttemptResult, now: Instant): Reaction {
    const upstream = this.id(index);
    return this.react({ kind: 'attempt-ended', upstream, attempt: String(attempt), result }, now);
  }

  probed(index: number, from: ProbeOrigin, result: AttemptResult, now: Instant): Reaction {
    return this.react({ kind: 'probe-answered', upstream: this.id(index), from, result }, now);
  }

  tick(now: Instant): Reaction {
    return this.react({ kind: 'tick' }, now);
  }

  room(index: number): number {
    return this.health.availableSlots(this.id(index));
  }

  trialDue(): number {
    const id = this.health.upstreamDueForTrial();
    return id === undefined ? -1 : (this.indexes.get(id) ?? -1);
  }

  share(index: number): number {
    return this.health.share(this.id(index));
  }

  isHeld(index: number): boolean {
    return this.share(index) <= TRIAL_SHARE;
  }

  private id(index: number): string {
    return this.upstreams[index]?.id ?? '';
  }

  private react(event: HealthEvent, now: Instant): Reaction {
    const { effects } = this.health.apply(event, now);
    if (effects.length === 0) return NOTHING;
    const probes: ProbeRequest[] = [];
    const ejected: number[] = [];
    effects.forEach((effect) => {
      const index = this.indexes.get(effect.upstream) ?? -1;
      if (effect.kind === 'probe') probes.push({ ...effect, index });
      if (effect.kind === 'standing-changed' && effect.to.kind === 'ejected') ejected.push(index);
    });
    return { probes, ejected };
  }
}

/** The baseline behind the same interface. */
export class BaselineAdapter implements Detector {
  private readonly detector: BaselineDetector;

  constructor(
    count: number,
    private readonly slots: number,
    now: Instant,
    shedsCount: boolean,
  ) {
    this.detector = new BaselineDetector(count, now, shedsCount);
  }

  // eslint-disable-next-line class-methods-use-this
  started(): Reaction {
    return NOTHING;
  }

  // eslint-disable-next-line class-methods-use-this
  connecting(): void {}

  ended(index: number, _attempt: number, result: AttemptResult, now: Instant): Reaction {
    return this.detector.end(index, result, now) ? { probes: [], ejected: [index] } : NOTHING;
  }

  // eslint-disable-next-line class-methods-use-this
  probed(): Reaction {
    return NOTHING;
  }

  tick(now: Instant): Reaction {
    this.detector.tick(now);
    return NOTHING;
  }

  room(index: number, open: number): number {
    return this.detector.isEjected(index) ? 0 : this.slots - open;
  }

  // eslint-disable-next-line class-methods-use-this
  trialDue(): number {
    return -1;
  }

  share(index: number): number {
    return this.detector.isEjected(index) ? 0 : 1;
  }

  isHeld(index: number): boolean {
    return this.detector.isEjected(index);
  }
}
