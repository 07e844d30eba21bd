import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

import {
  notRunOutcome,
  type Instant,
  type Millis,
  type NotRunReason,
  type UpstreamId,
} from '../../model';

import { randomUnit } from './random-unit';
import { FairQueue } from './fair-queue';
import type { QueuedAttempt } from './flow';
import { ServiceTime } from './service-time';
import { Slots } from './slots';
import type { AdmissionEffect, AdmissionEvent, Offer } from './types';

const SWEEP_INTERVAL: Millis = 10;
/** An attempt is queued when it would be in time even at this multiple of the expected wait. */
const SAFE_PART = 1.5;
/** Part of the queue that workspaces over their share may fill. */
const OVER_SHARE_PART = 0.75;
/** A queued attempt is given up when it would be late even at this part of the expected wait. */
const CERTAIN_PART = 0.5;
const MIN_RETRY_AFTER: Millis = 20;
const MAX_RETRY_AFTER: Millis = 30_000;
const NO_UPSTREAM_RETRY_AFTER: Millis = 1000;
const RETRY_AFTER_SPREAD = 0.5;

export interface AdmissionOptions {
  /** Attempts that may wait, for each slot of the listed upstreams. */
  readonly queuePerSlot: number;
  readonly rng: RandomGenerator;
}

/**
 * The queue before one shard's slots: starts what a slot is free for, holds what can start in
 * time, refuses the rest at once. Each offered attempt ends in exactly one `start` or `refuse`,
 * unless it is withdrawn before.
 */
export class Admission {
  private readonly slots: Slots;

  private readonly queue = new FairQueue();

  private readonly serviceTime = new ServiceTime();

  private queuePerSlot: number;

  private nextSweep: Instant = 0;

  constructor(private readonly options: AdmissionOptions) {
    this.queuePerSlot = options.queuePerSlot;
    this.slots = new Slots(options.rng);
  }

  /** Attempts that wait. */
  get queued(): number {
    return this.queue.size;
  }

  /** Attempts started and not released. */
  get held(): number {
    return this.slots.held;
  }

  inFlight(upstream: UpstreamId): number {
    return this.slots.inFlight(upstream);
  }

  apply(event: AdmissionEvent, now: Instant): readonly AdmissionEffect[] {
    const effects: AdmissionEffect[] = [];
    this.step(event, now, effects);
    if (this.queue.size > 0 && now >= this.nextSweep) this.sweep(now, effects);
    return effects;
  }

  private step(event: AdmissionEvent, now: Instant, effects: AdmissionEffect[]): void {
    switch (event.kind) {
      case 'offered':
        this.offer(event, now, effects);
        return;
      case 'released':
        if (!this.slots.release(event.upstream, event.latency)) return;
        this.serviceTime.released(event.latency, now);
        this.dispatch(now, effects);
        return;
      case 'withdrawn':
        this.queue.remove(event.callId);
        return;
      case 'upstreams-changed':
        this.slots.update(event.upstreams);
        this.dispatch(now, effects);
        this.sweep(now, effects);
        return;
      case 'queue-limit-changed':
        this.queuePerSlot = event.queuePerSlot;
        return;
      case 'tick':
        this.dispatch(now, effects);
        this.sweep(now, effects);
    }
  }

  private offer(offer: Offer, now: Instant, effects: AdmissionEffect[]): void {
    if (offer.deadline <= now) {
      this.refuse(offer, 'deadline-passed', 0, effects);
      return;
    }
    if (!this.slots.serves(offer.exclude)) {
      this.refuse(offer, 'no-upstream', NO_UPSTREAM_RETRY_AFTER, effects);
      return;
    }
    const upstream = this.slots.pick(offer.exclude);
    if (upstream === undefined) this.enqueue(offer, now, effects);
    else this.start(offer, upstream, now, effects);
  }

