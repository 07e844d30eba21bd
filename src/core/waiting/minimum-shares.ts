import type { Instant, Millis, WorkspaceName } from '../../model';

/**
 * Ratio of the mean share of started requests that each priority and workspace gets at least; a
 * quarter is promised, and the rest allows for hosts that see different means.
 */
export const MIN_SHARE_RATIO = 0.3;
/** Number of owed starts from which a group's next request goes first. */
const OWED_START_COUNT = 1;
/**
 * Bounds of the number of owed starts: what a group had before an overload is soon forgotten, and
 * one that could not start for long does not displace all others at once.
 */
const MIN_OWED_COUNT = -1;
const MAX_OWED_COUNT = 4;
/**
 * Mean share assumed at least for requests that are held back for other hosts: a host that holds
 * back all its requests would otherwise reckon with ever smaller shares of its own.
 */
const MIN_HELD_MEAN_SHARE = 0.5;
/** Time constant in milliseconds of the exponential decay of the counts behind the mean share. */
const MEAN_DECAY_TIME_MS: Millis = 2000;
/** Time in milliseconds without a request after which a group is forgotten. */
const GROUP_IDLE_TIME_MS: Millis = 10_000;
/** Number of groups below which idle ones are not looked for. */
const MIN_PRUNED_GROUP_COUNT = 64;

const ifDue = (owed: number): number => (owed >= OWED_START_COUNT ? owed : 0);

interface Group {
  /** Number of starts by which the group is behind its minimum share; negative if it is ahead. */
  owed: number;
  lastAt: Instant;
}

/** Counts the starts that are owed to each group of requests. */
class OwedStarts<Key> {
  private readonly groups = new Map<Key, Group>();

  private pruneAtSize = MIN_PRUNED_GROUP_COUNT;

  get size(): number {
    return this.groups.size;
  }

  owedTo(key: Key): number {
    return this.groups.get(key)?.owed ?? 0;
  }

  recordArrival(key: Key, entitlement: number, now: Instant): void {
    if (this.groups.size >= this.pruneAtSize) this.prune(now);
    const owed = Math.min(MAX_OWED_COUNT, this.owedTo(key) + entitlement);
    this.groups.set(key, { owed, lastAt: now });
  }

  recordStart(key: Key): void {
    const group = this.groups.get(key);
    if (group) group.owed = Math.max(MIN_OWED_COUNT, group.owed - 1);
  }

  private prune(now: Instant): void {
    this.groups.forEach(({ lastAt }, key) => {
      if (now - lastAt >= GROUP_IDLE_TIME_MS) this.groups.delete(key);
    });
    this.pruneAtSize = Math.max(MIN_PRUNED_GROUP_COUNT, 2 * this.groups.size);
  }
}

/** The groups that a request belongs to. */
export interface ShareGroups {
  /** Priority of the request; 0 is the most urgent. */
  readonly priority: number;
  /** The workspace in whose name the request runs; absent if it has none. */
  readonly workspace?: WorkspaceName | undefined;
}

/**
 * Tells which priorities and workspaces have been served less often, relative to what they ask
 * for, than their minimum share. Load pattern: more urgent requests than slots for many seconds, or
 * one workspace that sends a multiple of what the others do; neither may starve anyone. Each
 * arrival earns its groups a part of a start, and each start uses up one.
 */
export class MinimumShares {
  private readonly priorities = new OwedStarts<number>();

  private readonly workspaces = new OwedStarts<WorkspaceName>();

  private arrived = 0;

  private started = 0;

  private countedAt: Instant = 0;

  /**
   * Records a request that asks for a start; `isHeldBack` tells whether it is held back for the
   * sake of other hosts.
   */
  recordArrival({ priority, workspace }: ShareGroups, now: Instant, isHeldBack = false): void {
    this.decayCounts(now);
    this.arrived += 1;
    const entitlement = MIN_SHARE_RATIO * this.meanShare(isHeldBack);
    this.priorities.recordArrival(priority, entitlement, now);
    if (workspace !== undefined) this.workspaces.recordArrival(workspace, entitlement, now);
  }

  recordStart({ priority, workspace }: ShareGroups, now: Instant): void {
    this.decayCounts(now);
    this.started += 1;
    this.priorities.recordStart(priority);
    if (workspace !== undefined) this.workspaces.recordStart(workspace);
  }

  /** Returns the recent share of requests that were started, 0 to 1. */
  meanShare(isHeldBack = false): number {
    const measured = this.arrived > 0 ? Math.min(1, this.started / this.arrived) : 1;
    return isHeldBack ? Math.max(MIN_HELD_MEAN_SHARE, measured) : measured;
  }

  /** Whether minimum shares hold: only where requests have workspaces. */
  get isInForce(): boolean {
    return this.workspaces.size > 0;
  }

  /**
   * Returns how many starts a priority is owed; 0 if it is within its minimum share. One that is
   * held back for the sake of other hosts has a minimum share without workspaces too.
   */
  owedToPriority(priority: number, isHeldBack = false): number {
    return this.isInForce || isHeldBack ? ifDue(this.priorities.owedTo(priority)) : 0;
  }

  /** Returns how many starts a workspace is owed; 0 if it is within its minimum share. */
  owedToWorkspace(workspace: WorkspaceName): number {
    return ifDue(this.workspaces.owedTo(workspace));
  }

  private decayCounts(now: Instant): void {
    const factor = Math.exp((this.countedAt - now) / MEAN_DECAY_TIME_MS);
    this.arrived *= factor;
    this.started *= factor;
    this.countedAt = now;
  }
}
