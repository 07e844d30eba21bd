import type { GatewayRoute, Instant, Millis } from '../model';
import type { Clock, EventField, Telemetry } from '../ports';

import type { ProxiedRequest, GatewayReply } from './proxied-request';
import type { CallerRequest } from './forwarding';
import type { ServiceScheduler } from './service-scheduler';

/** A request that has ended, and what decided its end. */
export interface EndedRequest {
  readonly request: CallerRequest;
  readonly route: GatewayRoute;
  readonly scheduler: ServiceScheduler;
  readonly call: ProxiedRequest;
  readonly reply: GatewayReply;
  readonly configVersion: number;
  /** Since the upstreams were last read. */
  readonly upstreamsAge: Millis;
}

/** Lines a second on requests that went as they should; failures are not bounded by it. */
const ROUTINE_PER_SECOND = 20;
const SECOND: Millis = 1000;
const FIRST_ERROR_STATUS = 400;

/** Writes one line a request; of those that went as they should, no more than a set rate. */
export class RequestLog {
  private secondEndsAt: Instant = 0;

  private written = 0;

  private leftOut = 0;

  constructor(
    private readonly clock: Clock,
    private readonly telemetry: Telemetry,
  ) {}

  /** The one line and the metrics of a request that has ended. */
  ended({
    request,
    route,
    scheduler,
    call,
    reply,
    configVersion,
    upstreamsAge,
  }: EndedRequest): void {
    const took = this.clock.now() - request.arrivedAt;
    const status = reply.kind === 'answer' ? reply.head.status : 0;
    const fields = {
      request: request.id,
      route: route.name,
      service: scheduler.name,
      outcome: reply.kind,
      ...('why' in reply ? { why: reply.why } : {}),
      ...('retryAfter' in reply ? { retryAfterMs: Math.round(reply.retryAfter) } : {}),
      ...(status > 0 ? { status } : {}),
      attempts: call.sends,
      upstream: call.lastUpstream,
      tookMs: Math.round(took),
      waiting: scheduler.waiting,
      config: configVersion,
      upstreamsAgeMs: Math.round(upstreamsAge),
    };
    const isRoutine = reply.kind === 'answer' && status < FIRST_ERROR_STATUS && call.sends === 1;
    if (isRoutine) this.routine('request', fields);
    else this.notable('request', fields);
    this.telemetry.latency('request', took);
    this.telemetry.count('requests', { service: scheduler.name, outcome: reply.kind });
  }

  /** A request or attempt that failed, was refused or repeated. */
  notable(name: string, fields: Readonly<Record<string, EventField>>): void {
    this.telemetry.event(name, fields);
  }

  /** A request that was served at its first attempt. */
  routine(name: string, fields: Readonly<Record<string, EventField>>): void {
    const now = this.clock.now();
    if (now >= this.secondEndsAt) this.startSecond(now);
    if (this.written >= ROUTINE_PER_SECOND) {
      this.leftOut += 1;
      return;
    }
    this.written += 1;
    this.telemetry.event(name, fields);
  }

  private startSecond(now: Instant): void {
    this.secondEndsAt = now + SECOND;
    this.written = 0;
    if (this.leftOut === 0) return;
    this.telemetry.event('served-left-out', { requests: this.leftOut });
    this.leftOut = 0;
  }
}
