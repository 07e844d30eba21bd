/** Connects the health decisions of one shard to its attempts, probes and queue. */
import { ShardHealth, TRIAL_SHARE, type HealthEffect, type HealthEvent, type Shard } from '../core';
import type { AttemptResult, Millis, ServiceRules, Upstream, UpstreamId } from '../model';
import type { Clock, Telemetry } from '../ports';

import type { UpstreamProbes } from './upstream-probes';
import type { ShardQueue } from './shard-queue';

/** Holds the parts of the node that upstream health uses. */
export interface UpstreamHealthContext {
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly probes: UpstreamProbes;
}

/** Owns the health of a shard's upstreams, and sets their shares of the queue's calls. */
export class UpstreamHealth {
  private readonly health: ShardHealth;

  private attemptCount = 0;

  private lastTickAt: number;

  constructor(
    private shard: Shard,
    private rules: ServiceRules,
    private readonly queue: ShardQueue,
    private readonly context: UpstreamHealthContext,
  ) {
    this.lastTickAt = context.clock.now();
    this.health = ShardHealth.start(shard.upstreams, rules, this.lastTickAt);
  }

  /** Replaces the shard's upstreams and rules. */
  update(shard: Shard, rules: ServiceRules): void {
    if (rules !== this.rules) this.applyEvent({ kind: 'rules-changed', rules });
    if (shard !== this.shard)
      this.applyEvent({ kind: 'upstreams-changed', upstreams: shard.upstreams });
    this.shard = shard;
    this.rules = rules;
    this.share();
  }

  /**
   * Checks the age of the attempts in flight. `tickPeriod` is the period of ticks in
   * milliseconds; a later tick means that this process's event loop was blocked.
   */
  tick(tickPeriod: Millis): void {
    const now = this.context.clock.now();
    const loopLag = Math.max(0, now - this.lastTickAt - tickPeriod);
    this.lastTickAt = now;
    this.applyEvent({ kind: 'self-observed', loopLag });
    this.applyEvent({ kind: 'tick' });
    this.share();
  }

  /** Returns an upstream whose recovery the next call should test, if there is one. */
  trialDue(idempotent: boolean): UpstreamId | undefined {
    return this.health.upstreamDueForTrial(idempotent);
  }

  /** Records the start of an attempt and returns its id, by which its end is reported. */
  attemptStarted(upstream: UpstreamId): string {
    this.attemptCount += 1;
    const attempt = String(this.attemptCount);
    this.applyEvent({ kind: 'attempt-started', upstream, attempt });
    return attempt;
  }

  /** Records that an attempt has to open a connection, or has opened it. */
  connectionChanged(
    upstream: UpstreamId,
    attempt: string,
    state: 'connecting' | 'connected',
  ): void {
    this.applyEvent({ kind: `attempt-${state}`, upstream, attempt });
  }

  /** Records the result of an attempt. */
  attemptEnded(upstream: UpstreamId, attempt: string, result: AttemptResult): void {
    this.applyEvent({ kind: 'attempt-ended', upstream, attempt, result });
  }

  private applyEvent(event: HealthEvent): void {
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
        ? await probes.probeFromSelf(upstream, deadline)
        : await probes.probeFromPeer(id, deadline);
    // No result from the other node says nothing about the upstream.
    if (result) this.applyEvent({ kind: 'probe-answered', upstream: id, from, result });
  }

  private find(id: UpstreamId): Upstream | undefined {
    return this.shard.upstreams.find((upstream) => upstream.id === id);
  }

  /** Sets the upstreams' shares of the queue's calls. */
  private share(): void {
    const shares = this.shard.upstreams.map(({ id, slots }) => {
      const share = this.health.share(id);
      // An upstream on trial gets its single attempt outside the queue.
      return { id, slots, share: share <= TRIAL_SHARE ? 0 : share };
    });
    this.queue.update(shares);
  }
}