  /** Has an attempt wait for a slot, unless it would wait too long or take another's room. */
  private enqueue(offer: Offer, now: Instant, effects: AdmissionEffect[]): void {
    const isRepeat = offer.exclude.length > 0;
    const place = isRepeat ? 0 : this.queue.length(offer.workspace);
    const wait = this.waitAt(offer, place, now);
    if (offer.mayWait === false) {
      this.refuse(offer, 'queue-full', wait, effects);
      return;
    }
    const startBy = offer.deadline - this.serviceTime.cautious;
    const late = now + SAFE_PART * wait - startBy;
    if (late > 0) {
      this.refuse(offer, 'wait-exceeds-deadline', late, effects);
      return;
    }
    if (this.makeRoom(offer, wait, effects)) this.queue.add({ offer, startBy }, isRepeat);
  }

  /** Whether there is room; a workspace over its share gives way to one that is not. */
  private makeRoom(offer: Offer, wait: Millis, effects: AdmissionEffect[]): boolean {
    const limit = this.queuePerSlot * this.slots.listed;
    const { workspace, weight } = offer;
    const own = this.queue.length(workspace);
    const isOver = own + 1 > limit * this.queue.shareOf(workspace, weight);
    if (this.queue.size < (isOver ? OVER_SHARE_PART * limit : limit)) return true;
    const over = isOver ? undefined : this.queue.mostOver();
    if (over) {
      this.drop(over, 'workspace-over-share', wait, effects);
      return true;
    }
    const isAlone = own === this.queue.size;
    this.refuse(offer, isAlone ? 'queue-full' : 'workspace-over-share', wait, effects);
    return false;
  }

  /** Expected time until the item at this place of its workspace's line starts. */
  private waitAt({ workspace, weight }: Offer, place: number, now: Instant): Millis {
    const starts = this.queue.startsUntil(workspace, weight, place);
    return starts * this.serviceTime.interval(this.slots.capacity, now);
  }

  private start(
    offer: Offer,
    upstream: UpstreamId,
    now: Instant,
    effects: AdmissionEffect[],
  ): void {
    this.slots.take(upstream);
    this.serviceTime.holding(this.slots.held, now);
    effects.push({ kind: 'start', callId: offer.callId, upstream });
  }

  /** Fills free slots from the queue. */
  private dispatch(now: Instant, effects: AdmissionEffect[]): void {
    while (this.queue.size > 0 && this.slots.hasFree) {
      let upstream: UpstreamId | undefined;
      const item = this.queue.take(({ offer }) => {
        upstream = this.slots.pick(offer.exclude);
        return upstream !== undefined;
      });
      if (!item || upstream === undefined) return;
      const late = now - item.startBy;
      if (late > 0) this.refuse(item.offer, 'wait-exceeds-deadline', late, effects);
      else this.start(item.offer, upstream, now, effects);
    }
  }

  /** Refuses what has become too late to start, before its deadline comes. */
  private sweep(now: Instant, effects: AdmissionEffect[]): void {
    this.nextSweep = now + SWEEP_INTERVAL;
    // Later items first: each that goes shortens no wait of those before it.
    [...this.queue.places()].reverse().forEach(([item, place]) => {
      const { offer, startBy } = item;
      const late = now + CERTAIN_PART * this.waitAt(offer, place, now) - startBy;
      if (!this.slots.serves(offer.exclude)) {
        this.drop(item, 'no-upstream', NO_UPSTREAM_RETRY_AFTER, effects);
      } else if (late > 0) this.drop(item, 'wait-exceeds-deadline', late, effects);
    });
    this.queue.prune();
  }

  private drop(
    item: QueuedAttempt,
    reason: NotRunReason,
    wait: Millis,
    effects: AdmissionEffect[],
  ): void {
    this.queue.remove(item.offer.callId);
    this.refuse(item.offer, reason, wait, effects);
  }

  /** The advice to come back is spread, so that those refused together don't return together. */
  private refuse(
    { callId }: Offer,
    reason: NotRunReason,
    wait: Millis,
    effects: AdmissionEffect[],
  ): void {
    const spread = 1 + RETRY_AFTER_SPREAD * randomUnit(this.options.rng);
    const retryAfter = Math.min(MAX_RETRY_AFTER, Math.max(MIN_RETRY_AFTER, wait) * spread);
    effects.push({
      kind: 'refuse',
      callId,
      outcome: notRunOutcome(reason, Math.round(retryAfter)),
    });
  }
}
