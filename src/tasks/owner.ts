/** The owner's part of a node: the shards it dispatches, whoever believes that it owns them. */
import type { Directory } from '../core';
import { notRunOutcome, type Call, type ShardId } from '../model';
import type { Handler } from '../ports';

import { SHARD_TICK_MS, ShardTask, type ShardContext } from './shard';

const STALE_RETRY_AFTER_MS = 500;
const EMPTY_RETRY_AFTER_MS = 2000;

/** What the owner's part needs to know of the node. */
export interface OwnerContext extends ShardContext {
  readonly directory: Directory;
  /** Whether this node's configuration may be relied on to hold all that was accepted. */
  isConfigFresh(): boolean;
}

/** Dispatches every shard that this node is asked for. */
export class OwnerTask {
  private readonly shards = new Map<ShardId, ShardTask>();

  private readonly ticker: NodeJS.Timeout;

  constructor(private readonly context: OwnerContext) {
    this.ticker = setInterval(() => this.shards.forEach((shard) => shard.tick()), SHARD_TICK_MS);
    this.ticker.unref();
  }

  /**
   * Serves a call from the shard that it names, owned or not: views of ownership differ for
   * moments, and a second hop would cost more than two owners do.
   */
  readonly serve: Handler = async (call, body, signal) => {
    if (!this.context.isConfigFresh()) {
      return { kind: 'refused', outcome: notRunOutcome('config-stale', STALE_RETRY_AFTER_MS) };
    }
    const shard = this.shardFor(call);
    if (shard) return shard.serve(call, body, signal);
    return { kind: 'refused', outcome: notRunOutcome('no-upstream', EMPTY_RETRY_AFTER_MS) };
  };

  /** Takes the configuration now in the directory: what has left gets no new work from here on. */
  refresh(): void {
    const { directory } = this.context;
    this.shards.forEach((task, id) => {
      const shard = directory.shard(id);
      if (shard) {
        task.update(shard, directory.rulesOf(shard.service));
        return;
      }
      task.close();
      this.shards.delete(id);
    });
  }

  close(): void {
    clearInterval(this.ticker);
    this.shards.forEach((shard) => shard.close());
  }

  private shardFor(call: Call): ShardTask | undefined {
    const { directory } = this.context;
    const named = call.shard === undefined ? undefined : directory.shard(call.shard);
    const shard = named ?? directory.shardsOf(call.service)[0];
    if (!shard) return undefined;
    const known = this.shards.get(shard.id);
    if (known) return known;
    const task = new ShardTask(shard, directory.rulesOf(shard.service), this.context);
    this.shards.set(shard.id, task);
    return task;
  }
}
