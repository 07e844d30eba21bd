/** Faults, set by the JSON body of `POST /_control`. A field that is left out keeps its value. */
export interface UpstreamControl {
  /** Factor on the time that a request takes. */
  readonly slowFactor: number;
  /** Ratio of requests answered 500 after they ran. */
  readonly errorRatio: number;
  /** Ratio of answers that carry another request's id and body; `true` is 1. */
  readonly wrong: number | boolean;
  /** Ratio of answers that end before their content-length. */
  readonly truncateRatio: number;
  /** Whether requests start to run and never end. */
  readonly hang: boolean;
  /** Period of alternation between healthy and answering 500, in milliseconds; 0 is off. */
  readonly flapPeriodMs: number;
  /**
   * Fixed answer of the health endpoint; `true` is `ok`. The load endpoint then reports no load.
   */
  readonly misleadingHealth: boolean | 'ok' | 'bad';
  /** Maximum age of the load endpoint's figures in milliseconds. */
  readonly loadLagMs: number;
  /** Whether new requests are shed because the upstream is to stop. */
  readonly draining: boolean;
  /** Time in milliseconds from now during which requests are shed as `cold`. */
  readonly coldUntilMs: number;
  /** Ratio of requests shed as `busy` although a slot is free. */
  readonly shedRatio: number;
  /** Ratio of requests whose connection is closed, half of them before the request runs. */
  readonly resetRatio: number;
  /** Every `gcEveryMs` milliseconds the upstream pauses for `gcPauseMs` milliseconds; 0 is off. */
  readonly gcPauseMs: number;
  readonly gcEveryMs: number;
}

export const NO_FAULTS: UpstreamControl = {
  slowFactor: 1,
  errorRatio: 0,
  wrong: 0,
  truncateRatio: 0,
  hang: false,
  flapPeriodMs: 0,
  misleadingHealth: false,
  loadLagMs: 0,
  draining: false,
  coldUntilMs: 0,
  shedRatio: 0,
  resetRatio: 0,
  gcPauseMs: 0,
  gcEveryMs: 0,
};

/** Minimum ratio of failing requests at which the health endpoint answers `bad`. */
const UNHEALTHY_ERROR_RATIO = 0.5;

/** Why a request is shed. */
export type ShedCause = 'busy' | 'draining' | 'cold';

/** The faults in force. Times are Unix milliseconds. */
export class Faults {
  private current: UpstreamControl = NO_FAULTS;

  /** Time of the last change; flapping and pauses count from it. */
  private changedAt = 0;

  private coldUntil = 0;

  get control(): UpstreamControl {
    return this.current;
  }

  apply(change: Partial<UpstreamControl>, now: number): void {
    this.current = { ...this.current, ...change };
    this.changedAt = now;
    if (change.coldUntilMs !== undefined) this.coldUntil = now + change.coldUntilMs;
  }

  get wrongRatio(): number {
    return Number(this.current.wrong);
  }

  /** Returns the ratio of requests to fail at `now`. */
  errorRatio(now: number): number {
    const { flapPeriodMs, errorRatio } = this.current;
    if (flapPeriodMs <= 0) return errorRatio;
    const isFailingPeriod = Math.floor((now - this.changedAt) / flapPeriodMs) % 2 === 1;
    return isFailingPeriod ? 1 : errorRatio;
  }

  /** Returns the rest of the current pause in milliseconds; 0 outside a pause. */
  pauseLeftMs(now: number): number {
    const { gcPauseMs, gcEveryMs } = this.current;
    if (gcPauseMs <= 0 || gcEveryMs <= 0) return 0;
    return Math.max(0, gcPauseMs - ((now - this.changedAt) % gcEveryMs));
  }

  /** Returns the reason to shed requests even when slots are free, if there is one. */
  stateShedCause(now: number): ShedCause | undefined {
    if (this.current.draining) return 'draining';
    return now < this.coldUntil ? 'cold' : undefined;
  }

  /** Returns the status that the health endpoint reports. */
  answerHealth(now: number): 'ok' | 'bad' | 'draining' | 'cold' {
    const { misleadingHealth, hang } = this.current;
    if (misleadingHealth !== false) return misleadingHealth === 'bad' ? 'bad' : 'ok';
    const cause = this.stateShedCause(now);
    if (cause === 'draining' || cause === 'cold') return cause;
    return hang || this.errorRatio(now) >= UNHEALTHY_ERROR_RATIO ? 'bad' : 'ok';
  }
}
