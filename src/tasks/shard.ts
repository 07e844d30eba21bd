/** One shard at its owner: its queue, its attempts and the health of its upstreams. */
import {
  decideRetry,
  finalOutcome,
  hashOf,
  HedgeDelay,
  mayRetry,
  RetryBudget,
  type FailedAttempt,
  type Shard,
} from '../core';
import { notRunOutcome, type ServiceRules, type WorkspaceName } from '../model';
import type { Clock, Handler, Reply, ShardLoad } from '../ports';

import { AttemptRunner, type ShardCall, type AttemptOutcome } from './attempts';
import { readUpTo } from './body';
import type { UpstreamProbes } from './upstream-probes';
import { ShardQueue } from './shard-queue';
import { UpstreamHealth } from './upstream-health';
import { UpstreamPool, type UpstreamPoolContext } from './upstream-pool';

/** Size in bytes up to which a request body is kept for another attempt. */
const MAX_REPLAYABLE_BYTES = 1024 * 1024;

/** Time in milliseconds between two ticks of a shard. */
export const SHARD_TICK_MS = 50;

/** Holds the parts of the node that a shard uses. */
export interface ShardContext extends UpstreamPoolContext {
  readonly clock: Clock;
  readonly probes: UpstreamProbes;
  /** Returns a workspace's weight in a contended queue. */
  weightOf(workspace: WorkspaceName): number;
}

/** Dispatches the calls of one shard to its upstreams. */
export class ShardTask {
  private readonly queue: ShardQueue;

  private readonly health: UpstreamHealth;

  private readonly pool: UpstreamPool;

  private readonly attempts: AttemptRunner;

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
    this.attempts = new AttemptRunner({
      queue: this.queue,
      pool: this.pool,
      hedge,
      telemetry: context.telemetry,
      budget: () => this.budget,
    });
    this.update(shard, rules);
  }

  /** Replaces the shard's upstreams and rules; removed upstreams get no new calls. */
  update(shard: Shard, rules: ServiceRules): void {
    if (rules.retryRatio !== this.rules.retryRatio) this.budget = new RetryBudget(rules.retryRatio);
    this.shard = shard;
    this.rules = rules;
    this.queue.setQueueLimit(rules.queuePerSlot);
    this.pool.update(shard);
    this.health.update(shard, rules);
  }

  /** Removes the shard's upstreams, so that no more calls start; calls in flight continue. */
  close(): void {
    this.queue.update([]);
    this.queue.tick();
  }

  /** Checks the attempts in flight, and refuses waiting calls that can't start in time. */
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

  /** Serves a call; every reply carries the shard's load. */
  readonly serve: Handler = async (call, body, signal) => {
    const payload = await readUpTo(body, MAX_REPLAYABLE_BYTES).catch(() => undefined);
    const weight = this.context.weightOf(call.workspace);
    const reply = payload
      ? await this.attemptUntilDone({ call, weight, payload, signal, triedUpstreams: [] })
      : ({ kind: 'refused', outcome: notRunOutcome('cancelled') } as const);
    if (reply.kind === 'refused') {
      const { kind, reason } = reply.outcome;
      this.context.telemetry.count('shard-refused', { outcome: kind, reason });
    }
    return { ...reply, load: this.load };
  };

  /** Attempts a call until it is answered, must not be repeated, or the retry budget is spent. */
  private async attemptUntilDone(shardCall: ShardCall): Promise<Reply> {
    const trial = await this.tryTrial(shardCall);
    if (trial?.kind === 'reply') return trial.reply;
    if (trial && !mayRetry(shardCall.call.idempotent, trial.failed)) {
      return trial.answer ?? { kind: 'refused', outcome: finalOutcome(trial.failed) };
    }
    let last: FailedAttempt | undefined;
    for (;;) {
      const grant = await this.attempts.admit(shardCall, shardCall.signal);
      if (grant.kind === 'refused') {
        return { kind: 'refused', outcome: last ? finalOutcome(last) : grant.outcome };
      }
      // Only calls that start earn retries, so that refused calls can't amplify an overload.
      if (!last) this.budget.earn();
      const outcome = await this.attempts.tryHedged(shardCall, grant.upstream);
      if (outcome.kind === 'reply') return outcome.reply;
      const next = decideRetry(shardCall.call.idempotent, outcome.failed, () =>
        this.hasRetryLeft(shardCall),
      );
      if (next.kind === 'give-up') {
        return outcome.answer ?? { kind: 'refused', outcome: next.outcome };
      }
      this.context.telemetry.count('retry', { reason: next.reason });
      last = outcome.failed;
    }
  }

  /** Returns whether another upstream may be tried; takes a token of the budget if so. */
  private hasRetryLeft({ payload, triedUpstreams }: ShardCall): boolean {
    return payload.kind === 'whole' && this.pool.size > triedUpstreams.length && this.budget.take();
  }

  /**
   * Sends a call to an upstream on trial, if a trial is due. Its failure takes nothing from the
   * retry budget.
   */
  private async tryTrial(shardCall: ShardCall): Promise<AttemptOutcome | undefined> {
    const { call, payload } = shardCall;
    if (payload.kind === 'stream') return undefined;
    const upstream = this.health.trialDue(call.idempotent);
    if (upstream === undefined) return undefined;
    this.context.telemetry.count('trial', { idempotent: String(call.idempotent) });
    return this.attempts.tryTrial(shardCall, upstream);
  }
}
