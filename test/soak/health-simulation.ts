import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { ShardHealth, type HealthEffect, type HealthEvent } from '../../src/core/health';
import type { AttemptResult, Instant, Millis, ServiceRules, Upstream } from '../../src/model';

/** Virtual time between two steps of the simulation. */
const STEP_MS: Millis = 10;
const TICK_PERIOD_MS: Millis = 50;
const MEAN_LATENCY_MS: Millis = 30;
const ATTEMPT_TIMEOUT_MS: Millis = 2_000;
const CONNECT_TIMEOUT_MS: Millis = 250;
const PROBE_LATENCY_MS: Millis = 25;
/** Ratio of busy slots to all slots while every upstream is healthy. */
const LOAD_RATIO = 0.5;
/** Multiplier of the seed; generators with adjacent seeds start with similar values. */
const SEED_MULTIPLIER = 0x9e3779b1;
const PROBE_LOSS_PROBABILITY = 0.1;
/** Id of the upstream that alternates between failing and healthy for the whole faulty phase. */
const FLAPPING_UPSTREAM_ID = 'u0';
/** Time in each flap period for which the flapping upstream fails. */
const FLAP_FAILING_MS: Millis = 2_000;
const FLAP_PERIOD_MS: Millis = 5_000;
const MAX_FAULT_MS: Millis = 8_000;
/** Probability that a fault starts, per upstream and step. */
const FAULT_PROBABILITY = 0.0015;
/** Probability that the event loop starts to lag, per step. */
const LAG_PROBABILITY = 0.0005;
const MAX_LAG_MS: Millis = 600;
/** Time after the last fault in which attempts that it delayed end and are evaluated. */
const SETTLING_TIME_MS: Millis = 3_000;
/** Longest time after settling, or after its hold-down if later, until an upstream is healthy. */
const RECOVERY_BOUND_MS: Millis = 30_000;

/**
 * Faults of an upstream. `wrong` gives half of the requests a response that belongs to another
 * request, `cut-off` breaks only the link from the shard's own data centre.
 */
const FAULTS = ['errors', 'wrong', 'slow', 'hang', 'unreachable', 'cut-off', 'draining'] as const;
type Fault = (typeof FAULTS)[number];

/** An attempt's end or a probe's answer that is delivered later. */
type ScheduledEvent =
  | {
      readonly kind: 'end';
      readonly upstream: string;
      readonly attempt: string;
      readonly result: AttemptResult;
    }
  | {
      readonly kind: 'probe';
      readonly upstream: string;
      readonly from: 'self' | 'other-data-centre';
      readonly result: AttemptResult;
    };

/** Simulates one shard under random faults and checks its invariants after every event. */
export class HealthSimulation {
  private readonly generator;

  private readonly upstreams: readonly Upstream[];

  private readonly rules: ServiceRules;

  private readonly health: ShardHealth;

  private readonly faults = new Map<string, { readonly kind: Fault; readonly until: Instant }>();

  private readonly eventsByTime = new Map<Instant, ScheduledEvent[]>();

  private now: Instant = 0;

  /** Time until which the event loop is blocked. */
  private lagUntil: Instant = 0;

  private attempts = 0;

  /** Hold-downs of the flapping upstream in milliseconds, in order. */
  readonly flapperHoldDowns: Millis[] = [];

