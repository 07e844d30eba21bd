import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

import {
  notRunOutcome,
  type CallId,
  type Instant,
  type Millis,
  type NotRunReason,
  type UpstreamId,
} from '../../model';

import { randomUnit } from './random-unit';
import { FairQueue } from '../waiting';
import { ServiceTime } from './service-time';
import { Slots } from './slots';
import type { AdmissionEffect, AdmissionEvent, Offer, QueuedAttempt } from './types';

/** Minimum time in milliseconds between checks of the queue outside of ticks. */
const SWEEP_INTERVAL_MS: Millis = 10;
/** Ratio of the expected wait: an attempt is queued if it would start in time after that wait. */
const SAFE_WAIT_RATIO = 1.5;
/** Ratio of the queue length to its limit up to which workspaces over their share may queue. */
const OVER_SHARE_QUEUE_RATIO = 0.75;
/** Ratio of the expected wait: a queued attempt is refused if even that wait makes it late. */
const CERTAIN_WAIT_RATIO = 0.5;
/** Minimum retry-after time in milliseconds, before its random spread. */
const MIN_RETRY_AFTER_MS: Millis = 20;
/** Maximum retry-after time in milliseconds, including its random spread. */
const MAX_RETRY_AFTER_MS: Millis = 30_000;
/** Retry-after time in milliseconds while no upstream is open to new work. */
const NO_UPSTREAM_RETRY_AFTER_MS: Millis = 1000;
/** Ratio of the largest random extension of a retry-after time to that time. */
const RETRY_AFTER_SPREAD_RATIO = 0.5;

/** Creates an empty queue of attempts, which their calls identify. */
export const createAttemptQueue = (): FairQueue<QueuedAttempt, CallId> =>
  new FairQueue(({ offer: { callId: id, workspace, weight } }) => ({ id, workspace, weight }));

export interface AdmissionOptions {
  /** Maximum number of queued attempts for each slot of the listed upstreams. */
  readonly queuePerSlot: number;
  readonly rng: RandomGenerator;
}

/**
 * Controls admission to one shard's slots: starts attempts for which a slot is free, queues those
 * that can start in time, and refuses the rest at once. Each offered attempt gets exactly one
 * `start` or `refuse`, unless it is withdrawn earlier.
 */
export class Admission {
  private readonly slots: Slots;

  private readonly queue = createAttemptQueue();

  private readonly serviceTime = new ServiceTime();

  private queuePerSlot: number;

  private nextSweepAt: Instant = 0;

  constructor(private readonly options: AdmissionOptions) {
    this.queuePerSlot = options.queuePerSlot;
    this.slots = new Slots(options.rng);
  }

  /** Number of queued attempts. */
  get queued(): number {
    return this.queue.size;
  }

  /** Number of attempts started and not yet released. */
  get held(): number {
    return this.slots.held;
  }

  inFlight(upstream: UpstreamId): number {
    return this.slots.inFlight(upstream);
  }

  apply(event: AdmissionEvent, now: Instant): readonly AdmissionEffect[] {
    const effects: AdmissionEffect[] = [];
    this.handleEvent(event, now, effects);
    if (this.queue.size > 0 && now >= this.nextSweepAt) this.refuseLate(now, effects);
    return effects;
  }

  private handleEvent(event: AdmissionEvent, now: Instant, effects: AdmissionEffect[]): void {
    switch (event.kind) {
      case 'offered':
        this.offer(event, now, effects);
        return;
      case 'released':
        if (!this.slots.release(event.upstream, event.latency)) return;
        this.serviceTime.recordRelease(event.latency, now);
        this.dispatch(now, effects);
        return;
      case 'withdrawn':
        this.queue.remove(event.callId);
        return;
      case 'upstreams-changed':
        this.slots.update(event.upstreams);
        this.dispatch(now, effects);
        this.refuseLate(now, effects);
        return;
      case 'queue-limit-changed':
        this.queuePerSlot = event.queuePerSlot;
        return;
      case 'tick':
        this.dispatch(now, effects);
        this.refuseLate(now, effects);
    }
  }

  private offer(offer: Offer, now: Instant, effects: AdmissionEffect[]): void {
    if (offer.deadline <= now) {
      this.refuse(offer, 'deadline-passed', 0, effects);
      return;
    }
    if (!this.slots.hasOpenUpstream(offer.exclude)) {
      this.refuse(offer, 'no-upstream', NO_UPSTREAM_RETRY_AFTER_MS, effects);
      return;
    }
    const upstream = this.slots.pick(offer.exclude);
    if (upstream === undefined) this.enqueue(offer, now, effects);
    else this.start(offer, upstream, now, effects);
  }

