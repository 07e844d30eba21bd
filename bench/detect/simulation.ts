import type { ProbeOrigin } from '../../src/core/health';
import type { AttemptResult, Instant, Millis } from '../../src/model';

import { Agenda } from './agenda';
import type { RandomSource } from './random-source';
import { TICK } from './conditions';
import type { Detector, Reaction } from './detectors';
import type { UpstreamModel } from './upstream-model';

const QUEUE_PER_SLOT = 4;

type Happening =
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

/** What a run is watched for. */
export interface Watcher {
  /** After every event. */
  looked(now: Instant): void;
  ejected(index: number, now: Instant): void;
  started(index: number, now: Instant): void;
}

/** Open-loop work on one shard under one detector, in virtual time. */
export class Simulation {
  private readonly agenda = new Agenda<Happening>();

  private readonly open: number[];

  private waiting = 0;

  private attempts = 0;

  now: Instant = 0;

  constructor(
    private readonly upstreams: readonly UpstreamModel[],
    private readonly slots: number,
    private readonly arrivalEvery: Millis,
    private readonly detector: Detector,
    private readonly chance: RandomSource,
    private readonly watcher: Watcher,
  ) {
    this.open = upstreams.map(() => 0);
    this.agenda.add(0, { kind: 'arrival' });
    this.agenda.add(0, { kind: 'tick' });
  }

  runUntil(end: Instant): void {
    for (;;) {
      const item = this.agenda.next();
      if (!item || item.at > end) return;
      this.now = item.at;
      this.take(item.value);
      this.dispatch();
      this.watcher.looked(this.now);
    }
  }

  private take(event: Happening): void {
    switch (event.kind) {
      case 'arrival':
        this.agenda.add(this.now + this.chance.exponential(this.arrivalEvery), event);
        this.waiting = Math.min(
          this.waiting + 1,
          this.slots * this.upstreams.length * QUEUE_PER_SLOT,
        );
        return;
      case 'tick':
        this.agenda.add(this.now + TICK, event);
        this.react(this.detector.tick(this.now));
        return;
      case 'end':
        this.open[event.index] = (this.open[event.index] ?? 0) - 1;
        this.react(this.detector.ended(event.index, event.attempt, event.result, this.now));
        return;
      case 'probe-end':
        this.react(this.detector.probed(event.index, event.from, event.result, this.now));
    }
  }

  private react({ probes, ejected }: Reaction): void {
    ejected.forEach((index) => this.watcher.ejected(index, this.now));
    probes.forEach(({ index, from, deadline }) => {
      const ending = this.upstreams[index]?.probe(this.now, from, deadline);
      if (!ending) return;
      this.agenda.add(ending.at, { kind: 'probe-end', index, from, result: ending.result });
    });
  }

  private dispatch(): void {
    while (this.waiting > 0) {
      const index = this.choose();
      if (index < 0) return;
      this.waiting -= 1;
      this.start(index);
    }
  }

  private start(index: number): void {
    const busy = this.open[index] ?? 0;
    const ending = this.upstreams[index]?.serve(this.now, busy);
    if (!ending) return;
    this.open[index] = busy + 1;
    const attempt = this.attempts;
    this.attempts += 1;
    this.react(this.detector.started(index, attempt, this.now));
    if (ending.noConnection) this.detector.connecting(index, attempt, this.now);
    this.watcher.started(index, this.now);
    this.agenda.add(ending.at, { kind: 'end', index, attempt, result: ending.result });
  }

  /** A trial that is due, else the less loaded of two upstreams at random, else any with room. */
  private choose(): number {
    const trial = this.detector.trialDue();
    if (trial >= 0) return trial;
    const count = this.upstreams.length;
    const a = this.chance.below(count);
    const b = this.chance.below(count);
    const better = this.roomAt(a) >= this.roomAt(b) ? a : b;
    if (this.roomAt(better) > 0) return better;
    for (let step = 1; step < count; step++) {
      const index = (better + step) % count;
      if (this.roomAt(index) > 0) return index;
    }
    return -1;
  }

  private roomAt(index: number): number {
    return this.detector.room(index, this.open[index] ?? 0);
  }
}
