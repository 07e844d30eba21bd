import type { CallId, WorkspaceName } from '../../model';

import { Flow, type QueuedAttempt } from './flow';
import { Heap } from './heap';

/** A workspace without calls counts as active for this many starts of the others. */
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

  /** Items of this workspace that wait. */
  length(workspace: WorkspaceName): number {
    return this.flows.get(workspace)?.items.length ?? 0;
  }

  /** Adds at the end of its workspace's line, or at its head. */
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

  /** The next item in turn that `accepts` takes; those passed over keep their places. */
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

  /** Removes an item that leaves without a start. */
  remove(callId: CallId): QueuedAttempt | undefined {
    const flow = this.flowByCallId.get(callId);
    if (!flow) return undefined;
    const item = flow.remove(callId);
    this.flowByCallId.delete(callId);
    if (flow.items.length === 0) this.heap.remove(flow);
    return item;
  }

  /** This workspace's share among those active of late, 0 to 1. */
  shareOf(workspace: WorkspaceName, weight: number): number {
    return weight / (this.flows.has(workspace) ? this.totalWeight : this.totalWeight + weight);
  }

  /** Starts of all workspaces that an item at this place of its line is expected to wait for. */
  startsUntil(workspace: WorkspaceName, weight: number, place: number): number {
    const share = this.shareOf(workspace, weight);
    const pace = this.flows.get(workspace)?.measuredShare(this.starts);
    if (pace !== undefined) return (place + 1) / Math.max(share, pace);
    return Math.min((place + 1) / share, this.size + 1);
  }

  /** The newest item of the workspace that holds most for its weight. */
  newestOfLargestFlow(): QueuedAttempt | undefined {
    let most = 0;
    let newest: QueuedAttempt | undefined;
    this.flows.forEach(({ items, weight }) => {
      const held = items.length / weight;
      if (held <= most) return;
      most = held;
      newest = items.at(-1);
    });
    return newest;
  }

  /** Every waiting item with its place in its workspace's line, 0 first. */
  *positions(): Generator<readonly [item: QueuedAttempt, place: number]> {
    for (const { items } of this.flows.values())
      for (const [place, item] of items.entries()) yield [item, place];
  }

  /** Forgets workspaces that have been without calls for long. */
  prune(): void {
    this.flows.forEach((flow, workspace) => {
      if (flow.items.length > 0 || flow.tag > this.virtualTime) return;
      if (flow.startsSinceLast(this.starts) < ACTIVE_WINDOW_START_COUNT) return;
      this.totalWeight -= flow.weight;
      this.flows.delete(workspace);
    });
    // Sums of fractions drift.
    if (this.flows.size === 0) this.totalWeight = 0;
  }

  private openFlow(workspace: WorkspaceName, weight: number): Flow {
    const flow = new Flow(workspace, weight, this.virtualTime);
    this.totalWeight += weight;
    this.flows.set(workspace, flow);
    return flow;
  }

  /** Takes an item of a flow that was popped from the heap. */
  private startItem(flow: Flow, index: number): QueuedAttempt | undefined {
    this.virtualTime = Math.max(this.virtualTime, flow.tag);
    this.starts += 1;
    const item = flow.start(index, this.starts);
    if (item) this.flowByCallId.delete(item.offer.callId);
    if (flow.items.length > 0) this.heap.push(flow);
    return item;
  }
}
