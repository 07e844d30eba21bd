import type { PlatformUpstream } from '../../../standins/platform';

/** Deadline in milliseconds that callers put on each request. */
export const REQUEST_DEADLINE_MS = 1500;

/** Time in milliseconds after its deadline within which a request is answered. */
export const ANSWER_SLACK_MS = 500;

/** The outcome of a request as its caller saw it. */
export interface RequestOutcome {
  readonly id: string;
  readonly kind: 'safe' | 'unsafe';
  /** Index of the gateway that the request was sent to. */
  readonly gateway: number;
  /** Ordinal of the gateway's process at that time; the first start is 1. */
  readonly life: number;
  /** Unix milliseconds. */
  readonly sentAt: number;
  /** Unix milliseconds. */
  readonly endedAt: number;
  /** HTTP status; 0 if the connection ended without a response. */
  readonly status: number;
  /** Request id in the response; empty if there was none. */
  readonly answerId: string;
  /** Whether the response carried a signature. */
  readonly signed: boolean;
  /** The end of the body. */
  readonly body: string;
  /** Whether the response was missing or incomplete. */
  readonly broken: boolean;
}

/**
 * A period from `noWorkAfter` to `rejoinedAt`, in Unix milliseconds, in which a draining upstream
 * must get no new requests.
 */
export interface Departure {
  /** Id of the upstream. */
  readonly id: string;
  readonly noWorkAfter: number;
  readonly rejoinedAt: number;
}

/** A period in Unix milliseconds in which the limit that an upstream announces binds. */
export interface LimitPeriod {
  readonly id: string;
  readonly perSecond: number;
  readonly from: number;
  readonly until: number;
}

const LIMIT_WINDOW_MS = 4000;
/** Time after the start, end or pause of a process in which limits are not checked. */
const DISTURBANCE_MS = 3500;

/** A violated invariant. */
export interface Violation {
  /** The invariant that was violated, as text. */
  readonly promise: string;
  readonly detail: string;
}

/** Statuses with which a gateway states that no upstream ran the request. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const OK_STATUS = 200;
const NOT_FOUND_STATUS = 404;

/** Returns the invariant that one outcome violates, given how often upstreams ran its request. */
const violationOf = (outcome: RequestOutcome, runs: number): Violation | undefined => {
  const { id, kind, status, answerId, signed, body, broken } = outcome;
  const detail = `${JSON.stringify(outcome)} ran ${runs} times`;
  if (status === OK_STATUS && !broken && (!signed || answerId !== id || !body.endsWith(` ${id}`))) {
    return { promise: 'a 200 response is complete, signed and belongs to its request', detail };
  }
  if (kind === 'unsafe' && runs > 1) {
    return { promise: 'a request that is not idempotent runs at most once', detail };
  }
  if (kind === 'unsafe' && NOT_RUN_STATUSES.has(status) && runs > 0) {
    return { promise: 'a request with a "not run" status has not run', detail };
  }
  if (status === NOT_FOUND_STATUS) return { promise: 'a route in force is found', detail };
  return undefined;
};

/** Records the outcomes of one run and checks them against the requests that upstreams ran. */
export class OutcomeRecorder {
  readonly outcomes: RequestOutcome[] = [];

  readonly violations: Violation[] = [];

  readonly departures: Departure[] = [];

  readonly limits: LimitPeriod[] = [];

  /** What was seen and violates nothing. */
  readonly notes: string[] = [];

  /** Periods in Unix milliseconds in which gateways were paused. */
  private readonly pauses: {
    readonly gateway: number;
    readonly from: number;
    readonly until: number;
  }[] = [];

  /** Times at which a gateway's process was started, ended or paused. */
  private readonly disturbedAt: number[] = [];

  /** Processes that ended by a planned stop, as `gateway life`. */
  private readonly stoppedProcesses = new Set<string>();

  /** Newest configuration version seen in force, by process as `gateway life`. */
  private readonly newestVersionSeen = new Map<string, number>();

  /** Records that a gateway's process starts, ends or is paused. */
  noteDisturbance(): void {
    this.disturbedAt.push(Date.now());
  }

  /** Records that a gateway was paused until now. */
  notePause(gateway: number, from: number): void {
    this.pauses.push({ gateway, from, until: Date.now() });
  }

  /** Returns a violation for each request that was not answered in time by a gateway at work. */
  checkDeadlines(): readonly Violation[] {
    return this.outcomes
      .filter(
        ({ status, sentAt, endedAt }) =>
          status === 0 && endedAt - sentAt >= REQUEST_DEADLINE_MS + ANSWER_SLACK_MS,
      )
      .filter(
        ({ gateway, sentAt, endedAt }) =>
          !this.pauses.some(
            (pause) => pause.gateway === gateway && pause.from < endedAt && pause.until > sentAt,
          ),
      )
      .map((outcome) => ({
        promise: 'a request is answered by its deadline',
        detail: JSON.stringify(outcome),
      }));
  }

