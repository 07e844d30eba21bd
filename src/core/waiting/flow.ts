import type { WorkspaceName } from '../../model';

/** Weight of the newest start, 0 to 1, in the moving average of a flow's share of starts. */
const START_SHARE_GAIN = 1 / 64;
/** Minimum number of starts by all workspaces before a flow's share is measured. */
const MIN_MEASURED_START_COUNT = 16;

/** The queue of one workspace within a fair queue, first come first served. */
export class Flow<Item> {
  private readonly queue: Item[] = [];

  private startShare = 0;

  private resumedAtStart = 0;

  private lastStart = 0;

  constructor(
    readonly workspace: WorkspaceName,
    private ownWeight: number,
    private startTag: number,
  ) {}

  get items(): readonly Item[] {
    return this.queue;
  }

  get weight(): number {
    return this.ownWeight;
  }

  /** Start tag: the virtual time at which the first item is due to start. */
  get tag(): number {
    return this.startTag;
  }

  /** Prepares an empty flow for new items; `starts` is the count of all workspaces so far. */
  resume(weight: number, virtualTime: number, starts: number): void {
    this.ownWeight = weight;
    this.startTag = Math.max(this.startTag, virtualTime);
    this.startShare = 0;
    this.resumedAtStart = starts;
    this.lastStart = starts;
  }

  /** Adds an item before the first one for which `goesBefore` holds, or else at the end. */
  add(item: Item, goesBefore: (queued: Item) => boolean): void {
    const index = this.queue.findIndex(goesBefore);
    this.queue.splice(index < 0 ? this.queue.length : index, 0, item);
  }

  /** Removes the first item for which `matches` holds. */
  remove(matches: (queued: Item) => boolean): Item | undefined {
    const index = this.queue.findIndex(matches);
    return index < 0 ? undefined : this.queue.splice(index, 1)[0];
  }

  /** Removes the item at this index; `starts` counts the starts of all workspaces, including it. */
  start(index: number, starts: number): Item | undefined {
    this.startTag += 1 / this.ownWeight;
    this.startShare = this.decayedShare(starts) + START_SHARE_GAIN;
    this.lastStart = starts;
    return this.queue.splice(index, 1)[0];
  }

  /** Returns the number of starts by all workspaces since this flow's last, or since it resumed. */
  startsSinceLast(starts: number): number {
    return starts - this.lastStart;
  }

  /**
   * Returns this flow's share of recent starts, 0 to 1; undefined with too few starts to measure.
   */
  measuredShare(starts: number): number | undefined {
    const waited = starts - this.resumedAtStart;
    if (this.queue.length === 0 || waited < MIN_MEASURED_START_COUNT) return undefined;
    return this.decayedShare(starts) / (1 - (1 - START_SHARE_GAIN) ** waited);
  }

  private decayedShare(starts: number): number {
    return this.startShare * (1 - START_SHARE_GAIN) ** (starts - this.lastStart);
  }
}
