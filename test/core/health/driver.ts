import {
  ShardHealth,
  type HealthEffect,
  type HealthEvent,
  type ProbeOrigin,
} from '../../../src/core/health';
import {
  defaultServiceRules,
  type AttemptResult,
  type ServiceRules,
  type Upstream,
} from '../../../src/model';

export const TICK_MS = 50;

/** Attempt results of a faulty upstream. */
export const CONNECT_FAILED: AttemptResult = { kind: 'connect-failed' };
export const MISMATCHED: AttemptResult = { kind: 'mismatched' };
export const ERROR_STATUS: AttemptResult = { kind: 'error-status', status: 500, latency: 30 };
export const TIMEOUT: AttemptResult = { kind: 'timeout', waited: 400 };
export const ok = (latency: number): AttemptResult => ({ kind: 'ok', latency });

export const upstreams = (count: number, slots = 6): readonly Upstream[] =>
  Array.from({ length: count }, (_, index) => ({
    id: `u${index}`,
    service: 's',
    dataCentre: 'takoradi',
    address: '127.0.0.1',
    port: 1 + index,
    slots,
    connections: 350,
  }));

export const rulesWith = (patch: Partial<ServiceRules> = {}): ServiceRules => ({
  ...defaultServiceRules('s'),
  costRatio: 30,
  ...patch,
});

/** Drives the health of one shard in virtual time and records its effects. */
export class Driver {
  now = 0;

  readonly effects: HealthEffect[] = [];

  readonly health: ShardHealth;

  private attempts = 0;

  constructor(
    readonly count: number,
    patch: Partial<ServiceRules> = {},
    slots = 6,
  ) {
    this.health = ShardHealth.start(upstreams(count, slots), rulesWith(patch), 0);
    for (let round = 0; round < 60; round++) {
      for (let index = 0; index < count; index++) this.run(`u${index}`, 20 + (round % 30));
    }
    this.advance(300);
  }

  apply(event: HealthEvent): void {
    this.effects.push(...this.health.apply(event, this.now).effects);
  }

  start(upstream: string): string {
    const attempt = `a${this.attempts}`;
    this.attempts += 1;
    this.apply({ kind: 'attempt-started', upstream, attempt });
    return attempt;
  }

  end(upstream: string, attempt: string, result: AttemptResult): void {
    this.apply({ kind: 'attempt-ended', upstream, attempt, result });
  }

  /** Runs one attempt that takes `latency` ms and ends with `result`, by default a good answer. */
  run(upstream: string, latency: number, result?: AttemptResult): void {
    const attempt = this.start(upstream);
    this.advance(latency);
    this.end(upstream, attempt, result ?? ok(latency));
  }

  fail(upstream: string, result: AttemptResult, times: number): void {
    for (let time = 0; time < times; time++) this.run(upstream, 10, result);
  }

  answerProbe(upstream: string, from: ProbeOrigin, result: AttemptResult): void {
    this.apply({ kind: 'probe-answered', upstream, from, result });
  }

  /** Advances the time by `duration` ms and applies the ticks that are due. */
  advance(duration: number): void {
    const end = this.now + duration;
    for (let tick = Math.floor(this.now / TICK_MS + 1) * TICK_MS; tick <= end; tick += TICK_MS) {
      this.now = tick;
      this.apply({ kind: 'tick' });
    }
    this.now = end;
  }

  healthState(upstream: string): string {
    return this.health.healthState(upstream)?.kind ?? 'none';
  }

  /** Returns the number of upstreams in a health state. */
  countInState(kind: string): number {
    return Array.from({ length: this.count }, (_, index) => this.healthState(`u${index}`)).filter(
      (healthState) => healthState === kind,
    ).length;
  }

  /** Fails an upstream with wrong answers until it is ejected, while probes find it healthy. */
  ejectForWrongAnswers(upstream: string): void {
    this.fail(upstream, MISMATCHED, 2);
    this.answerProbe(upstream, 'self', ok(25));
    this.answerProbe(upstream, 'other-data-centre', ok(25));
    this.advance(350);
    this.fail(upstream, MISMATCHED, 2);
  }
}
