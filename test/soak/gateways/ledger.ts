import type { PlatformUpstream } from '../../../standins/platform';

/** Milliseconds that callers wait. */
export const DEADLINE = 1500;

/** A request as its caller saw it end. */
export interface Ending {
  readonly id: string;
  readonly kind: 'safe' | 'unsafe';
  readonly gateway: number;
  /** The gateway's process that it was sent to, counted from its first start. */
  readonly life: number;
  /** Unix milliseconds. */
  readonly sentAt: number;
  readonly endedAt: number;
  /** 0 if the connection ended without an answer. */
  readonly status: number;
  readonly answerId: string;
  readonly signed: boolean;
  readonly body: string;
  /** The answer ended before its end. */
  readonly broken: boolean;
}

/** An upstream that leaves: no new work from `by` until `until`, Unix milliseconds. */
export interface Departure {
  readonly id: string;
  readonly by: number;
  readonly until: number;
}

/** A promise that did not hold. */
export interface Breach {
  readonly promise: string;
  readonly detail: string;
}

const PROMISES_NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const OK = 200;
const NOT_FOUND = 404;

const breachOf = (ending: Ending, runs: number): Breach | undefined => {
  const { id, kind, status, answerId, signed, body, broken } = ending;
  const detail = `${JSON.stringify(ending)} ran ${runs} times`;
  if (status === OK && !broken && (!signed || answerId !== id || !body.endsWith(` ${id}`))) {
    return { promise: 'a success is the whole answer to its own request', detail };
  }
  if (kind === 'unsafe' && runs > 1) {
    return { promise: 'what is not idempotent runs at most once', detail };
  }
  if (kind === 'unsafe' && PROMISES_NOT_RUN.has(status) && runs > 0) {
    return { promise: '"not run" is true', detail };
  }
  if (status === NOT_FOUND) return { promise: 'a route that is in force is found', detail };
  return undefined;
};

/** What was promised and seen in one run, from the callers' and the upstreams' side. */
export class Ledger {
  readonly endings: Ending[] = [];

  readonly breaches: Breach[] = [];

  readonly departures: Departure[] = [];

  /** Processes that ended by a planned stop, `gateway life`. */
  private readonly stopped = new Set<string>();

  /** Configurations that some request has shown to be in force, by gateway and process. */
  private readonly shown = new Map<string, number>();

  stopping(gateway: number, life: number): void {
    this.stopped.add(`${gateway} ${life}`);
  }

  /** Notes a request for the route that version `version` has added. */
  sawVersion(gateway: number, life: number, version: number, isFound: boolean): void {
    const key = `${gateway} ${life}`;
    const newest = this.shown.get(key) ?? 0;
    if (isFound) this.shown.set(key, Math.max(newest, version));
    else if (version <= newest) {
      const detail = `gateway ${key}: version ${newest} was in force, ${version} is not`;
      this.breaches.push({ promise: 'the configuration never goes back', detail });
    }
  }

  /** Checks what can be told when all requests have ended and nothing runs any more. */
  check(upstreams: readonly PlatformUpstream[]): readonly Breach[] {
    const runs = new Map<string, number>();
    upstreams.forEach((upstream) =>
      upstream.runs.forEach(({ id }) => runs.set(id, (runs.get(id) ?? 0) + 1)),
    );
    const found = this.endings.flatMap(
      (ending) => breachOf(ending, runs.get(ending.id) ?? 0) ?? [],
    );
    const cutOff = this.endings
      .filter(({ id, gateway, life }) => runs.has(id) && this.stopped.has(`${gateway} ${life}`))
      .filter(({ status, sentAt, endedAt }) => status === 0 && endedAt - sentAt < DEADLINE)
      .map((ending) => ({
        promise: 'a planned stop cuts off nothing',
        detail: JSON.stringify(ending),
      }));
    return [...this.breaches, ...found, ...cutOff];
  }

  /** Checks what upstreams got after they had said that they leave. */
  checkDepartures(upstreams: readonly PlatformUpstream[]): readonly Breach[] {
    return this.departures.flatMap(({ id, by, until }) => {
      const runs = upstreams.find((upstream) => upstream.id === id)?.runs ?? [];
      return runs
        .filter(({ at }) => at > by && at < until)
        .map((run) => ({
          promise: 'an upstream that leaves gets no new work',
          detail: `${id} ran ${run.id} ${run.at - by} ms too late`,
        }));
    });
  }
}
