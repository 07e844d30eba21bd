import type { AttemptResult, Instant, Millis } from '../../src/model';

import type { RandomSource } from './random-source';
import {
  CONNECT,
  CONNECT_TIMEOUT,
  FAULT_DURATION,
  PROBE,
  REQUEST_TIMEOUT,
  type Fault,
  type Noise,
} from './conditions';

const MEDIAN: Millis = 35;
const SIGMA = 0.6;
const HEAVY_SHARE = 0.01;
const HEAVY_FACTOR = 6;
const SPEED_SIGMA = 0.12;
const CONTENTION = 0.5;
const ERROR_RATE = 0.002;
const RESET_RATE = 0.0001;
const PAUSE: Millis = 200;
const PAUSE_EVERY: Millis = 10_000;
const SHED_PERIOD: Millis = 30_000;
const SHED_BURST_MS: Millis = 5_000;
const SHED_SHARE = 0.3;
const ERROR_BURST_PERIOD_MS: Millis = 60_000;
const ERROR_BURST_MS: Millis = 10_000;
const ERROR_BURST_SHARE = 0.2;
const TURN: Millis = 12_000;
const DRAIN: Millis = 3_000;
const DOWN: Millis = 1_500;
const COLD_SHEDS: Millis = 1_000;
const COLD: Millis = 5_000;
const COLD_FACTOR = 3;
const FLAP_SICK: Millis = 2_000;
const FLAP_PERIOD: Millis = 6_000;
const FLAP_ERRORS = 0.8;
const SHED_ANSWER: Millis = 1;

/** Mean time that a request takes at the usual load. */
export const MEAN_SERVICE: Millis =
  MEDIAN *
  Math.exp((SIGMA * SIGMA) / 2) *
  (1 + HEAVY_SHARE * (HEAVY_FACTOR - 1)) *
  (1 + CONTENTION / 4);

/** When an attempt ends and how. */
export interface Ending {
  readonly at: Instant;
  readonly result: AttemptResult;
  /** Whether the connection never opens; one that does is open before any detector looks. */
  readonly noConnection?: true;
}

const slownessOf = (fault: Fault): number => {
  if (fault === 'slow-x5') return 5;
  return fault === 'slow-x20' ? 20 : 1;
};

const shedAt = (now: Instant, cause: 'busy' | 'draining' | 'cold'): Ending => ({
  at: now + CONNECT + SHED_ANSWER,
  result: { kind: 'shed', cause },
});

/** One upstream as a process that is well, goes through noise, or has a fault for a while. */
export class UpstreamModel {
  private readonly speed: number;

  private pauseAt: Instant = Infinity;

  constructor(
    private readonly index: number,
    private readonly count: number,
    private readonly slots: number,
    private readonly noise: Noise,
    private readonly fault: { readonly kind: Fault; readonly from: Instant } | undefined,
    private readonly endpointLies: boolean,
    private readonly chance: RandomSource,
  ) {
    this.speed = chance.logNormal(1, SPEED_SIGMA);
    if (noise.pauses) this.pauseAt = chance.exponential(PAUSE_EVERY);
  }

  /** The fault in effect, if any. */
  faultAt(now: Instant): Fault | undefined {
    const { fault } = this;
    if (!fault || now < fault.from || now >= fault.from + FAULT_DURATION) return undefined;
    if (fault.kind !== 'flapping') return fault.kind;
    return (now - fault.from) % FLAP_PERIOD < FLAP_SICK ? 'flapping' : undefined;
  }

  /** Whether a detector that ejects this upstream now is wrong to do so. */
  isWell(now: Instant): boolean {
    const { fault } = this;
    const faulty = fault && now >= fault.from && now < fault.from + FAULT_DURATION;
    return !faulty && this.phase(now) === 'up';
  }

  /** Runs one request from `now`, with `busy` others at this upstream. */
  serve(now: Instant, busy: number): Ending {
    const at = now + CONNECT;
    if (this.faultAt(now) === 'unreachable-one-way') {
      const result: AttemptResult = { kind: 'connect-failed' };
      return { at: now + CONNECT_TIMEOUT, result, noConnection: true };
    }
    const phase = this.phase(now);
    if (phase === 'down') return { at, result: { kind: 'connect-failed' } };
    if (phase === 'draining') return shedAt(now, 'draining');
    if (phase === 'starting' && this.chance.happens(0.5)) return shedAt(now, 'cold');
    if (this.shedsNow(now) && this.chance.happens(SHED_SHARE)) return shedAt(now, 'busy');
    return this.finish(now, this.serviceTime(now, busy));
  }