  /** Returns a violation for each request that has run and that a process not killed cut off. */
  checkLosses(
    upstreams: readonly PlatformUpstream[],
    killed: ReadonlySet<string>,
  ): readonly Violation[] {
    const ran = new Set(upstreams.flatMap(({ runs }) => runs.map(({ id }) => id)));
    return this.outcomes
      .filter(({ id, gateway, life }) => ran.has(id) && !killed.has(`${gateway} ${life}`))
      .filter(
        ({ status, sentAt, endedAt }) => status === 0 && endedAt - sentAt < REQUEST_DEADLINE_MS,
      )
      .map((outcome) => ({
        promise: 'a request that has run is answered',
        detail: JSON.stringify(outcome),
      }));
  }

  /** Returns a violation for each upstream that got more than its limit allows in some window. */
  checkLimits(upstreams: readonly PlatformUpstream[]): readonly Violation[] {
    return this.limits.flatMap(({ id, perSecond, from, until }) => {
      const allowed = (1.5 * perSecond * LIMIT_WINDOW_MS) / 1000 + 5;
      const times = (upstreams.find((upstream) => upstream.id === id)?.received ?? [])
        .map(({ at }) => at)
        .filter((at) => at >= from && at < until);
      const isDisturbed = (start: number): boolean =>
        this.disturbedAt.some((at) => at > start - DISTURBANCE_MS && at < start + LIMIT_WINDOW_MS);
      const counts = times
        .filter((start) => !isDisturbed(start))
        .map((start) => times.filter((at) => at >= start && at < start + LIMIT_WINDOW_MS).length);
      const most = Math.max(0, ...counts);
      if (most <= allowed) return [];
      const detail = `${id} got ${most} requests in 4 s at ${perSecond}/s, ${allowed} allowed`;
      return [{ promise: 'an upstream gets no more than its announced limit allows', detail }];
    });
  }

  /** Records that a gateway's process is about to be stopped as planned. */
  noteStop(gateway: number, life: number): void {
    this.stoppedProcesses.add(`${gateway} ${life}`);
  }

  /**
   * Records whether a request found the route that `version` added. Each version keeps the routes
   * of all versions before it.
   */
  noteVersion(gateway: number, life: number, version: number, isFound: boolean): void {
    const key = `${gateway} ${life}`;
    const newest = this.newestVersionSeen.get(key) ?? 0;
    if (isFound) this.newestVersionSeen.set(key, Math.max(newest, version));
    else if (version <= newest) {
      const detail = `gateway ${key}: version ${newest} was in force, but the route of version ${version} is not found`;
      this.violations.push({
        promise: 'a gateway process never returns to an older configuration',
        detail,
      });
    }
  }

  /** Returns all violations; call it when all requests have ended and no upstream runs one. */
  check(upstreams: readonly PlatformUpstream[]): readonly Violation[] {
    const runs = new Map<string, number>();
    upstreams.forEach((upstream) =>
      upstream.runs.forEach(({ id }) => runs.set(id, (runs.get(id) ?? 0) + 1)),
    );
    const wrongOutcomes = this.outcomes.flatMap(
      (outcome) => violationOf(outcome, runs.get(outcome.id) ?? 0) ?? [],
    );
    const cutOff = this.outcomes
      .filter(
        ({ id, gateway, life }) => runs.has(id) && this.stoppedProcesses.has(`${gateway} ${life}`),
      )
      .filter(
        ({ status, sentAt, endedAt }) => status === 0 && endedAt - sentAt < REQUEST_DEADLINE_MS,
      )
      .map((outcome) => ({
        promise: 'a planned stop breaks off no request',
        detail: JSON.stringify(outcome),
      }));
    return [...this.violations, ...wrongOutcomes, ...cutOff];
  }

  /** Returns a violation for each request that an upstream got too long after it began to drain. */
  checkDepartures(upstreams: readonly PlatformUpstream[]): readonly Violation[] {
    return this.departures.flatMap(({ id, noWorkAfter, rejoinedAt }) => {
      const runs = upstreams.find((upstream) => upstream.id === id)?.runs ?? [];
      return runs
        .filter(({ at }) => at > noWorkAfter && at < rejoinedAt)
        .map((run) => ({
          promise: 'a draining upstream gets no new requests',
          detail: `${id} ran ${run.id} ${run.at - noWorkAfter} ms after the bound`,
        }));
    });
  }
}
