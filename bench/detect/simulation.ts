import type { ProbeOrigin } from '../../src/core/health';
import type { AttemptResult, Instant, Millis } from '../../src/model';

import { EventQueue } from './event-queue';
import type { RandomSource } from './random-source';
import { TICK_INTERVAL_MS } from './conditions';
import type { Detector, DetectorEffects } from './detectors';
import type { UpstreamModel } from './upstream-model';

const QUEUED_REQUESTS_PER_SLOT = 4;

/** An event of the simulation; `index` numbers the upstream. */
type SimulationEvent =
  | { readonly kind: 'arrival' }
  | { readonly kind: 'tick' }
  | {
      readonly kind: 'end';
      readonly index: number;
      readonly attempt: number;
      readonly result: AttemptResult;
    }
  | {
      readonly kind: 'probe-end';
      readonly index: number;
      readonly from: ProbeOrigin;
      readonly result: AttemptResult;
    };

/** Receives what happens in a simulation. */
export interface SimulationObserver {
  /** Called after every event has been handled. */
  eventHandled(now: Instant): void;
  upstreamEjected(index: number, now: Instant): void;
  attemptStarted(index: number, now: Instant): void;
}

/** Simulates open-loop load on one shard under one detector, in virtual time. */
export class Simulation {
  private readonly eventQueue = new EventQueue<SimulationEvent>();

  private readonly openAttempts: number[];

  private queuedRequests = 0;

  private attemptCount = 0;

  now: Instant = 0;

  constructor(
    private readonly upstreams: readonly UpstreamModel[],
    private readonly slots: number,
    private readonly meanArrivalInterval: Millis,
    private readonly detector: Detector,
    private readonly random: RandomSource,
    private readonly observer: SimulationObserver,
  ) {
    this.openAttempts = upstreams.map(() => 0);
    this.eventQueue.add(0, { kind: 'arrival' });
    this.eventQueue.add(0, { kind: 'tick' });
  }

  runUntil(end: Instant): void {
    for (;;) {
      const scheduled = this.eventQueue.pop();
      if (!scheduled || scheduled.at > end) return;
      this.now = scheduled.at;
      this.handleEvent(scheduled.value);
      this.startQueuedRequests();
      this.observer.eventHandled(this.now);
    }
  }

  private handleEvent(event: SimulationEvent): void {
    switch (event.kind) {
      case 'arrival':
        this.eventQueue.add(this.now + this.random.exponential(this.meanArrivalInterval), event);
        this.queuedRequests = Math.min(
          this.queuedRequests + 1,
          this.slots * this.upstreams.length * QUEUED_REQUESTS_PER_SLOT,
        );
        return;
      case 'tick':
        this.eventQueue.add(this.now + TICK_INTERVAL_MS, event);
        this.applyEffects(this.detector.tick(this.now));
        return;
      case 'end':
        this.openAttempts[event.index] = (this.openAttempts[event.index] ?? 0) - 1;
        this.applyEffects(
          this.detector.attemptEnded(event.index, event.attempt, event.result, this.now),
        );
        return;
      case 'probe-end':
        this.applyEffects(
          this.detector.probeAnswered(event.index, event.from, event.result, this.now),
        );
    }
  }

  private applyEffects({ probes, ejectedIndexes }: DetectorEffects): void {
    ejectedIndexes.forEach((index) => this.observer.upstreamEjected(index, this.now));
    probes.forEach(({ index, from, deadline }) => {
      const attemptEnd = this.upstreams[index]?.probe(this.now, from, deadline);
      if (!attemptEnd) return;
      this.eventQueue.add(attemptEnd.at, {
        kind: 'probe-end',
        index,
        from,
        result: attemptEnd.result,
      });
    });
  }

  private startQueuedRequests(): void {
    while (this.queuedRequests > 0) {
      const index = this.chooseUpstream();
      if (index < 0) return;
      this.queuedRequests -= 1;
      this.startAttempt(index);
    }
  }

  private startAttempt(index: number): void {
    const open = this.openAttempts[index] ?? 0;
    const attemptEnd = this.upstreams[index]?.serve(this.now, open);
    if (!attemptEnd) return;
    this.openAttempts[index] = open + 1;
    const attempt = this.attemptCount;
    this.attemptCount += 1;
    this.applyEffects(this.detector.attemptStarted(index, attempt, this.now));
    if (attemptEnd.neverConnects) this.detector.attemptConnecting(index, attempt, this.now);
    this.observer.attemptStarted(index, this.now);
    this.eventQueue.add(attemptEnd.at, { kind: 'end', index, attempt, result: attemptEnd.result });
  }

  /**
   * Returns an upstream that is due a trial, else the one of two random upstreams that may start
   * more attempts, else any that may start one, else -1.
   */
  private chooseUpstream(): number {
    const trial = this.detector.nextTrial();
    if (trial >= 0) return trial;
    const count = this.upstreams.length;
    const a = this.random.below(count);
    const b = this.random.below(count);
    const better = this.startableAttemptsAt(a) >= this.startableAttemptsAt(b) ? a : b;
    if (this.startableAttemptsAt(better) > 0) return better;
    for (let step = 1; step < count; step++) {
      const index = (better + step) % count;
      if (this.startableAttemptsAt(index) > 0) return index;
    }
    return -1;
  }

  private startableAttemptsAt(index: number): number {
    return this.detector.startableAttempts(index, this.openAttempts[index] ?? 0);
  }
}
