import type { RetryStanding } from '../../core/gateway';
import { isIdempotent, type GatewayRoute, type Instant, type Millis } from '../../model';
import type { Clock, EventField, Telemetry } from '../../ports';

import type { GatewayReply } from '../sending/gateway-reply';
import type { CallerRequest } from '../request/caller-request';
import type { ServiceScheduler } from '../scheduling/service-scheduler';
import { keyDigestOf, type AccessRefusal } from '../arriving/workspace-access';

/** The attempts that a request has taken. */
export interface AttemptSummary {
  /** Number of attempts, hedges included. */
  readonly attemptCount: number;
  /** Id of the upstream of the last attempt; empty without one. */
  readonly lastUpstream: string;
  /** What was left of the retry budget when it last refused a retry; undefined if it has not. */
  readonly retryRefusal: RetryStanding | undefined;
}

/** A request that has ended, with what its log line reports. */
export interface EndedRequest {
  readonly request: CallerRequest;
  readonly route: GatewayRoute;
  readonly scheduler: ServiceScheduler;
  readonly attempts: AttemptSummary;
  readonly reply: GatewayReply;
  readonly configVersion: number;
  /**
   * Time in milliseconds since the last successful read of the upstream feed; -1 before the first.
   */
  readonly upstreamsAge: Millis;
}

/** A request that is not served because of its key, its workspace's quota or a planned stop. */
export interface DeniedRequest {
  readonly request: CallerRequest;
  readonly route: GatewayRoute;
  readonly reply: AccessRefusal;
}

/** Maximum number of log lines a second for successful requests; failures are always logged. */
const MAX_ROUTINE_LINES_PER_SECOND = 20;
const SECOND_MS: Millis = 1000;
/** The lowest HTTP status that is an error. */
const FIRST_ERROR_STATUS = 400;

/** Returns the fields of a log line that tell what was left of a retry budget. */
export const budgetFieldsOf = ({
  sharers,
  left,
  credit,
}: RetryStanding): Readonly<Record<string, EventField>> => ({
  budgetSharers: sharers,
  budgetLeft: Math.floor(left),
  budgetCredit: Math.floor(credit),
});

/** Writes one log line for each request; lines on successful requests are limited in rate. */
export class RequestLog {
  private secondEndsAt: Instant = 0;

  /** Routine lines written in the current second. */
  private writtenCount = 0;

  /** Routine lines left out in the current second; reported when the next one begins. */
  private omittedCount = 0;

  constructor(
    private readonly clock: Clock,
    private readonly telemetry: Telemetry,
  ) {}

  /** Writes the log line and the metrics of a request that has ended. */
  logEnded({
    request,
    route,
    scheduler,
    attempts,
    reply,
    configVersion,
    upstreamsAge,
  }: EndedRequest): void {
    const took = this.clock.now() - request.arrivedAt;
    const late = took > route.latencyObjective;
    const readDelay = request.readAt - request.arrivedAt;
    const status = reply.kind === 'answer' ? reply.head.status : 0;
    const fields = {
      request: request.id,
      route: route.name,
      ...(request.workspace ? { workspace: request.workspace.name } : {}),
      service: scheduler.name,
      outcome: reply.kind,
      ...('why' in reply ? { why: reply.why } : {}),
      ...('retryAfter' in reply ? { retryAfterMs: Math.round(reply.retryAfter) } : {}),
      ...(status > 0 ? { status } : {}),
      attempts: attempts.attemptCount,
      upstream: attempts.lastUpstream,
      tookMs: Math.round(took),
      waiting: scheduler.waitingCount,
      config: configVersion,
      upstreamsAgeMs: Math.round(upstreamsAge),
      idempotent: isIdempotent(route.kind),
      ...(late ? { late } : {}),
      ...(attempts.retryRefusal ? budgetFieldsOf(attempts.retryRefusal) : {}),
      ...(readDelay > 0 ? { readDelayMs: Math.round(readDelay) } : {}),
    };
    const isRoutine =
      reply.kind === 'answer' &&
      status < FIRST_ERROR_STATUS &&
      attempts.attemptCount === 1 &&
      !late;
    if (isRoutine) this.logRoutine('request', fields);
    else this.logNotable('request', fields);
    this.telemetry.latency('request', took);
    this.telemetry.count('requests', { service: scheduler.name, outcome: reply.kind });
  }

  /** Writes the log line and the metrics of a request that is denied. */
  logDenied({ request, route, reply }: DeniedRequest): void {
    const { apiKey = '', workspace } = request;
    this.logNotable('request', {
      request: request.id,
      route: route.name,
      outcome: reply.kind,
      ...('why' in reply ? { why: reply.why } : {}),
      ...('retryAfter' in reply ? { retryAfterMs: Math.round(reply.retryAfter) } : {}),
      ...(workspace ? { workspace: workspace.name } : {}),
      ...(apiKey === '' ? {} : { keyDigest: keyDigestOf(apiKey) }),
      tookMs: Math.round(this.clock.now() - request.arrivedAt),
    });
    this.telemetry.count('requests_denied', { outcome: reply.kind });
  }

  /** Logs a request or attempt that failed, was refused or retried. */
  logNotable(name: string, fields: Readonly<Record<string, EventField>>): void {
    this.telemetry.event(name, fields);
  }

  /**
   * Logs a request that succeeded at its first attempt, unless the limit for this second is
   * reached.
   */
  logRoutine(name: string, fields: Readonly<Record<string, EventField>>): void {
    const now = this.clock.now();
    if (now >= this.secondEndsAt) this.startSecond(now);
    if (this.writtenCount >= MAX_ROUTINE_LINES_PER_SECOND) {
      this.omittedCount += 1;
      return;
    }
    this.writtenCount += 1;
    this.telemetry.event(name, fields);
  }

  private startSecond(now: Instant): void {
    this.secondEndsAt = now + SECOND_MS;
    this.writtenCount = 0;
    if (this.omittedCount === 0) return;
    this.telemetry.event('served-left-out', { requests: this.omittedCount });
    this.omittedCount = 0;
  }
}
