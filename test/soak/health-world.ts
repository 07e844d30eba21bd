import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { ShardHealth, type HealthEffect, type HealthEvent } from '../../src/core/health';
import type { AttemptResult, Instant, Millis, ServiceRules, Upstream } from '../../src/model';

const STEP: Millis = 10;
const TICK: Millis = 50;
const LATENCY: Millis = 30;
const TIMEOUT: Millis = 2_000;
const CONNECT_TIMEOUT: Millis = 250;
const PROBE: Millis = 25;
const LOAD = 0.5;
/** Keeps seeds that are near each other from beginning alike. */
const SEED_SPREAD = 0x9e3779b1;
const LOST_PROBES = 0.1;
const FLAPPER = 'u0';
const FLAP_SICK: Millis = 2_000;
const FLAP_PERIOD: Millis = 5_000;
const MAX_FAULT: Millis = 8_000;
const FAULT_CHANCE = 0.0015;
const LAG_CHANCE = 0.0005;
const MAX_LAG: Millis = 600;
/** After the faults, attempts that they held up have ended and been judged within this. */
const SETTLED_WITHIN: Millis = 3_000;
/** From then on, an upstream whose hold-down is over is back within this. */
const BACK_WITHIN: Millis = 30_000;

const FAULTS = ['errors', 'wrong', 'slow', 'hang', 'unreachable', 'cut-off', 'draining'] as const;
type Fault = (typeof FAULTS)[number];

type Later =
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

/** A shard under random faults, its invariants checked after every event. */
export class HealthWorld {
  private readonly generator;

  private readonly upstreams: readonly Upstream[];

  private readonly rules: ServiceRules;

  private readonly health: ShardHealth;

  private readonly faults = new Map<string, { readonly kind: Fault; readonly until: Instant }>();

  private readonly agenda = new Map<Instant, Later[]>();

  private now: Instant = 0;

  private lagUntil: Instant = 0;

  private attempts = 0;

  /** Hold-downs of the upstream that flaps, in order. */
  readonly flapperHolds: Millis[] = [];

