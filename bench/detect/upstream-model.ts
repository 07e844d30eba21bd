import type { AttemptResult, Instant, Millis } from '../../src/model';

import type { RandomSource } from './random-source';
import {
  CONNECT_TIME_MS,
  CONNECT_TIMEOUT_MS,
  FAULT_DURATION_MS,
  MEDIAN_PROBE_TIME_MS,
  REQUEST_TIMEOUT_MS,
  type Fault,
  type Noise,
} from './conditions';

const MEDIAN_SERVICE_TIME_MS: Millis = 35;
/** Standard deviation of the logarithm of the service time. */
const SERVICE_TIME_LOG_SIGMA = 0.6;
/** Share of requests that take `HEAVY_SERVICE_TIME_FACTOR` times as long. */
const HEAVY_REQUEST_RATIO = 0.01;
const HEAVY_SERVICE_TIME_FACTOR = 6;
/** Standard deviation of the logarithm of an upstream's service time factor. */
const UPSTREAM_SPEED_LOG_SIGMA = 0.12;
/** Relative increase of the service time when all slots are busy. */
const FULL_LOAD_SLOWDOWN_RATIO = 0.5;
/** Share of a healthy upstream's answers that are errors. */
const BACKGROUND_ERROR_RATIO = 0.002;
/** Share of a healthy upstream's requests that end in a connection reset. */
const BACKGROUND_RESET_RATIO = 0.0001;
const PAUSE_DURATION_MS: Millis = 200;
const MEAN_PAUSE_INTERVAL_MS: Millis = 10_000;
const SHED_BURST_PERIOD_MS: Millis = 30_000;
const SHED_BURST_MS: Millis = 5_000;
/** Share of requests that are refused as busy in a shed burst. */
const SHED_BURST_SHED_RATIO = 0.3;
const ERROR_BURST_PERIOD_MS: Millis = 60_000;
const ERROR_BURST_MS: Millis = 10_000;
/** Share of answers that are errors in an error burst. */
const ERROR_BURST_ERROR_RATIO = 0.2;
/** Time between the drains, or restarts, of successive upstreams. */
const RESTART_STAGGER_MS: Millis = 12_000;
const DRAIN_DURATION_MS: Millis = 3_000;
const DOWN_DURATION_MS: Millis = 1_500;
/** Time after a start in which half of the requests are refused as cold. */
const COLD_SHED_DURATION_MS: Millis = 1_000;
const COLD_DURATION_MS: Millis = 5_000;
/** Factor on the service time right after a start; it falls to 1 over the cold period. */
const COLD_SERVICE_TIME_FACTOR = 3;
const FLAP_FAULTY_MS: Millis = 2_000;
const FLAP_PERIOD_MS: Millis = 6_000;
/** Share of answers that are errors in the faulty part of a flapping period. */
const FLAP_ERROR_RATIO = 0.8;
const SHED_ANSWER_TIME_MS: Millis = 1;

/** Mean service time at the usual load, where about half of the slots are busy. */
export const MEAN_SERVICE_TIME_MS: Millis =
  MEDIAN_SERVICE_TIME_MS *
  Math.exp((SERVICE_TIME_LOG_SIGMA * SERVICE_TIME_LOG_SIGMA) / 2) *
  (1 + HEAVY_REQUEST_RATIO * (HEAVY_SERVICE_TIME_FACTOR - 1)) *
  (1 + FULL_LOAD_SLOWDOWN_RATIO / 4);

/** When an attempt or a probe ends, and its result. */
export interface AttemptEnd {
  readonly at: Instant;
  readonly result: AttemptResult;
  /**
   * Set when the connection never opens; other connections open before a detector can see them
   * pending.
   */
  readonly neverConnects?: true;
}

const slowdownFactor = (fault: Fault): number => {
  if (fault === 'slow-x5') return 5;
  return fault === 'slow-x20' ? 20 : 1;
};

/** Returns the end of a request that the upstream refuses without running it. */
const shedEnd = (now: Instant, cause: 'busy' | 'draining' | 'cold'): AttemptEnd => ({
  at: now + CONNECT_TIME_MS + SHED_ANSWER_TIME_MS,
  result: { kind: 'shed', cause },
});

/** Models one upstream process that is subject to noise and, for a limited time, to a fault. */
export class UpstreamModel {
  private readonly serviceTimeFactor: number;

  private nextPauseAt: Instant = Infinity;

