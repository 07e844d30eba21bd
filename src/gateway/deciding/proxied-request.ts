import {
  nextStep,
  type AttemptOutcome,
  type RetryPurpose,
  type RetryStanding,
} from '../../core/gateway';
import type { UpstreamStats } from '../../core/placement';
import { isIdempotent, type GatewayRoute, type Instant, type Millis } from '../../model';

import { disabledIn } from '../context';
import { runAttempt, type RequestContext } from './attempt';
import type { CallerRequest } from '../request/caller-request';
import { FallbackAnswer } from './fallback-answer';
import { hasNotRun, type GatewayReply } from '../sending/gateway-reply';
import { endWithHedge, startCancellable, type AttemptResult, type RunningAttempt } from './hedging';
import { placementRequestOf } from './placement-request';
import { RequestRetries } from './request-retries';
import type { QueueablePlacement } from '../scheduling/queued-placement';
import { PATH_CUT_RETRY_AFTER_MS, type RelayedRequest } from '../sending/peer-relay';
import type { ServiceScheduler } from '../scheduling/service-scheduler';

/** Minimum time left for another attempt, as a ratio of the mean latency of the route. */
const MIN_ATTEMPT_LATENCY_RATIO = 0.6;
/**
 * Retry-After in milliseconds where no upstream is available; the store is read about once a
 * second.
 */
const NO_UPSTREAM_RETRY_AFTER_MS: Millis = 1000;
/** Largest Retry-After in milliseconds of a request that crashes upstreams. */
const MAX_HELD_RETRY_AFTER_MS: Millis = 300_000;

/** Carries one caller's request through attempts at upstreams to a reply. */
export class ProxiedRequest {
  private readonly idempotent: boolean;

  /** The earlier of the caller's deadline and the end of the route's timeout. */
  private readonly deadline: Instant;

  /** How many upstreams may run the request. */
  private readonly maxRuns: number;

  /** Ids of the upstreams that have been attempted. */
  private readonly tried = new Set<string>();

  /** Number of attempts in which the request ran or may have run. */
  private runs = 0;

  /** Whether the request is held back and sent once for a trial. */
  private isTrial = false;

  /** Number of attempts so far, hedges included. */
  attemptCount = 0;

  /** Id of the upstream of the last attempt; empty before the first. */
  lastUpstream = '';

  private readonly retries: RequestRetries;

  /** The answer that is passed on if no better one arrives. */
  private readonly fallback = new FallbackAnswer();

  constructor(
    private readonly context: RequestContext,
    private readonly request: CallerRequest,
    private readonly route: GatewayRoute,
    private readonly scheduler: ServiceScheduler,
  ) {
    this.idempotent = isIdempotent(route.kind);
    this.deadline = Math.min(request.deadline, request.arrivedAt + route.timeout);
    this.maxRuns = Math.min(route.maxAttempts, request.relayTerms?.maxRuns ?? route.maxAttempts);
    this.retries = new RequestRetries(context, scheduler, this.priority);
  }

  /** The priority of the request's workspace, or else of its route; 0 is the most urgent. */
  private get priority(): number {
    return this.request.workspace?.priority ?? this.route.priority;
  }

  /** What was left of the retry budget when it last refused a retry; undefined if it has not. */
  get retryRefusal(): RetryStanding | undefined {
    return this.retries.refusal;
  }

  /** Makes attempts until there is a reply; may be called once. */
  async run(): Promise<GatewayReply> {
    this.retries.recordRequest();
    const reply = await this.attemptUntilReply();
    this.fallback.discardUnless(reply);
    return reply;
  }

  private async attemptUntilReply(): Promise<GatewayReply> {
    for (;;) {
      const ended = this.replyIfHeld() ?? this.replyIfExpired();
      if (ended) return ended;
      const relayed = await this.relayIfCut();
      if (relayed) return relayed;
      const placed = await this.scheduler.place(this.placementRequest(), this.request.id);
      switch (placed.kind) {
        case 'cancelled':
          return { kind: 'nobody' };
        case 'none': {
          const late = await this.relayIfCut();
          if (late) return late;
          return this.finalReply('no-upstream', NO_UPSTREAM_RETRY_AFTER_MS);
        }
        case 'refused':
          return this.finalReply(placed.why, placed.retryAfter);
        case 'send': {
          const result = await this.attemptWithHedge(placed.stats, placed.why);
          if (result.reply) return result.reply;
          const refusal = this.replyAfterFailure(result.outcome);
          if (refusal) return refusal;
        }
      }
    }
  }

