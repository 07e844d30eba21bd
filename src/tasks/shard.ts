/** The owner's end of one shard: its queue, its attempts and its upstreams' health. */
import {
  afterFailure,
  finalOutcome,
  hashOf,
  HedgeDelay,
  RetryBudget,
  type FailedAttempt,
  type Shard,
} from '../core';
import { notRunOutcome, type ServiceRules, type WorkspaceName } from '../model';
import type { Clock, Handler, Reply, ShardLoad } from '../ports';

import { Attempts, type Passage, type Tried } from './attempts';
import { readUpTo } from './body';
import type { UpstreamProbes } from './upstream-probes';
import { ShardQueue } from './shard-queue';
import { UpstreamHealth } from './upstream-health';
import { UpstreamPool, type PoolContext } from './upstream-pool';

/** Request bodies up to this many bytes are kept for another attempt. */
const REPLAYABLE_BYTES = 1024 * 1024;

/** How often a shard is to be ticked. */
export const SHARD_TICK_MS = 50;

/** What a shard works with. */
export interface ShardContext extends PoolContext {
  readonly clock: Clock;
  readonly probes: UpstreamProbes;
  /** A workspace's share in a contended queue. */
  weightOf(workspace: WorkspaceName): number;
}

/** Dispatches one shard's calls. */
export class ShardTask {
  private readonly queue: ShardQueue;

  private readonly health: UpstreamHealth;

  private readonly pool: UpstreamPool;

  private readonly attempts: Attempts;

  private budget: RetryBudget;

  constructor(
    private shard: Shard,
    private rules: ServiceRules,
    private readonly context: ShardContext,
  ) {
    const hedge = new HedgeDelay();
    this.queue = new ShardQueue(context.clock, rules.queuePerSlot, hashOf(shard.id));
    this.health = new UpstreamHealth(shard, rules, this.queue, context);
    this.pool = new UpstreamPool(this.queue, this.health, hedge, context);
    this.budget = new RetryBudget(rules.retryRatio);
    this.attempts = new Attempts({
      queue: this.queue,
      pool: this.pool,
      hedge,
      telemetry: context.telemetry,
      budget: () => this.budget,
    });
    this.update(shard, rules);
  }

  /** Takes the shard's present upstreams and rules; one that has left gets no new work. */
  update(shard: Shard, rules: ServiceRules): void {
    if (rules.retryRatio !== this.rules.retryRatio) this.budget = new RetryBudget(rules.retryRatio);
    this.shard = shard;
    this.rules = rules;
    this.queue.limit(rules.queuePerSlot);
    this.pool.update(shard);
    this.health.update(shard, rules);
  }

  /** Drops the shard; calls under way go on. */
  close(): void {
    this.queue.update([]);
    this.queue.tick();
  }

  /** Drops what can no longer start in time, and looks at what is under way. */
  tick(): void {
    this.health.tick(SHARD_TICK_MS);
    this.queue.tick();
  }

  get load(): ShardLoad {
    return {
      slots: this.shard.upstreams.reduce((sum, { slots }) => sum + slots, 0),
      inFlight: this.queue.inFlight,
      queued: this.queue.queued,
    };
  }

  readonly serve: Handler = async (call, body, signal) => {
    const payload = await readUpTo(body, REPLAYABLE_BYTES).catch(() => undefined);
    const weight = this.context.weightOf(call.workspace);
    const reply = payload
      ? await this.pass({ call, weight, payload, signal, tried: [] })
      : ({ kind: 'refused', outcome: notRunOutcome('cancelled') } as const);
    if (reply.kind === 'refused') {
      const { kind, reason } = reply.outcome;
      this.context.telemetry.count('shard-refused', { outcome: kind, reason });
    }
    return { ...reply, load: this.load };
  };

  /** Attempts the call until it has an answer, may not be repeated, or the budget is spent. */
  private async pass(passage: Passage): Promise<Reply> {
    const trial = await this.tryTrial(passage);
    if (trial?.kind === 'reply') return trial.reply;
    let last: FailedAttempt | undefined;
    for (;;) {
      const grant = await this.attempts.admit(passage, passage.signal);
      if (grant.kind === 'refused') {
        return { kind: 'refused', outcome: last ? finalOutcome(last) : grant.outcome };
      }
      // Only calls that start earn retries; refused ones must not feed a storm.
      if (!last) this.budget.earn();
      const tried = await this.attempts.tryHedged(passage, grant.upstream);
      if (tried.kind === 'reply') return tried.reply;
      const next = afterFailure(passage.call.idempotent, tried.failed, () =>
        this.mayRetry(passage),
      );
      if (next.kind === 'give-up') {
        return tried.answer ?? { kind: 'refused', outcome: next.outcome };
      }
      this.context.telemetry.count('retry', { reason: next.reason });
      last = tried.failed;
    }
  }

  private mayRetry({ payload, tried }: Passage): boolean {
    return payload.kind === 'whole' && this.pool.size > tried.length && this.budget.take();
  }

  /** Sends a read to an upstream on trial, if one is due; its failure costs the caller no token. */
  private async tryTrial(passage: Passage): Promise<Tried | undefined> {
    const { call, payload } = passage;
    if (!call.idempotent || payload.kind === 'stream') return undefined;
    const upstream = this.health.trialDue();
    if (upstream === undefined) return undefined;
    this.context.telemetry.count('trial');
    return this.attempts.tryTrial(passage, upstream);
  }
}
