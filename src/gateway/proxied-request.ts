import { setTimeout as sleep } from 'node:timers/promises';

import { nextStep, type AttemptOutcome } from '../core/gateway';
import type { UpstreamStats } from '../core/placement';
import { isIdempotent, type GatewayRoute, type Instant, type Millis } from '../model';

import type { AnswerHead } from './answer-parser';
import { runAttempt, type CallContext } from './attempt';
import { PROMISES_NOT_RUN, UNFRAMED, type CallerRequest } from './forwarding';
import type { ServiceScheduler } from './service-scheduler';
import type { AnswerBody } from './upstream-connection';

/** What a caller is told. */
export type GatewayReply =
  /** An upstream's own answer. */
  | { readonly kind: 'answer'; readonly head: AnswerHead; readonly body: AnswerBody }
  /** This gateway's refusal; the request has not run. */
  | { readonly kind: 'refused'; readonly why: string; readonly retryAfter: Millis }
  /** The request has run or may have, and there is no answer. */
  | { readonly kind: 'lost'; readonly why: string; readonly isLate: boolean }
  /** The caller has left. */
  | { readonly kind: 'nobody' };

/** How an attempt ended, and the answer that may be passed on. */
interface AttemptEnd {
  readonly outcome: AttemptOutcome;
  readonly reply?: GatewayReply;
}

/** An attempt under way. */
interface Leg {
  readonly ended: Promise<AttemptEnd>;
  readonly cancel: () => void;
}

/** The least time for an attempt to make sense, in parts of the usual latency. */
const LEAST_ATTEMPT = 0.6;
/** Part of the objective for which a request may wait, less what it usually takes to run. */
const OBJECTIVE_FOR_START = 0.95;
/** Part of the objective for which a request may wait in any case. */
const LEAST_WAIT = 0.125;
/** A second attempt starts beside one that takes this many times the usual latency. */
const HEDGE_AFTER = 2.5;
/** Retry-After where no upstream of a service is known; the store is read about once a second. */
const NO_UPSTREAM_RETRY: Millis = 1000;

/** Lets go of an answer that nobody reads, so that its connection is not held. */
const discard = ({ reply }: AttemptEnd): void => {
  if (reply?.kind === 'answer' && reply.body.kind === 'stream') reply.body.stream.destroy();
};

/** One caller's request on its way through this gateway. */
export class ProxiedRequest {
  private readonly idempotent: boolean;

  private readonly deadline: Instant;

  private readonly tried = new Set<string>();

  private runs = 0;

  /** Attempts so far. */
  sends = 0;

  /** The upstream of the last attempt. */
  lastUpstream = '';

  /** What is passed on if no better answer comes: one whose end can't be told, or a failure. */
  private fallback: Extract<GatewayReply, { kind: 'answer' }> | undefined;

  constructor(
    private readonly context: CallContext,
    private readonly request: CallerRequest,
    private readonly route: GatewayRoute,
    private readonly scheduler: ServiceScheduler,
  ) {
    this.idempotent = isIdempotent(route.kind);
    this.deadline = Math.min(request.deadline, request.arrivedAt + route.timeout);
  }

  run(): Promise<GatewayReply> {
    this.scheduler.retryBudget.recordRequest(this.context.clock.now());
    return this.attempts();
  }

  private async attempts(): Promise<GatewayReply> {
    for (;;) {
      const placed = await this.scheduler.place(this.placing(), this.request.id);
      switch (placed.kind) {
        case 'cancelled':
          return { kind: 'nobody' };
        case 'none':
          return this.giveUp('no-upstream', NO_UPSTREAM_RETRY);
        case 'refused':
          return this.giveUp('no-room', placed.retryAfter);
        case 'send': {
          const ended = await this.hedged(placed.stats, placed.why);
          if (ended.reply) return ended.reply;
          const refusal = this.afterFailure(ended.outcome);
          if (refusal) return refusal;
        }
      }
    }
  }

  /**
   * One attempt, joined by a second one elsewhere if it takes unusually long; the first good answer
   * counts. Load pattern: a few upstreams hang or have turned slow, and nobody knows it yet.
   */
  private async hedged(stats: UpstreamStats, why: string): Promise<AttemptEnd> {
    const first = this.leg(stats, why);
    if (!this.mayHedge()) return first.ended;
    const patience = HEDGE_AFTER * this.scheduler.balancer.meanLatency(this.route.name);
    const slow = new AbortController();
    const isSlow = await Promise.race([
      first.ended.then(() => false),
      sleep(patience, true, { signal: slow.signal }).catch(() => false),
    ]);
    slow.abort();
    const second = isSlow ? this.secondLeg() : undefined;
    if (!second) return first.ended;
    const winner = await Promise.race(
      [first, second].map(async (leg) => ({ leg, end: await leg.ended })),
    );
    const other = winner.leg === first ? second : first;
    if (!winner.end.reply) return other.ended;
    other.cancel();
    void other.ended.then(discard);
    return winner.end;
  }