  constructor(
    private readonly index: number,
    private readonly upstreamCount: number,
    private readonly slots: number,
    private readonly noise: Noise,
    private readonly fault: { readonly kind: Fault; readonly from: Instant } | undefined,
    private readonly misleadingHealthEndpoint: boolean,
    private readonly random: RandomSource,
  ) {
    this.serviceTimeFactor = random.logNormal(1, UPSTREAM_SPEED_LOG_SIGMA);
    if (noise.gcPauses) this.nextPauseAt = random.exponential(MEAN_PAUSE_INTERVAL_MS);
  }

  /** Returns the fault in effect; undefined also in the healthy part of a flapping period. */
  activeFault(now: Instant): Fault | undefined {
    const { fault } = this;
    if (!fault || now < fault.from || now >= fault.from + FAULT_DURATION_MS) return undefined;
    if (fault.kind !== 'flapping') return fault.kind;
    return (now - fault.from) % FLAP_PERIOD_MS < FLAP_FAULTY_MS ? 'flapping' : undefined;
  }

  /** Returns whether ejecting this upstream now would be wrong. */
  isHealthy(now: Instant): boolean {
    const { fault } = this;
    const faulty = fault && now >= fault.from && now < fault.from + FAULT_DURATION_MS;
    return !faulty && this.phaseAt(now) === 'up';
  }

  /** Runs one request that starts at `now`, with `busy` others open at this upstream. */
  serve(now: Instant, busy: number): AttemptEnd {
    const at = now + CONNECT_TIME_MS;
    if (this.activeFault(now) === 'unreachable-one-way') {
      const result: AttemptResult = { kind: 'connect-failed' };
      return { at: now + CONNECT_TIMEOUT_MS, result, neverConnects: true };
    }
    const phase = this.phaseAt(now);
    if (phase === 'down') return { at, result: { kind: 'connect-failed' } };
    if (phase === 'draining') return shedEnd(now, 'draining');
    if (phase === 'starting' && this.random.happens(0.5)) return shedEnd(now, 'cold');
    if (this.isInShedBurst(now) && this.random.happens(SHED_BURST_SHED_RATIO))
      return shedEnd(now, 'busy');
    return this.endOfWork(now, this.serviceTime(now, busy));
  }

  /** Answers a probe; one from another data centre connects despite a one-way fault. */
  probe(now: Instant, from: 'self' | 'other-data-centre', deadline: Instant): AttemptEnd {
    const fault = this.activeFault(now);
    const latency = CONNECT_TIME_MS + this.random.logNormal(MEDIAN_PROBE_TIME_MS, 0.2);
    const ok: AttemptEnd = { at: now + latency, result: { kind: 'ok', latency } };
    const unhealthy: AttemptEnd = {
      at: ok.at,
      result: { kind: 'error-status', status: 503, latency },
    };
    const timeout: AttemptEnd = {
      at: deadline,
      result: { kind: 'timeout', waited: deadline - now },
    };
    if (fault === 'unreachable-one-way') return from === 'self' ? timeout : ok;
    if (this.phaseAt(now) === 'down') return { at: now + 1, result: { kind: 'connect-failed' } };
    if (fault === undefined)
      return this.noise.misleadingHealthEndpoint || this.misleadingHealthEndpoint ? unhealthy : ok;
    if (this.misleadingHealthEndpoint) return ok;
    if (fault === 'hang') return timeout;
    if (fault === 'flapping' || fault === 'errors-30') return unhealthy;
    const slow = latency * slowdownFactor(fault);
    if (now + slow > deadline) return timeout;
    return { at: now + slow, result: { kind: 'ok', latency: slow } };
  }

  /** Returns the upstream's phase in its drain and restart cycle. */
  private phaseAt(now: Instant): 'up' | 'draining' | 'down' | 'starting' | 'cold' {
    if (!this.noise.drains && !this.noise.restarts) return 'up';
    const sinceCycleStart =
      (now - this.index * RESTART_STAGGER_MS) % (RESTART_STAGGER_MS * this.upstreamCount);
    const drain = this.noise.drains ? DRAIN_DURATION_MS : 0;
    const sinceDrain = sinceCycleStart - drain;
    if (sinceCycleStart < 0) return 'up';
    if (sinceCycleStart < drain) return 'draining';
    if (sinceDrain < DOWN_DURATION_MS) return 'down';
    if (sinceDrain < DOWN_DURATION_MS + COLD_SHED_DURATION_MS) return 'starting';
    return sinceDrain < DOWN_DURATION_MS + COLD_DURATION_MS ? 'cold' : 'up';
  }