  ejections = 0;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(Math.imul(seed, SEED_SPREAD));
    const count = [5, 10, 20][this.below(3)] ?? 5;
    const slots = [2, 6][this.below(2)] ?? 2;
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
      costRatio: [3, 30][this.below(2)] ?? 3,
      queuePerSlot: 4,
      retryRatio: 0.1,
    };
    this.health = ShardHealth.start(this.upstreams, this.rules, 0);
  }

  /** Runs with random faults until `end`. */
  runFaulty(end: Instant): void {
    while (this.now < end) {
      this.upstreams.forEach(({ id }) => this.maybeBreak(id, end));
      if (this.uniform() < LAG_CHANCE) this.lagUntil = this.now + this.uniform() * MAX_LAG;
      this.step(this.now % FLAP_PERIOD < FLAP_SICK);
    }
    this.faults.clear();
  }

  /** Runs without faults until all are healthy; the ids that are not by their bound. */
  runUntilHealthy(): readonly string[] {
    const settled = this.now + SETTLED_WITHIN;
    while (this.now < settled) this.step(false);
    const ends = this.upstreams.map(({ id }) => {
      const standing = this.health.healthState(id);
      return (standing?.kind === 'ejected' ? standing.until : this.now) + BACK_WITHIN;
    });
    const isLate = (_: Upstream, index: number): boolean => this.now > (ends[index] ?? 0);
    const isSick = ({ id }: Upstream): boolean => this.health.healthState(id)?.kind !== 'healthy';
    for (;;) {
      const sick = this.upstreams.filter(isSick);
      const late = this.upstreams.filter((one, index) => isSick(one) && isLate(one, index));
      if (late.length > 0 || sick.length === 0) return late.map(({ id }) => id);
      this.step(false);
    }
  }

  private step(flapperSick: boolean): void {
    this.now += STEP;
    if (this.now < this.lagUntil) return;
    this.takeDue();
    if (this.lagUntil > 0) {
      this.apply({ kind: 'self-observed', loopLag: MAX_LAG / 2 });
      this.lagUntil = 0;
    }
    if (this.now % TICK === 0) this.apply({ kind: 'tick' });
    const slots = this.upstreams.reduce((sum, upstream) => sum + upstream.slots, 0);
    const arrivals = (slots * LOAD * STEP) / LATENCY;
    for (let arrival = 0; arrival + this.uniform() < arrivals; arrival++) this.arrive(flapperSick);
  }

  private takeDue(): void {
    const due = [...this.agenda.keys()].filter((at) => at <= this.now).sort((a, b) => a - b);
    due.forEach((at) => {
      const events = this.agenda.get(at) ?? [];
      this.agenda.delete(at);
      events.forEach((event) => {
        if (event.kind === 'end') this.apply({ ...event, kind: 'attempt-ended' });
        else this.apply({ ...event, kind: 'probe-answered' });
      });
    });
  }

  private arrive(flapperSick: boolean): void {
    const random = this.upstreams[this.below(this.upstreams.length)]?.id ?? FLAPPER;
    const upstream = this.health.upstreamDueForTrial() ?? random;
    if (this.health.availableSlots(upstream) <= 0) return;
    const attempt = `a${this.attempts}`;
    this.attempts += 1;
    this.apply({ kind: 'attempt-started', upstream, attempt });
    const sickFlapper = flapperSick && upstream === FLAPPER;
    const fault = sickFlapper ? 'errors' : this.faults.get(upstream)?.kind;
    const { after, result } = this.serve(fault);
    this.later(after, { kind: 'end', upstream, attempt, result });
  }

  private serve(fault: Fault | undefined): {
    readonly after: Millis;
    readonly result: AttemptResult;
  } {
    const latency = LATENCY * (0.5 + this.uniform());
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
        return { after: TIMEOUT, result: { kind: 'timeout', waited: TIMEOUT } };
      case 'unreachable':
      case 'cut-off':
        return { after: CONNECT_TIMEOUT, result: { kind: 'connect-failed' } };
      case 'draining':
        return { after: 1, result: { kind: 'shed', cause: 'draining' } };
    }
  }

  private apply(event: HealthEvent): void {
    this.health.apply(event, this.now).effects.forEach((effect) => this.carryOut(effect));
    this.check();
  }

  private carryOut(effect: HealthEffect): void {
    switch (effect.kind) {
      case 'probe':
        this.probe(effect);
        return;
      case 'standing-changed':
        if (effect.to.kind !== 'ejected') return;
        this.ejections += 1;
        if (effect.upstream === FLAPPER && effect.reason !== 'unreachable') {
          this.flapperHolds.push(effect.to.until - this.now);
        }
        return;
      case 'ejection-refused':
        if (effect.reason === 'floor-invariant') throw new Error('the last check had to step in');
    }
  }

  private probe({ upstream, from, deadline }: HealthEffect & { readonly kind: 'probe' }): void {
    const fault = this.faults.get(upstream)?.kind;
    const isCut = fault === 'unreachable' || (fault === 'cut-off' && from === 'self');
    if (isCut || fault === 'hang' || this.uniform() < LOST_PROBES) {
      const result = { kind: 'timeout', waited: deadline - this.now } as const;
      this.later(deadline - this.now, { kind: 'probe', upstream, from, result });
      return;
    }
    this.later(PROBE, { kind: 'probe', upstream, from, result: { kind: 'ok', latency: PROBE } });
  }

  /** Ejection leaves the floor's slots in service, and an ejected upstream gets no work. */
  private check(): void {
    const standings = this.upstreams.map((upstream) => ({
      slots: upstream.slots,
      kind: this.health.healthState(upstream.id)?.kind,
      room: this.health.availableSlots(upstream.id),
    }));
    const sum = (kinds: readonly string[]): number =>
      standings
        .filter(({ kind }) => kinds.includes(kind ?? ''))
        .reduce((total, { slots }) => total + slots, 0);
    const all = standings.reduce((total, { slots }) => total + slots, 0);
    const ejected = standings.filter(({ kind }) => kind === 'ejected');
    const inService = sum(['healthy', 'suspect', 'link-fault']);
    if (ejected.length > 0 && inService < Math.ceil(all * this.rules.floor - 1e-9)) {
      throw new Error(`${inService} slots in service, floor ${this.rules.floor} of ${all}`);
    }
    if (ejected.some(({ room }) => room > 0)) throw new Error('an ejected upstream gets work');
  }

  private maybeBreak(id: string, end: Instant): void {
    const fault = this.faults.get(id);
    if (fault && this.now < fault.until) return;
    this.faults.delete(id);
    if (id === FLAPPER || this.uniform() > FAULT_CHANCE) return;
    const kind = FAULTS[this.below(FAULTS.length)] ?? 'errors';
    const until = Math.min(end, this.now + this.uniform() * MAX_FAULT);
    this.faults.set(id, { kind, until });
  }

  private later(after: Millis, event: Later): void {
    const at = Math.ceil((this.now + after) / STEP) * STEP;
    const events = this.agenda.get(at);
    if (events) events.push(event);
    else this.agenda.set(at, [event]);
  }

  private uniform(): number {
    return (this.generator.next() >>> 0) / 2 ** 32;
  }

  private below(limit: number): number {
    return Math.floor(this.uniform() * limit);
  }
}