  /** Answers a probe; one from another data centre gets round a one-way cut. */
  probe(now: Instant, from: 'self' | 'other-data-centre', deadline: Instant): Ending {
    const fault = this.faultAt(now);
    const latency = CONNECT + this.chance.logNormal(PROBE, 0.2);
    const ok: Ending = { at: now + latency, result: { kind: 'ok', latency } };
    const sick: Ending = { at: ok.at, result: { kind: 'error-status', status: 503, latency } };
    const timeout: Ending = { at: deadline, result: { kind: 'timeout', waited: deadline - now } };
    if (fault === 'unreachable-one-way') return from === 'self' ? timeout : ok;
    if (this.phase(now) === 'down') return { at: now + 1, result: { kind: 'connect-failed' } };
    if (fault === undefined) return this.noise.endpointLies || this.endpointLies ? sick : ok;
    if (this.endpointLies) return ok;
    if (fault === 'hang') return timeout;
    if (fault === 'flapping' || fault === 'errors-30') return sick;
    const slow = latency * slownessOf(fault);
    if (now + slow > deadline) return timeout;
    return { at: now + slow, result: { kind: 'ok', latency: slow } };
  }

  private phase(now: Instant): 'up' | 'draining' | 'down' | 'starting' | 'cold' {
    if (!this.noise.drains && !this.noise.restarts) return 'up';
    const sinceTurn = (now - this.index * TURN) % (TURN * this.count);
    const drain = this.noise.drains ? DRAIN : 0;
    const t = sinceTurn - drain;
    if (sinceTurn < 0) return 'up';
    if (sinceTurn < drain) return 'draining';
    if (t < DOWN) return 'down';
    if (t < DOWN + COLD_SHEDS) return 'starting';
    return t < DOWN + COLD ? 'cold' : 'up';
  }

  private coldness(now: Instant): number {
    const phase = this.phase(now);
    if (phase !== 'cold' && phase !== 'starting') return 1;
    const drain = this.noise.drains ? DRAIN : 0;
    const sinceStart = ((now - this.index * TURN) % (TURN * this.count)) - drain - DOWN;
    return 1 + (COLD_FACTOR - 1) * Math.max(0, 1 - sinceStart / COLD);
  }

  private shedsNow(now: Instant): boolean {
    const offset = (this.index * SHED_PERIOD) / this.count;
    return this.noise.sheds && (now + offset) % SHED_PERIOD < SHED_BURST_MS;
  }

  private serviceTime(now: Instant, busy: number): Millis {
    const heavy = this.chance.happens(HEAVY_SHARE) ? HEAVY_FACTOR : 1;
    const contention = 1 + CONTENTION * (busy / this.slots) ** 2;
    const base = this.chance.logNormal(MEDIAN, SIGMA) * heavy * contention * this.speed;
    return base * this.coldness(now);
  }

  private finish(now: Instant, work: Millis): Ending {
    const wellAt = this.afterPauses(now + CONNECT, now + CONNECT + work);
    const at = this.afterFault(now, wellAt);
    if (at - now >= REQUEST_TIMEOUT) {
      const result: AttemptResult = { kind: 'timeout', waited: REQUEST_TIMEOUT };
      return { at: now + REQUEST_TIMEOUT, result };
    }
    return { at, result: this.resultAt(at, at - now) };
  }

  /** Pauses are known in advance, so that a request started before one is held by it too. */
  private afterPauses(start: Instant, end: Instant): Instant {
    while (this.pauseAt + PAUSE < start) {
      this.pauseAt += PAUSE + this.chance.exponential(PAUSE_EVERY);
    }
    return this.pauseAt < end ? end + this.pauseAt + PAUSE - Math.max(this.pauseAt, start) : end;
  }

  /** A request under way when slowness or a hang begins has the rest of its work delayed. */
  private afterFault(start: Instant, end: Instant): Instant {
    const { fault } = this;
    if (!fault || end < fault.from || start >= fault.from + FAULT_DURATION) return end;
    if (fault.kind === 'hang') return Infinity;
    const slowFrom = Math.max(start, fault.from);
    return slowFrom + (end - slowFrom) * slownessOf(fault.kind);
  }

  private resultAt(now: Instant, latency: Millis): AttemptResult {
    const fault = this.faultAt(now);
    const error: AttemptResult = { kind: 'error-status', status: 500, latency };
    if (fault === 'wrong-half' && this.chance.happens(0.5)) return { kind: 'mismatched' };
    if (fault === 'truncating-half' && this.chance.happens(0.5)) return { kind: 'truncated' };
    if (fault === 'errors-30' && this.chance.happens(0.3)) return error;
    if (fault === 'flapping' && this.chance.happens(FLAP_ERRORS)) return error;
    const inBurst =
      this.noise.errorBursts &&
      now % ERROR_BURST_PERIOD_MS > ERROR_BURST_PERIOD_MS - ERROR_BURST_MS;
    if (this.chance.happens(inBurst ? ERROR_BURST_SHARE : ERROR_RATE)) return error;
    if (this.chance.happens(RESET_RATE)) return { kind: 'reset' };
    return { kind: 'ok', latency };
  }
}