  /** Queues an attempt, or refuses it if it would start too late or the queue is full. */
  private enqueue(offer: Offer, now: Instant, effects: AdmissionEffect[]): void {
    const isRepeat = offer.exclude.length > 0;
    const position = isRepeat ? 0 : this.queue.length(offer.workspace);
    const wait = this.expectedWait(offer, position, now);
    if (offer.mayWait === false) {
      this.refuse(offer, 'queue-full', wait, effects);
      return;
    }
    const startBy = offer.deadline - this.serviceTime.cautiousLatency;
    const lateBy = now + SAFE_WAIT_RATIO * wait - startBy;
    if (lateBy > 0) {
      this.refuse(offer, 'wait-exceeds-deadline', lateBy, effects);
      return;
    }
    if (this.makeRoom(offer, wait, effects)) this.queue.add({ offer, startBy }, () => isRepeat);
  }

  /**
   * Returns whether the attempt may be queued, and otherwise refuses it. If the queue is full, an
   * attempt within its workspace's share displaces the newest one of the workspace with the most
   * queued attempts for its weight.
   */
  private makeRoom(offer: Offer, wait: Millis, effects: AdmissionEffect[]): boolean {
    const limit = this.queuePerSlot * this.slots.listedSlots;
    const { workspace, weight } = offer;
    const ownCount = this.queue.length(workspace);
    const isOverShare = ownCount + 1 > limit * this.queue.shareOf(workspace, weight);
    if (this.queue.size < (isOverShare ? OVER_SHARE_QUEUE_RATIO * limit : limit)) return true;
    const displaced = isOverShare ? undefined : this.queue.newestOfLargestFlow();
    if (displaced) {
      this.drop(displaced, 'workspace-over-share', wait, effects);
      return true;
    }
    const isAlone = ownCount === this.queue.size;
    this.refuse(offer, isAlone ? 'queue-full' : 'workspace-over-share', wait, effects);
    return false;
  }

  /**
   * Returns the expected milliseconds until the attempt at this queue position starts; 0 is first.
   */
  private expectedWait({ workspace, weight }: Offer, position: number, now: Instant): Millis {
    const starts = this.queue.startsUntil(workspace, weight, position);
    return starts * this.serviceTime.releaseInterval(this.slots.capacity, now);
  }

  private start(
    offer: Offer,
    upstream: UpstreamId,
    now: Instant,
    effects: AdmissionEffect[],
  ): void {
    this.slots.take(upstream);
    this.serviceTime.setHeld(this.slots.held, now);
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
      const lateBy = now - item.startBy;
      if (lateBy > 0) this.refuse(item.offer, 'wait-exceeds-deadline', lateBy, effects);
      else this.start(item.offer, upstream, now, effects);
    }
  }

  /** Refuses queued attempts that can no longer start in time, before their deadlines pass. */
  private refuseLate(now: Instant, effects: AdmissionEffect[]): void {
    this.nextSweepAt = now + SWEEP_INTERVAL_MS;
    // Starts from the end of each queue, as a removed attempt shortens only the waits behind it.
    [...this.queue.positions()].reverse().forEach(([item, position]) => {
      const { offer, startBy } = item;
      const lateBy = now + CERTAIN_WAIT_RATIO * this.expectedWait(offer, position, now) - startBy;
      if (!this.slots.hasOpenUpstream(offer.exclude)) {
        this.drop(item, 'no-upstream', NO_UPSTREAM_RETRY_AFTER_MS, effects);
      } else if (lateBy > 0) this.drop(item, 'wait-exceeds-deadline', lateBy, effects);
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

  /** Adds a random spread to the retry-after time, so that refused callers don't retry together. */
  private refuse(
    { callId }: Offer,
    reason: NotRunReason,
    wait: Millis,
    effects: AdmissionEffect[],
  ): void {
    const spread = 1 + RETRY_AFTER_SPREAD_RATIO * randomUnit(this.options.rng);
    const retryAfter = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, wait) * spread);
    effects.push({
      kind: 'refuse',
      callId,
      outcome: notRunOutcome(reason, Math.round(retryAfter)),
    });
  }
}
