/** Serving of shards as their owner, for any node that takes this one for the owner. */
import type { Directory } from '../core';
import { notRunOutcome, type Call, type ShardId } from '../model';
import type { Handler } from '../ports';

import { SHARD_TICK_MS, ShardTask, type ShardContext } from './shard';

/** Retry-after in milliseconds while the configuration may be stale. */
const STALE_CONFIG_RETRY_AFTER_MS = 500;
/** Retry-after in milliseconds for a service without upstreams. */
const NO_UPSTREAM_RETRY_AFTER_MS = 2000;

/** Holds the parts of the node that the task uses. */
export interface OwnerContext extends ShardContext {
  readonly directory: Directory;
  /** Returns whether this node's configuration is known to include all accepted changes. */
  isConfigFresh(): boolean;
}

/** Dispatches the calls of every shard that this node is asked to serve. */
export class OwnerTask {
  private readonly shards = new Map<ShardId, ShardTask>();

  private readonly ticker: NodeJS.Timeout;

  constructor(private readonly context: OwnerContext) {
    this.ticker = setInterval(() => this.shards.forEach((shard) => shard.tick()), SHARD_TICK_MS);
    this.ticker.unref();
  }

  /**
   * Serves a call through the shard that it names, whether or not this node owns it. Nodes may
   * briefly disagree on owners, and a second hop would cost more than two owners at a time.
   */
  readonly serve: Handler = async (call, body, signal) => {
    if (!this.context.isConfigFresh()) {
      return {
        kind: 'refused',
        outcome: notRunOutcome('config-stale', STALE_CONFIG_RETRY_AFTER_MS),
      };
    }
    const shard = this.shardFor(call);
    if (shard) return shard.serve(call, body, signal);
    return { kind: 'refused', outcome: notRunOutcome('no-upstream', NO_UPSTREAM_RETRY_AFTER_MS) };
  };

  /** Applies the directory's configuration; removed shards and upstreams get no new calls. */
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

  /**
   * Returns the task of the shard that a call names, or of its service's first shard; undefined
   * when the service has none.
   */
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
