import type { LogEvent } from './log';
import { UpstreamHistory, type KnownBefore } from './upstream-history';

/**
 * Why a request was not served within its objective:
 * - `known-faulty`: sent to an upstream whose last answer, at any host, was a failure;
 * - `never-seen`: sent to an upstream of which no host had had an answer;
 * - `turned`: the last answer was good, and the upstream failed the request before it could run;
 * - `own-failure`: the last answer was good, and the upstream failed the request while it ran;
 * - `retry-budget`: rejected by upstreams, with no retry left;
 * - `no-room`: refused, as no slot would be free in time;
 * - `no-answer`: no answer before the deadline, or the connection to the upstream broke;
 * - `late`: served after the objective;
 * - `other`: refused for another reason.
 */
export type LossCause =
  | 'known-faulty'
  | 'never-seen'
  | 'turned'
  | 'own-failure'
  | 'retry-budget'
  | 'no-room'
  | 'no-answer'
  | 'late'
  | 'other';

/** A request that was not served within its objective. */
export interface Loss {
  readonly request: string;
  readonly host: string;
  /** Second of the day in which it ended. */
  readonly second: number;
  readonly service: string;
  readonly route: string;
  readonly idempotent: boolean;
  readonly cause: LossCause;
  /** Why its last attempt was placed where it was; empty if there was none. */
  readonly placed: string;
  /** Fault probability that the host believed in at the last attempt; undefined without one. */
  readonly believed: number | undefined;
  /** Age in milliseconds of the host's last evidence of that upstream. */
  readonly evidenceAgeMs: number | undefined;
  readonly known: KnownBefore['last'];
}

/**
 * Time in milliseconds up to which a failure is too early for the request to have run; the fastest
 * requests of the users' deployments take several times as long.
 */
const EARLY_FAILURE_MS = 50;
const FIRST_SERVER_ERROR_STATUS = 500;

const text = (value: unknown): string => (typeof value === 'string' ? value : '');
const number = (value: unknown): number | undefined =>
  typeof value === 'number' ? value : undefined;

const causeOfFailure = (attempt: LogEvent, known: KnownBefore['last']): LossCause => {
  if (attempt.fields.outcome === 'unknown') return 'no-answer';
  if (!known) return 'never-seen';
  if (!known.good) return 'known-faulty';
  return (number(attempt.fields.tookMs) ?? 0) <= EARLY_FAILURE_MS ? 'turned' : 'own-failure';
};

const causeOf = (
  request: LogEvent,
  last: LogEvent | undefined,
  known: KnownBefore['last'],
): LossCause | undefined => {
  const { outcome, status, why, late } = request.fields;
  switch (outcome) {
    case 'answer':
      if ((number(status) ?? 0) < FIRST_SERVER_ERROR_STATUS) return late ? 'late' : undefined;
      return last ? causeOfFailure(last, known) : 'other';
    case 'lost':
      return 'no-answer';
    case 'refused':
      if (why === 'no-repeat-left') return 'retry-budget';
      return why === 'no-room' ? 'no-room' : 'other';
    default:
      return undefined;
  }
};

/** Returns the requests that were not served within their objective, in order of time. */
export const findLosses = (events: readonly LogEvent[]): readonly Loss[] => {
  const history = new UpstreamHistory(events);
  const lastAttempts = new Map<string, LogEvent>();
  events.forEach((event) => {
    if (event.name === 'attempt') lastAttempts.set(text(event.fields.request), event);
  });
  return events.flatMap((event) => {
    if (event.name !== 'request') return [];
    const { fields } = event;
    const last = lastAttempts.get(text(fields.request));
    const sentAt = last ? last.at - (number(last.fields.tookMs) ?? 0) : event.at;
    const { last: known } = history.before(text(last?.fields.upstream), sentAt);
    const cause = causeOf(event, last, known);
    if (!cause) return [];
    return [
      {
        request: text(fields.request),
        host: event.host,
        second: Math.floor(event.at / 1000),
        service: text(fields.service),
        route: text(fields.route),
        idempotent: fields.idempotent === true,
        cause,
        placed: text(last?.fields.placed),
        believed: number(last?.fields.illBefore),
        evidenceAgeMs: number(last?.fields.evidenceAgeMs),
        known,
      },
    ];
  });
};