  ejections = 0;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(Math.imul(seed, SEED_MULTIPLIER));
    const count = [5, 10, 20][this.drawBelow(3)] ?? 5;
    const slots = [2, 6][this.drawBelow(2)] ?? 2;
    this.upstreams = Array.from({ length: count }, (_, index) => ({
      id: `u${index}`,
      service: 's',
      dataCentre: 'takoradi',
      address: '127.0.0.1',
      port: 1 + index,
      slots,
      connections: 350,
    }));
    this.rules = {
      name: 's',
      floor: 0.4 + this.uniform() * 0.5,
      costRatio: [3, 30][this.drawBelow(2)] ?? 3,
      queuePerSlot: 4,
      retryRatio: 0.1,
    };
    this.health = ShardHealth.start(this.upstreams, this.rules, 0);
  }

  /** Runs with random faults until `end`, then clears them. */
  runWithFaults(end: Instant): void {
    while (this.now < end) {
      this.upstreams.forEach(({ id }) => this.drawFault(id, end));
      if (this.uniform() < LAG_PROBABILITY) this.lagUntil = this.now + this.uniform() * MAX_LAG_MS;
      this.step(this.now % FLAP_PERIOD_MS < FLAP_FAILING_MS);
    }
    this.faults.clear();
  }

  /**
   * Runs without faults until all upstreams are healthy or one exceeds its bound. Returns the ids
   * of the upstreams that exceeded it.
   */
  runUntilHealthy(): readonly string[] {
    const settledAt = this.now + SETTLING_TIME_MS;
    while (this.now < settledAt) this.step(false);
    const bounds = this.upstreams.map(({ id }) => {
      const state = this.health.healthState(id);
      return (state?.kind === 'ejected' ? state.until : this.now) + RECOVERY_BOUND_MS;
    });
    const isLate = (_: Upstream, index: number): boolean => this.now > (bounds[index] ?? 0);
    const isUnhealthy = ({ id }: Upstream): boolean =>
      this.health.healthState(id)?.kind !== 'healthy';
    for (;;) {
      const unhealthy = this.upstreams.filter(isUnhealthy);
      const late = this.upstreams.filter(
        (upstream, index) => isUnhealthy(upstream) && isLate(upstream, index),
      );
      if (late.length > 0 || unhealthy.length === 0) return late.map(({ id }) => id);
      this.step(false);
    }
  }

  private step(isFlapperFailing: boolean): void {
    this.now += STEP_MS;
    if (this.now < this.lagUntil) return;
    this.applyDueEvents();
    if (this.lagUntil > 0) {
      this.apply({ kind: 'self-observed', loopLag: MAX_LAG_MS / 2 });
      this.lagUntil = 0;
    }
    if (this.now % TICK_PERIOD_MS === 0) this.apply({ kind: 'tick' });
    const slots = this.upstreams.reduce((sum, upstream) => sum + upstream.slots, 0);
    const arrivals = (slots * LOAD_RATIO * STEP_MS) / MEAN_LATENCY_MS;
    for (let arrival = 0; arrival + this.uniform() < arrivals; arrival++)
      this.startAttempt(isFlapperFailing);
  }

  private applyDueEvents(): void {
    const due = [...this.eventsByTime.keys()].filter((at) => at <= this.now).sort((a, b) => a - b);
    due.forEach((at) => {
      const events = this.eventsByTime.get(at) ?? [];
      this.eventsByTime.delete(at);
      events.forEach((event) => {
        if (event.kind === 'end') this.apply({ ...event, kind: 'attempt-ended' });
        else this.apply({ ...event, kind: 'probe-answered' });
      });
    });
  }

  private startAttempt(isFlapperFailing: boolean): void {
    const random =
      this.upstreams[this.drawBelow(this.upstreams.length)]?.id ?? FLAPPING_UPSTREAM_ID;
    const upstream = this.health.upstreamDueForTrial(true) ?? random;
    if (this.health.availableSlots(upstream) <= 0) return;
    const attempt = `a${this.attempts}`;
    this.attempts += 1;
    this.apply({ kind: 'attempt-started', upstream, attempt });
    const isFlap = isFlapperFailing && upstream === FLAPPING_UPSTREAM_ID;
    const fault = isFlap ? 'errors' : this.faults.get(upstream)?.kind;
    const { after, result } = this.serve(fault);
    this.scheduleEvent(after, { kind: 'end', upstream, attempt, result });
  }

  /** Returns when and how an attempt ends at an upstream with this fault. */
  private serve(fault: Fault | undefined): {
    readonly after: Millis;
    readonly result: AttemptResult;
  } {
    const latency = MEAN_LATENCY_MS * (0.5 + this.uniform());
    const ok = { after: latency, result: { kind: 'ok', latency } } as const;
    switch (fault) {
      case undefined:
        return ok;
      case 'errors':
        if (this.uniform() > 0.8) return ok;
        return { after: latency, result: { kind: 'error-status', status: 500, latency } };
      case 'wrong':
        return this.uniform() > 0.5 ? ok : { after: latency, result: { kind: 'mismatched' } };
      case 'slow':
        return { after: latency * 10, result: { kind: 'ok', latency: latency * 10 } };
      case 'hang':
        return {
          after: ATTEMPT_TIMEOUT_MS,
          result: { kind: 'timeout', waited: ATTEMPT_TIMEOUT_MS },
        };
      case 'unreachable':
      case 'cut-off':
        return { after: CONNECT_TIMEOUT_MS, result: { kind: 'connect-failed' } };
      case 'draining':
        return { after: 1, result: { kind: 'shed', cause: 'draining' } };
    }
  }

  private apply(event: HealthEvent): void {
    this.health.apply(event, this.now).effects.forEach((effect) => this.executeEffect(effect));
    this.checkInvariants();
  }

  private executeEffect(effect: HealthEffect): void {
    switch (effect.kind) {
      case 'probe':
        this.probe(effect);
        return;
      case 'standing-changed':
        if (effect.to.kind !== 'ejected') return;
        this.ejections += 1;
        if (effect.upstream === FLAPPING_UPSTREAM_ID && effect.reason !== 'unreachable') {
          this.flapperHoldDowns.push(effect.to.until - this.now);
        }
        return;
      case 'ejection-refused':
        if (effect.reason === 'floor-invariant')
          throw new Error('an ejection was refused only by the final floor check');
    }
  }

  private probe({ upstream, from, deadline }: HealthEffect & { readonly kind: 'probe' }): void {
    const fault = this.faults.get(upstream)?.kind;
    const isCut = fault === 'unreachable' || (fault === 'cut-off' && from === 'self');
    if (isCut || fault === 'hang' || this.uniform() < PROBE_LOSS_PROBABILITY) {
      const result = { kind: 'timeout', waited: deadline - this.now } as const;
      this.scheduleEvent(deadline - this.now, { kind: 'probe', upstream, from, result });
      return;
    }
    this.scheduleEvent(PROBE_LATENCY_MS, {
      kind: 'probe',
      upstream,
      from,
      result: { kind: 'ok', latency: PROBE_LATENCY_MS },
    });
  }

  /**
   * Checks that ejections leave at least the floor's share of all slots in service, and that
   * ejected upstreams have no room for work.
   */
  private checkInvariants(): void {
    const states = this.upstreams.map((upstream) => ({
      slots: upstream.slots,
      kind: this.health.healthState(upstream.id)?.kind,
      room: this.health.availableSlots(upstream.id),
    }));
    const sum = (kinds: readonly string[]): number =>
      states
        .filter(({ kind }) => kinds.includes(kind ?? ''))
        .reduce((total, { slots }) => total + slots, 0);
    const all = states.reduce((total, { slots }) => total + slots, 0);
    const ejected = states.filter(({ kind }) => kind === 'ejected');
    const inService = sum(['healthy', 'suspect', 'link-fault']);
    if (ejected.length > 0 && inService < Math.ceil(all * this.rules.floor - 1e-9)) {
      throw new Error(
        `${inService} slots in service, expected at least ${this.rules.floor} of ${all}`,
      );
    }
    if (ejected.some(({ room }) => room > 0))
      throw new Error('an ejected upstream has room for work');
  }

  /** Ends the fault of an upstream when it is over, and may start a new one until `end` at most. */
  private drawFault(id: string, end: Instant): void {
    const fault = this.faults.get(id);
    if (fault && this.now < fault.until) return;
    this.faults.delete(id);
    if (id === FLAPPING_UPSTREAM_ID || this.uniform() > FAULT_PROBABILITY) return;
    const kind = FAULTS[this.drawBelow(FAULTS.length)] ?? 'errors';
    const until = Math.min(end, this.now + this.uniform() * MAX_FAULT_MS);
    this.faults.set(id, { kind, until });
  }

  /** Delivers an event `after` milliseconds from now, rounded up to a whole step. */
  private scheduleEvent(after: Millis, event: ScheduledEvent): void {
    const at = Math.ceil((this.now + after) / STEP_MS) * STEP_MS;
    const events = this.eventsByTime.get(at);
    if (events) events.push(event);
    else this.eventsByTime.set(at, [event]);
  }

  /** Returns a random number from 0 (included) to 1 (excluded). */
  private uniform(): number {
    return (this.generator.next() >>> 0) / 2 ** 32;
  }

  /** Returns a random integer from 0 to `limit` - 1. */
  private drawBelow(limit: number): number {
    return Math.floor(this.uniform() * limit);
  }
}
