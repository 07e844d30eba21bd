/** Binds the health decisions of one shard to its attempts, its probes and its queue. */
import { ShardHealth, TRIAL_SHARE, type HealthEffect, type HealthEvent, type Shard } from '../core';
import type { AttemptResult, Millis, ServiceRules, Upstream, UpstreamId } from '../model';
import type { Clock, Telemetry } from '../ports';

import type { UpstreamProbes } from './upstream-probes';
import type { ShardQueue } from './shard-queue';

/** What health works with. */
export interface UpstreamHealthContext {
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly probes: UpstreamProbes;
}

/** Owns the standing of a shard's upstreams, and tells the queue their shares. */
export class UpstreamHealth {
  private readonly health: ShardHealth;

  private attempts = 0;

  private lastTick: number;

  constructor(
    private shard: Shard,
    private rules: ServiceRules,
    private readonly queue: ShardQueue,
    private readonly context: UpstreamHealthContext,
  ) {
    this.lastTick = context.clock.now();
    this.health = ShardHealth.start(shard.upstreams, rules, this.lastTick);
  }

  update(shard: Shard, rules: ServiceRules): void {
    if (rules !== this.rules) this.tell({ kind: 'rules-changed', rules });
    if (shard !== this.shard) this.tell({ kind: 'upstreams-changed', upstreams: shard.upstreams });
    this.shard = shard;
    this.rules = rules;
    this.share();
  }

  /** Looks at the age of what is under way, and at how late this very tick is. */
  tick(expectedEvery: Millis): void {
    const now = this.context.clock.now();
    const loopLag = Math.max(0, now - this.lastTick - expectedEvery);
    this.lastTick = now;
    this.tell({ kind: 'self-observed', loopLag });
    this.tell({ kind: 'tick' });
    this.share();
  }

  /** An upstream that the next read should go to, to learn whether it is well. */
  trialDue(): UpstreamId | undefined {
    return this.health.upstreamDueForTrial();
  }

  /** An attempt begins; the name is for its end. */
  started(upstream: UpstreamId): string {
    this.attempts += 1;
    const attempt = String(this.attempts);
    this.tell({ kind: 'attempt-started', upstream, attempt });
    return attempt;
  }

  /** The attempt has to open a connection, or has opened it. */
  connection(upstream: UpstreamId, attempt: string, state: 'connecting' | 'connected'): void {
    this.tell({ kind: `attempt-${state}`, upstream, attempt });
  }

  ended(upstream: UpstreamId, attempt: string, result: AttemptResult): void {
    this.tell({ kind: 'attempt-ended', upstream, attempt, result });
  }

  private tell(event: HealthEvent): void {
    const { effects } = this.health.apply(event, this.context.clock.now());
    effects.forEach((effect) => this.carryOut(effect));
    if (effects.some(({ kind }) => kind === 'standing-changed')) this.share();
  }

  private carryOut(effect: HealthEffect): void {
    const { telemetry } = this.context;
    const { upstream } = effect;
    switch (effect.kind) {
      case 'probe':
        void this.probe(effect);
        return;
      case 'standing-changed': {
        const { reason, from, to } = effect;
        telemetry.count('standing', { to: to.kind, reason });
        telemetry.event('standing', { upstream, from: from.kind, to: to.kind, reason });
        return;
      }
      case 'ejection-refused':
        telemetry.count('ejection-refused', { reason: effect.reason });
        telemetry.event('ejection-refused', { upstream, reason: effect.reason });
    }
  }

  private async probe({
    upstream: id,
    from,
    deadline,
  }: Extract<HealthEffect, { kind: 'probe' }>): Promise<void> {
    const upstream = this.find(id);
    if (!upstream) return;
    const { probes } = this.context;
    const result =
      from === 'self'
        ? await probes.fromHere(upstream, deadline)
        : await probes.fromElsewhere(id, deadline);
    // No word from the other node says nothing of the upstream.
    if (result) this.tell({ kind: 'probe-answered', upstream: id, from, result });
  }

  private find(id: UpstreamId): Upstream | undefined {
    return this.shard.upstreams.find((upstream) => upstream.id === id);
  }

  private share(): void {
    const shares = this.shard.upstreams.map(({ id, slots }) => {
      const share = this.health.share(id);
      // Upstreams on trial get their one attempt outside the queue.
      return { id, slots, share: share <= TRIAL_SHARE ? 0 : share };
    });
    this.queue.update(shares);
  }
}
