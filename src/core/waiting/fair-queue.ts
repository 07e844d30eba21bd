import type { WorkspaceName } from '../../model';

import { Flow } from './flow';
import { Heap } from './heap';

/** Number of starts by other workspaces during which an idle workspace still counts as active. */
const ACTIVE_WINDOW_START_COUNT = 256;

/** What a fair queue needs to know of an item. */
export interface FairQueueTag<Id> {
  /** Identifies the item in the queue. */
  readonly id: Id;
  readonly workspace: WorkspaceName;
  /** Weight of the workspace relative to the others; above 0. */
  readonly weight: number;
}

/**
 * Start-time fair queueing between workspaces by weight, in order of addition within one unless
 * `add` is told otherwise. Virtual time advances by the start tag of each item taken.
 */
export class FairQueue<Item, Id> {
  private readonly flows = new Map<WorkspaceName, Flow<Item>>();

  private readonly heap = new Heap<Flow<Item>>((flow) => flow.tag);

  private readonly flowById = new Map<Id, Flow<Item>>();

  private virtualTime = 0;

  private starts = 0;

  private totalWeight = 0;

  constructor(private readonly tagOf: (item: Item) => FairQueueTag<Id>) {}

  get size(): number {
    return this.flowById.size;
  }

  has(id: Id): boolean {
    return this.flowById.has(id);
  }

  /** Returns the number of queued items of a workspace. */
  length(workspace: WorkspaceName): number {
    return this.flows.get(workspace)?.items.length ?? 0;
  }

  /**
   * Adds an item to its workspace's flow, before the first one for which `goesBefore` holds, or
   * else at the end.
   */
  add(item: Item, goesBefore: (queued: Item) => boolean = () => false): void {
    const { workspace, weight, id } = this.tagOf(item);
    const flow = this.flows.get(workspace) ?? this.openFlow(workspace, weight);
    if (flow.items.length === 0) {
      this.totalWeight += weight - flow.weight;
      flow.resume(weight, this.virtualTime, this.starts);
      this.heap.push(flow);
    }
    flow.add(item, goesBefore);
    this.flowById.set(id, flow);
  }

  /** Removes and returns the next item in order that `accepts` allows; others keep their order. */
  take(accepts: (item: Item) => boolean): Item | undefined {
    const passed: Flow<Item>[] = [];
    let taken: Item | undefined;
    while (!taken) {
      const flow = this.heap.pop();
      if (!flow) break;
      const index = flow.items.findIndex(accepts);
      if (index < 0) passed.push(flow);
      else taken = this.startItem(flow, index);
    }
    passed.forEach((flow) => this.heap.push(flow));
    return taken;
  }

  /** Like `take`, for the items of one workspace, whose turn it need not be. */
  takeFrom(workspace: WorkspaceName, accepts: (item: Item) => boolean): Item | undefined {
    const flow = this.flows.get(workspace);
    const index = flow?.items.findIndex(accepts) ?? -1;
    if (!flow || index < 0) return undefined;
    this.heap.remove(flow);
    return this.startItem(flow, index);
  }

  /** Returns the workspaces that have queued items. */
  queuedWorkspaces(): readonly WorkspaceName[] {
    return [...this.flows.values()]
      .filter(({ items }) => items.length > 0)
      .map(({ workspace }) => workspace);
  }

  /** Removes an item without a start; returns undefined if it is not queued. */
  remove(id: Id): Item | undefined {
    const flow = this.flowById.get(id);
    if (!flow) return undefined;
    const item = flow.remove((queued) => this.tagOf(queued).id === id);
    this.flowById.delete(id);
    if (flow.items.length === 0) this.heap.remove(flow);
    return item;
  }

  /** Returns the workspace's share by weight among the recently active ones, 0 to 1. */
  shareOf(workspace: WorkspaceName, weight: number): number {
    return weight / (this.flows.has(workspace) ? this.totalWeight : this.totalWeight + weight);
  }

  /**
   * Returns the number of starts by all workspaces until the item at this position of its flow is
   * expected to start, its own included; position 0 is first.
   */
  startsUntil(workspace: WorkspaceName, weight: number, position: number): number {
    const share = this.shareOf(workspace, weight);
    const measuredShare = this.flows.get(workspace)?.measuredShare(this.starts);
    if (measuredShare !== undefined) return (position + 1) / Math.max(share, measuredShare);
    return Math.min((position + 1) / share, this.size + 1);
  }

  /** Returns the newest item of the workspace with the most queued items for its weight. */
  newestOfLargestFlow(): Item | undefined {
    let mostHeld = 0;
    let newest: Item | undefined;
    this.flows.forEach(({ items, weight }) => {
      const held = items.length / weight;
      if (held <= mostHeld) return;
      mostHeld = held;
      newest = items.at(-1);
    });
    return newest;
  }

  /** Yields every queued item with its position in its workspace's flow; position 0 is first. */
  *positions(): Generator<readonly [item: Item, position: number]> {
    for (const { items } of this.flows.values())
      for (const [position, item] of items.entries()) yield [item, position];
  }

  /** Removes the flows of workspaces that are no longer active. */
  prune(): void {
    this.flows.forEach((flow, workspace) => {
      if (flow.items.length > 0 || flow.tag > this.virtualTime) return;
      if (flow.startsSinceLast(this.starts) < ACTIVE_WINDOW_START_COUNT) return;
      this.totalWeight -= flow.weight;
      this.flows.delete(workspace);
    });
    // Removes the rounding error that repeated addition and subtraction leaves.
    if (this.flows.size === 0) this.totalWeight = 0;
  }

  private openFlow(workspace: WorkspaceName, weight: number): Flow<Item> {
    const flow = new Flow<Item>(workspace, weight, this.virtualTime);
    this.totalWeight += weight;
    this.flows.set(workspace, flow);
    return flow;
  }

  /** Removes an item from a flow that was popped from the heap, and pushes the flow back. */
  private startItem(flow: Flow<Item>, index: number): Item | undefined {
    this.virtualTime = Math.max(this.virtualTime, flow.tag);
    this.starts += 1;
    const item = flow.start(index, this.starts);
    if (item) this.flowById.delete(this.tagOf(item).id);
    if (flow.items.length > 0) this.heap.push(flow);
    return item;
  }
}