  /** Returns the factor that a cold start puts on the service time; 1 when warm. */
  private coldFactor(now: Instant): number {
    const phase = this.phaseAt(now);
    if (phase !== 'cold' && phase !== 'starting') return 1;
    const drain = this.noise.drains ? DRAIN_DURATION_MS : 0;
    const sinceStart =
      ((now - this.index * RESTART_STAGGER_MS) % (RESTART_STAGGER_MS * this.upstreamCount)) -
      drain -
      DOWN_DURATION_MS;
    return 1 + (COLD_SERVICE_TIME_FACTOR - 1) * Math.max(0, 1 - sinceStart / COLD_DURATION_MS);
  }

  private isInShedBurst(now: Instant): boolean {
    const offset = (this.index * SHED_BURST_PERIOD_MS) / this.upstreamCount;
    return this.noise.sheds && (now + offset) % SHED_BURST_PERIOD_MS < SHED_BURST_MS;
  }

  private serviceTime(now: Instant, busy: number): Millis {
    const heavy = this.random.happens(HEAVY_REQUEST_RATIO) ? HEAVY_SERVICE_TIME_FACTOR : 1;
    const contention = 1 + FULL_LOAD_SLOWDOWN_RATIO * (busy / this.slots) ** 2;
    const base =
      this.random.logNormal(MEDIAN_SERVICE_TIME_MS, SERVICE_TIME_LOG_SIGMA) *
      heavy *
      contention *
      this.serviceTimeFactor;
    return base * this.coldFactor(now);
  }

  /** Returns how a request ends that needs `work` milliseconds once connected. */
  private endOfWork(now: Instant, work: Millis): AttemptEnd {
    const endWithoutFault = this.delayedByPauses(
      now + CONNECT_TIME_MS,
      now + CONNECT_TIME_MS + work,
    );
    const at = this.delayedByFault(now, endWithoutFault);
    if (at - now >= REQUEST_TIMEOUT_MS) {
      const result: AttemptResult = { kind: 'timeout', waited: REQUEST_TIMEOUT_MS };
      return { at: now + REQUEST_TIMEOUT_MS, result };
    }
    return { at, result: this.resultAt(at, at - now) };
  }

  /**
   * Returns the end of a request after the next pause's delay. Pauses are drawn in advance, so
   * that one also delays requests that started before it.
   */
  private delayedByPauses(start: Instant, end: Instant): Instant {
    while (this.nextPauseAt + PAUSE_DURATION_MS < start) {
      this.nextPauseAt += PAUSE_DURATION_MS + this.random.exponential(MEAN_PAUSE_INTERVAL_MS);
    }
    return this.nextPauseAt < end
      ? end + this.nextPauseAt + PAUSE_DURATION_MS - Math.max(this.nextPauseAt, start)
      : end;
  }

  /**
   * Returns the end of a request after the fault's delay. When slowness or a hang begins, the
   * remaining work of open requests is delayed too.
   */
  private delayedByFault(start: Instant, end: Instant): Instant {
    const { fault } = this;
    if (!fault || end < fault.from || start >= fault.from + FAULT_DURATION_MS) return end;
    if (fault.kind === 'hang') return Infinity;
    const slowFrom = Math.max(start, fault.from);
    return slowFrom + (end - slowFrom) * slowdownFactor(fault.kind);
  }

  private resultAt(now: Instant, latency: Millis): AttemptResult {
    const fault = this.activeFault(now);
    const error: AttemptResult = { kind: 'error-status', status: 500, latency };
    if (fault === 'wrong-half' && this.random.happens(0.5)) return { kind: 'mismatched' };
    if (fault === 'truncating-half' && this.random.happens(0.5)) return { kind: 'truncated' };
    if (fault === 'errors-30' && this.random.happens(0.3)) return error;
    if (fault === 'flapping' && this.random.happens(FLAP_ERROR_RATIO)) return error;
    const inErrorBurst =
      this.noise.errorBursts &&
      now % ERROR_BURST_PERIOD_MS > ERROR_BURST_PERIOD_MS - ERROR_BURST_MS;
    if (this.random.happens(inErrorBurst ? ERROR_BURST_ERROR_RATIO : BACKGROUND_ERROR_RATIO))
      return error;
    if (this.random.happens(BACKGROUND_RESET_RATIO)) return { kind: 'reset' };
    return { kind: 'ok', latency };
  }
}