  /** Makes an attempt, with a hedge beside it if the request may be sent twice. */
  private attemptWithHedge(stats: UpstreamStats, why: string): Promise<AttemptResult> {
    const first = this.startAttempt(stats, why);
    if (!this.mayHedge()) return first.ended;
    return endWithHedge(first, {
      clock: this.context.clock,
      meanLatency: () => this.scheduler.balancer.meanLatency(this.route.name),
      startHedge: (provenOnly, purpose) => this.startHedge(provenOnly, purpose),
    });
  }

  /** Returns the reply to a request that is held back because it crashes upstreams. */
  private replyIfHeld(): GatewayReply | undefined {
    const { crashes, clock } = this.context;
    const standing = crashes.standingOf(this.request);
    switch (standing.kind) {
      case 'clear':
      case 'suspect':
        return undefined;
      case 'trial':
        this.isTrial = true;
        crashes.recordTrial(this.request);
        return undefined;
      case 'held':
        crashes.recordRefusal(this.request);
        return this.finalReply(
          'crashes-upstreams',
          Math.min(MAX_HELD_RETRY_AFTER_MS, standing.until - clock.now()),
        );
    }
  }

  /** Returns the reply to a request whose time is over, as it was read late. */
  private replyIfExpired(): GatewayReply | undefined {
    if (this.context.clock.now() < this.deadline) return undefined;
    return this.finalReply('expired', this.scheduler.retryAfter(this.placementRequest()));
  }

  /**
   * Passes the request on to another gateway if this one's path to the upstreams is cut; undefined
   * if it is to be sent from here. It is passed on once, and a request that was passed on to here is
   * refused.
   */
  private async relayIfCut(): Promise<GatewayReply | undefined> {
    const { path, relay } = this.context;
    if (!path.isCut) return undefined;
    if (this.request.relayTerms) {
      return this.finalReply('path-cut', PATH_CUT_RETRY_AFTER_MS);
    }
    if (this.runs >= this.maxRuns) return undefined;
    // The peer that sends the request counts it against the workspace's quota.
    if (this.runs === 0 && relay.hasPeers(this.scheduler.name)) this.request.quotaToken?.giveBack();
    const result = await relay.run(this.relayedRequest(this.request.signal));
    switch (result.kind) {
      case 'replied':
        return this.runs > 0 && hasNotRun(result.reply)
          ? this.finalReply('path-cut', PATH_CUT_RETRY_AFTER_MS)
          : result.reply;
      case 'unknown':
        this.runs += 1;
        return this.finalReply(result.why, PATH_CUT_RETRY_AFTER_MS);
      case 'alone':
        return undefined;
    }
  }

  private relayedRequest(signal: AbortSignal): RelayedRequest {
    const { request, idempotent, deadline } = this;
    const maxRuns = this.maxRuns - this.runs;
    const mayOffer = (isRepeat: boolean): boolean => this.retries.mayOffer(isRepeat);
    const service = this.scheduler.name;
    return { request, service, idempotent, maxRuns, deadline, signal, mayOffer };
  }

  /** Starts a hedge through another gateway, beside an attempt on a path that is cut. */
  private startRelayedHedge(purpose: RetryPurpose): RunningAttempt | undefined {
    const { relay } = this.context;
    if (this.request.relayTerms) return undefined;
    if (!this.retries.take(purpose)) return undefined;
    return startCancellable(this.request.signal, async (signal) => {
      const result = await relay.run(this.relayedRequest(signal));
      if (result.kind === 'replied' && result.reply.kind === 'answer') {
        return { outcome: { kind: 'served' }, reply: result.reply };
      }
      return { outcome: { kind: 'unknown', why: 'path-cut' } };
    });
  }

