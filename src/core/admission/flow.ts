import type { CallId, Instant, WorkspaceName } from '../../model';

import type { Offer } from './types';

const START_SHARE_GAIN = 1 / 64;
/** A line that has waited through this many starts of all workspaces shows the pace it gets. */
const MIN_MEASURED_START_COUNT = 16;

/** An attempt that waits for a slot. */
export interface QueuedAttempt {
  readonly offer: Offer;
  /** Past it, a start would not end before the deadline. */
  readonly startBy: Instant;
}

/** One workspace's line in a fair queue, first come first served. */
export class Flow {
  private readonly queue: QueuedAttempt[] = [];

  private startShare = 0;

  private resumedAtStart = 0;

  private lastStart = 0;

  constructor(
    readonly workspace: WorkspaceName,
    private ownWeight: number,
    private startTag: number,
  ) {}

  get items(): readonly QueuedAttempt[] {
    return this.queue;
  }

  get weight(): number {
    return this.ownWeight;
  }

  /** The virtual time at which the first item's turn comes. */
  get tag(): number {
    return this.startTag;
  }

  /** An empty line is about to fill again, after `starts` of all workspaces. */
  resume(weight: number, virtualTime: number, starts: number): void {
    this.ownWeight = weight;
    this.startTag = Math.max(this.startTag, virtualTime);
    this.startShare = 0;
    this.resumedAtStart = starts;
    this.lastStart = starts;
  }

  add(item: QueuedAttempt, atHead: boolean): void {
    if (atHead) this.queue.unshift(item);
    else this.queue.push(item);
  }

  remove(callId: CallId): QueuedAttempt | undefined {
    const index = this.queue.findIndex(({ offer }) => offer.callId === callId);
    return index < 0 ? undefined : this.queue.splice(index, 1)[0];
  }

  /** Takes the item at this place; `starts` counts those of all workspaces, this one included. */
  start(index: number, starts: number): QueuedAttempt | undefined {
    this.startTag += 1 / this.ownWeight;
    this.startShare = this.decayedShare(starts) + START_SHARE_GAIN;
    this.lastStart = starts;
    return this.queue.splice(index, 1)[0];
  }

  /** Starts of all workspaces since this one's last, or since its line filled. */
  startsSinceLast(starts: number): number {
    return starts - this.lastStart;
  }

  /** The share of recent starts that came from this line; undefined until that tells its pace. */
  measuredShare(starts: number): number | undefined {
    const waited = starts - this.resumedAtStart;
    if (this.queue.length === 0 || waited < MIN_MEASURED_START_COUNT) return undefined;
    return this.decayedShare(starts) / (1 - (1 - START_SHARE_GAIN) ** waited);
  }

  private decayedShare(starts: number): number {
    return this.startShare * (1 - START_SHARE_GAIN) ** (starts - this.lastStart);
  }
}
