/** Attempts of calls at a shard's upstreams: hedged, with short answers read completely. */
import type { FailedAttempt, HedgeDelay, RetryBudget } from '../core';
import type { Call, UpstreamId } from '../model';
import type { Attempt, Payload, Reply, Telemetry } from '../ports';

import { readUpTo, toStream } from './body';
import type { Grant, ShardQueue } from './shard-queue';
import { LONG_ANSWER_BYTES, type UpstreamPool } from './upstream-pool';

/** Time in milliseconds that a call waits for a trial attempt while no hedge delay is known. */
const DEFAULT_TRIAL_WAIT_MS = 100;

/** Describes the result of one attempt, or of a hedged pair. */
export type AttemptOutcome =
  | { readonly kind: 'reply'; readonly reply: Reply }
  /** `answer` is the upstream's error answer, if it arrived completely. */
  | { readonly kind: 'failed'; readonly failed: FailedAttempt; readonly answer?: Reply };

/** Holds a call and its attempts so far while a shard handles it. */
export interface ShardCall {
  readonly call: Call;
  /** The workspace's weight in a contended queue. */
  readonly weight: number;
  readonly payload: Payload;
  readonly signal: AbortSignal;
  /** Upstreams already tried, which later attempts leave out. */
  readonly triedUpstreams: UpstreamId[];
}

/** Holds the parts of a shard that attempts use. */
export interface AttemptRunnerContext {
  readonly queue: ShardQueue;
  readonly pool: UpstreamPool;
  readonly hedge: HedgeDelay;
  readonly telemetry: Telemetry;
  /** Returns the current budget, which a change of rules replaces. */
  budget(): RetryBudget;
}

/** Returns a controller that is aborted with `signal` and can also be aborted alone. */
const linkedController = (signal: AbortSignal): AbortController => {
  const controller = new AbortController();
  if (signal.aborted) controller.abort();
  signal.addEventListener('abort', () => controller.abort(), { once: true });
  return controller;
};

/** Starts a timer whose promise resolves to `late` after `millis` milliseconds. */
const startTimer = (millis: number): { readonly late: Promise<'late'>; cancel(): void } => {
  let timer: NodeJS.Timeout;
  const late = new Promise<'late'>((resolve) => {
    timer = setTimeout(() => resolve('late'), millis);
  });
  return { late, cancel: () => clearTimeout(timer) };
};

/**
 * Reads a short answer completely, so that the call can still be retried elsewhere if the answer
 * breaks off. A long answer is passed on as a stream.
 */
const readAnswer = async (
  attempt: Extract<Attempt, { kind: 'answered' }>,
): Promise<AttemptOutcome> => {
  const { status, headers } = attempt;
  const payload = await readUpTo(attempt.body, LONG_ANSWER_BYTES).catch(() => undefined);
  if (!payload) {
    return { kind: 'failed', failed: { result: await attempt.ended, ran: 'maybe' } };
  }
  const reply: Reply = { kind: 'answer', status, headers, body: toStream(payload) };
  if (payload.kind === 'stream') return { kind: 'reply', reply };
  const result = await attempt.ended;
  if (result.kind !== 'error-status') return { kind: 'reply', reply };
  return { kind: 'failed', failed: { result, ran: 'maybe' }, answer: reply };
};

/** Returns the outcome of an attempt, once a short answer to it has been read. */
const outcomeOf = async (attempt: Attempt): Promise<AttemptOutcome> =>
  attempt.kind === 'failed' ? { kind: 'failed', failed: attempt } : readAnswer(attempt);

/** Destroys the body of an answer that is not used. */
const discard = (outcome: AttemptOutcome): void => {
  if (outcome.kind === 'reply' && outcome.reply.kind === 'answer') outcome.reply.body.destroy();
};

/** Makes attempts for the calls of one shard. */
export class AttemptRunner {
  constructor(private readonly context: AttemptRunnerContext) {}