  private mayHedge(): boolean {
    return this.idempotent && this.runs + 2 <= this.route.maxAttempts;
  }

  private secondLeg(): Leg | undefined {
    const now = this.context.clock.now();
    const placed = this.scheduler.placeNow(this.placing(), this.request.id);
    if (placed?.kind !== 'send') return undefined;
    if (
      placed.why !== 'proven' ||
      !this.scheduler.retryBudget.take(this.context.retryBudgetSharers(this.scheduler.name), now)
    ) {
      this.scheduler.release(placed.stats, this.request.id);
      return undefined;
    }
    return this.leg(placed.stats, 'hedge');
  }

  private leg(stats: UpstreamStats, why: string): Leg {
    const controller = new AbortController();
    const cancel = (): void => controller.abort();
    const { signal } = this.request;
    if (signal.aborted) cancel();
    signal.addEventListener('abort', cancel, { once: true });
    const ended = this.attempt(stats, why, controller.signal).finally(() =>
      signal.removeEventListener('abort', cancel),
    );
    return { ended, cancel };
  }

  /** Undefined if the request goes to another upstream. */
  private afterFailure(outcome: AttemptOutcome): GatewayReply | undefined {
    const now = this.context.clock.now();
    if (outcome.kind === 'cancelled') return { kind: 'nobody' };
    const step = nextStep(outcome, {
      idempotent: this.idempotent,
      runs: this.runs,
      maxRuns: this.route.maxAttempts,
      hasTime:
        this.deadline - now > LEAST_ATTEMPT * this.scheduler.balancer.meanLatency(this.route.name),
    });
    const why = outcome.kind === 'unknown' || outcome.kind === 'not-run' ? outcome.why : 'failed';
    if (step.kind === 'end') return this.giveUp(why, NO_UPSTREAM_RETRY);
    const isAllowed =
      !step.counted ||
      this.scheduler.retryBudget.take(this.context.retryBudgetSharers(this.scheduler.name), now);
    if (!isAllowed) return this.giveUp('no-repeat-left', NO_UPSTREAM_RETRY);
    return undefined;
  }

  /** The final answer where there is no upstream to go to. */
  private giveUp(why: string, retryAfter: Millis): GatewayReply {
    if (this.fallback) return this.fallback;
    if (this.runs === 0) return { kind: 'refused', why, retryAfter };
    return { kind: 'lost', why, isLate: why === 'timeout' };
  }

  private placing(): Parameters<ServiceScheduler['place']>[0] {
    const { arrivedAt, signal } = this.request;
    const meanLatency = this.scheduler.balancer.meanLatency(this.route.name);
    const now = this.context.clock.now();
    const inObjective = arrivedAt + OBJECTIVE_FOR_START * this.route.latencyObjective - meanLatency;
    return {
      retryable: this.idempotent && this.runs + 1 < this.route.maxAttempts,
      tried: this.tried,
      meanBytes: this.scheduler.balancer.meanBytes(this.route.name),
      meanLatency,
      objective: arrivedAt + this.route.latencyObjective - now,
      remaining: this.deadline - now,
      lastResort: false,
      priority: this.route.priority,
      arrivedAt: now,
      startBy: Math.max(inObjective, arrivedAt + LEAST_WAIT * this.route.latencyObjective),
      signal,
      route: this.route.name,
    };
  }

  private async attempt(
    stats: UpstreamStats,
    why: string,
    signal: AbortSignal,
  ): Promise<AttemptEnd> {
    this.tried.add(stats.upstream.id);
    this.lastUpstream = stats.upstream.id;
    this.sends += 1;
    const { outcome, result } = await runAttempt(this.context, {
      request: this.request,
      route: this.route,
      scheduler: this.scheduler,
      stats,
      why,
      number: this.sends,
      deadline: this.deadline,
      signal,
    });
    if (outcome.kind === 'failed' || outcome.kind === 'unknown') this.runs += 1;
    if (result.kind !== 'answered') return { outcome };
    const reply = { kind: 'answer', head: result.head, body: result.body } as const;
    if (outcome.kind === 'served') return { outcome, reply };
    if (outcome.kind === 'failed' && !PROMISES_NOT_RUN.has(result.head.status)) {
      this.fallback ??= reply;
    }
    if (outcome.kind === 'unknown' && outcome.why === UNFRAMED) this.fallback = reply;
    return { outcome };
  }
}