  /** Whether the request may be sent a second time as far as crashes of upstreams are concerned. */
  private mayCrashAnother(): boolean {
    return this.context.crashes.standingOf(this.request).kind === 'clear';
  }

  /** Whether a hedge beside the running attempt stays within the attempts that the route allows. */
  private mayHedge(): boolean {
    if (disabledIn(this.context).has('hedges')) return false;
    return this.idempotent && this.runs + 2 <= this.maxRuns;
  }

  /**
   * Starts a hedge; undefined if no upstream is free, or none proven healthy if `provenOnly`, or if
   * the retry budget is spent.
   */
  private startHedge(provenOnly: boolean, purpose: RetryPurpose): RunningAttempt | undefined {
    const { scheduler, context } = this;
    if (!this.mayCrashAnother()) return undefined;
    if (context.path.isCut) return this.startRelayedHedge(purpose);
    const placed = scheduler.placeNow(
      this.placementRequest(),
      this.request.id,
      ({ why }) => (why === 'proven' || !provenOnly) && this.retries.take(purpose),
    );
    return placed?.kind === 'send' ? this.startAttempt(placed.stats, 'hedge') : undefined;
  }

  /** Starts an attempt at an upstream. */
  private startAttempt(stats: UpstreamStats, why: string): RunningAttempt {
    return startCancellable(this.request.signal, (signal) => this.attempt(stats, why, signal));
  }

  /** Returns the reply after a failed attempt; undefined if the request may be retried. */
  private replyAfterFailure(outcome: AttemptOutcome): GatewayReply | undefined {
    const now = this.context.clock.now();
    if (outcome.kind === 'cancelled') return { kind: 'nobody' };
    const step = nextStep(outcome, {
      idempotent:
        this.idempotent && this.mayCrashAnother() && !disabledIn(this.context).has('retries'),
      runs: this.runs,
      maxRuns: this.maxRuns,
      hasTime:
        this.deadline - now >
        MIN_ATTEMPT_LATENCY_RATIO * this.scheduler.balancer.meanLatency(this.route.name),
    });
    const why = outcome.kind === 'unknown' || outcome.kind === 'not-run' ? outcome.why : 'failed';
    if (step.kind === 'end') return this.finalReply(why, NO_UPSTREAM_RETRY_AFTER_MS);
    if (!step.counted || this.retries.take('failed')) return undefined;
    return this.finalReply('no-repeat-left', this.scheduler.retryAfter(this.placementRequest()));
  }

  /** Returns the reply when no further attempt is made. */
  private finalReply(why: string, retryAfter: Millis): GatewayReply {
    if (this.fallback.answer) return this.fallback.answer;
    if (this.runs === 0) return { kind: 'refused', why, retryAfter };
    return { kind: 'lost', why, isTimeout: why === 'timeout' };
  }

  /** Describes to the scheduler what an attempt made now needs. */
  private placementRequest(): QueueablePlacement {
    const { request, route, priority, deadline, tried } = this;
    const { balancer } = this.scheduler;
    const retryable = this.idempotent && this.runs + 1 < this.maxRuns;
    const next = { request, route, balancer, priority, deadline, retryable, tried };
    return placementRequestOf(this.context, next);
  }

  /** Makes one attempt, and keeps an answer that may serve as the fallback. */
  private async attempt(
    stats: UpstreamStats,
    why: string,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    this.tried.add(stats.upstream.id);
    this.lastUpstream = stats.upstream.id;
    this.attemptCount += 1;
    const { outcome, result } = await runAttempt(this.context, {
      request: this.request,
      route: this.route,
      scheduler: this.scheduler,
      stats,
      why,
      number: this.attemptCount,
      grant: this.retries.lastGrant,
      isHeld: () => !this.isTrial && this.context.crashes.standingOf(this.request).kind === 'held',
      deadline: this.deadline,
      signal,
    });
    if (outcome.kind === 'failed' || outcome.kind === 'unknown') this.runs += 1;
    if (result.kind !== 'answered') return { outcome };
    const { head, body } = result;
    const reply = { kind: 'answer', head, body, upstream: stats.upstream } as const;
    if (outcome.kind === 'served') return { outcome, reply };
    this.fallback.offer(outcome, reply);
    return { outcome };
  }
}