  /** Requests a slot at an upstream not tried yet; waits in the queue for one if `mayWait`. */
  admit(shardCall: ShardCall, signal: AbortSignal, mayWait = true): Promise<Grant> {
    const { call, weight, triedUpstreams } = shardCall;
    return this.context.queue.admit(call, weight, [...triedUpstreams], signal, mayWait);
  }

  /**
   * Attempts the call at an upstream on trial. If an idempotent call takes longer than the hedge
   * delay, resolves to undefined; the attempt then goes on for the upstream's health alone.
   */
  async tryTrial(shardCall: ShardCall, id: UpstreamId): Promise<AttemptOutcome | undefined> {
    const { call, payload, signal } = shardCall;
    const { hedge, pool } = this.context;
    shardCall.triedUpstreams.push(id);
    const controller = linkedController(signal);
    const trial = pool.sendTrial(id, call, payload, controller.signal).then(outcomeOf);
    if (!call.idempotent) return trial;
    const timer = startTimer(hedge.get() ?? DEFAULT_TRIAL_WAIT_MS);
    const outcome = await Promise.race([trial, timer.late]);
    timer.cancel();
    if (outcome !== 'late') return outcome;
    // The attempt goes on, since its result decides whether the upstream has recovered.
    void trial.then(discard);
    return undefined;
  }

  /**
   * Attempts the call once and, if it is idempotent and slow, a second time at another upstream.
   * Resolves to the first reply and aborts the other attempt; if the first to end failed, resolves
   * to the other's outcome.
   */
  async tryHedged(shardCall: ShardCall, upstream: UpstreamId): Promise<AttemptOutcome> {
    const { call, payload, signal } = shardCall;
    const controller = linkedController(signal);
    const first = this.attemptAt(shardCall, upstream, controller.signal);
    const delay = this.context.hedge.get();
    if (!call.idempotent || payload.kind === 'stream' || !delay) return first;
    const timer = startTimer(delay);
    const inTime = await Promise.race([first, timer.late]);
    timer.cancel();
    if (inTime !== 'late' || signal.aborted || !this.context.budget().take()) return first;
    const hedgeAbort = linkedController(signal);
    const hedgeUpstream = await this.admitHedge(shardCall, first, hedgeAbort);
    if (!hedgeUpstream) return first;
    this.context.telemetry.count('retry', { reason: 'hedge' });
    const hedged = this.attemptAt(shardCall, hedgeUpstream, hedgeAbort.signal);
    const winner = await Promise.race([
      first.then((outcome) => ({ outcome, loser: hedgeAbort, other: hedged })),
      hedged.then((outcome) => ({ outcome, loser: controller, other: first })),
    ]);
    if (winner.outcome.kind === 'failed') return winner.other;
    winner.loser.abort();
    void winner.other.then(discard);
    return winner.outcome;
  }

  /** Resolves to the upstream for a second attempt if a slot is free before the first one ends. */
  private async admitHedge(
    shardCall: ShardCall,
    first: Promise<AttemptOutcome>,
    hedgeAbort: AbortController,
  ): Promise<UpstreamId | undefined> {
    const admission = this.admit(shardCall, hedgeAbort.signal, false);
    const earlyGrant = await Promise.race([first.then(() => undefined), admission]);
    if (!earlyGrant) {
      hedgeAbort.abort();
      void admission.then((grant) => {
        if (grant.kind === 'granted') this.context.queue.release(grant.upstream, 0);
      });
    }
    return earlyGrant?.kind === 'granted' ? earlyGrant.upstream : undefined;
  }

  /** Makes an attempt at an upstream whose slot was granted. */
  private async attemptAt(
    shardCall: ShardCall,
    id: UpstreamId,
    signal: AbortSignal,
  ): Promise<AttemptOutcome> {
    shardCall.triedUpstreams.push(id);
    const attempt = await this.context.pool.send(id, shardCall.call, shardCall.payload, signal);
    return outcomeOf(attempt);
  }
}
