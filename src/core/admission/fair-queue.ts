import type { CallId, WorkspaceName } from '../../model';

import { Flow, type QueuedAttempt } from './flow';
import { Heap } from './heap';

/** Number of starts by other workspaces during which an idle workspace still counts as active. */
const ACTIVE_WINDOW_START_COUNT = 256;

/**
 * Start-time fair queueing between workspaces by weight, first come first served within one.
 * Virtual time advances by the start tag of each item taken.
 */
export class FairQueue {
  private readonly flows = new Map<WorkspaceName, Flow>();

  private readonly heap = new Heap<Flow>((flow) => flow.tag);

  private readonly flowByCallId = new Map<CallId, Flow>();

  private virtualTime = 0;

  private starts = 0;

  private totalWeight = 0;

  get size(): number {
    return this.flowByCallId.size;
  }

  has(callId: CallId): boolean {
    return this.flowByCallId.has(callId);
  }

  /** Returns the number of queued items of a workspace. */
  length(workspace: WorkspaceName): number {
    return this.flows.get(workspace)?.items.length ?? 0;
  }

  /** Adds an item at the end of its workspace's flow, or at its head. */
  add(item: QueuedAttempt, atHead: boolean): void {
    const { workspace, weight, callId } = item.offer;
    const flow = this.flows.get(workspace) ?? this.openFlow(workspace, weight);
    if (flow.items.length === 0) {
      this.totalWeight += weight - flow.weight;
      flow.resume(weight, this.virtualTime, this.starts);
      this.heap.push(flow);
    }
    flow.add(item, atHead);
    this.flowByCallId.set(callId, flow);
  }

  /** Removes and returns the next item in order that `accepts` allows; others keep their order. */
  take(accepts: (item: QueuedAttempt) => boolean): QueuedAttempt | undefined {
    const passed: Flow[] = [];
    let taken: QueuedAttempt | undefined;
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

  /** Removes an item without a start; returns undefined if it is not queued. */
  remove(callId: CallId): QueuedAttempt | undefined {
    const flow = this.flowByCallId.get(callId);
    if (!flow) return undefined;
    const item = flow.remove(callId);
    this.flowByCallId.delete(callId);
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
  newestOfLargestFlow(): QueuedAttempt | undefined {
    let mostHeld = 0;
    let newest: QueuedAttempt | undefined;
    this.flows.forEach(({ items, weight }) => {
      const held = items.length / weight;
      if (held <= mostHeld) return;
      mostHeld = held;
      newest = items.at(-1);
    });
    return newest;
  }

  /** Yields every queued item with its position in its workspace's flow; position 0 is first. */
  *positions(): Generator<readonly [item: QueuedAttempt, position: number]> {
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

  private openFlow(workspace: WorkspaceName, weight: number): Flow {
    const flow = new Flow(workspace, weight, this.virtualTime);
    this.totalWeight += weight;
    this.flows.set(workspace, flow);
    return flow;
  }

  /** Removes an item from a flow that was popped from the heap, and pushes the flow back. */
  private startItem(flow: Flow, index: number): QueuedAttempt | undefined {
    this.virtualTime = Math.max(this.virtualTime, flow.tag);
    this.starts += 1;
    const item = flow.start(index, this.starts);
    if (item) this.flowByCallId.delete(item.offer.callId);
    if (flow.items.length > 0) this.heap.push(flow);
    return item;
  }
}
