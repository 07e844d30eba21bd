/** Sending of attempts from one shard to its upstreams; each attempt occupies one slot. */
import PQueue from 'p-queue';

import type { HedgeDelay, Shard } from '../core';
import type { AttemptResult, Call, Upstream, UpstreamId } from '../model';
import type { Attempt, Payload, Telemetry, UpstreamClient } from '../ports';

import type { ShardQueue } from './shard-queue';
import type { UpstreamHealth } from './upstream-health';

/** Holds the parts of the node that a pool uses. */
export interface UpstreamPoolContext {
  readonly telemetry: Telemetry;
  readonly upstreams: UpstreamClient;
}

const UPSTREAM_GONE: Attempt = { kind: 'failed', result: { kind: 'connect-failed' }, ran: 'no' };

/** Size in bytes above which an answer is streamed; so is one of unknown length. */
export const LONG_ANSWER_BYTES = 256 * 1024;

type Answered = Extract<Attempt, { kind: 'answered' }>;

const MIN_ERROR_STATUS = 500;

/** Returns whether an answer is streamed instead of read into memory. */
const isLongAnswer = ({ headers }: Answered): boolean => {
  const length = headers.find(([name]) => name === 'content-length')?.[1];
  return length === undefined || Number(length) > LONG_ANSWER_BYTES;
};

/** Returns the result of an attempt as far as its status line and headers show it. */
const headResult = ({ status, headLatency: latency }: Answered): AttemptResult =>
  status >= MIN_ERROR_STATUS ? { kind: 'error-status', status, latency } : { kind: 'ok', latency };

/** Sends calls that were granted a slot, and releases the slot when the attempt has ended. */
export class UpstreamPool {
  /** Queues that limit the attempts at each upstream to its slots. */
  private readonly limiters = new Map<UpstreamId, PQueue>();

  private byId: ReadonlyMap<UpstreamId, Upstream> = new Map();

  constructor(
    private readonly queue: ShardQueue,
    private readonly health: UpstreamHealth,
    private readonly hedge: HedgeDelay,
    private readonly context: UpstreamPoolContext,
  ) {}

  get size(): number {
    return this.byId.size;
  }

  /** Replaces the upstreams. */
  update({ upstreams }: Shard): void {
    this.byId = new Map(upstreams.map((upstream) => [upstream.id, upstream]));
    [...this.limiters.keys()]
      .filter((id) => !this.byId.has(id))
      .forEach((id) => this.limiters.delete(id));
  }

  /** Makes an attempt at an upstream whose slot was granted, and releases the slot at its end. */
  async send(id: UpstreamId, call: Call, payload: Payload, signal: AbortSignal): Promise<Attempt> {
    const attempt = await this.sendTrial(id, call, payload, signal);
    if (attempt.kind === 'failed') {
      this.queue.release(id, 0);
      return attempt;
    }
    void attempt.ended.then((result) => {
      const latency = result.kind === 'ok' ? result.latency : 0;
      if (latency > 0 && !isLongAnswer(attempt)) this.hedge.record(latency);
      this.queue.release(id, latency);
    });
    return attempt;
  }

  /** Makes an attempt that holds no slot of the shard's queue. */
  async sendTrial(
    id: UpstreamId,
    call: Call,
    payload: Payload,
    signal: AbortSignal,
  ): Promise<Attempt> {
    const upstream = this.byId.get(id);
    // It may have been removed from the inventory since its slot was granted.
    if (!upstream) return UPSTREAM_GONE;
    return this.limiterOf(upstream).add(() => this.sendObserved(upstream, call, payload, signal));
  }

  /** Makes an attempt and reports its progress and result to the upstream's health. */
  private async sendObserved(
    upstream: Upstream,
    call: Call,
    payload: Payload,
    signal: AbortSignal,
  ): Promise<Attempt> {
    const { health, context } = this;
    const { id } = upstream;
    const attemptId = health.attemptStarted(id);
    const end = (result: AttemptResult): void => {
      context.telemetry.count('attempt', { result: result.kind });
      health.attemptEnded(id, attemptId, result);
    };
    const attempt = await context.upstreams.attempt(upstream, call, payload, signal, (state) =>
      health.connectionChanged(id, attemptId, state),
    );
    if (attempt.kind === 'failed') end(attempt.result);
    else if (isLongAnswer(attempt)) this.reportLongAnswer(id, attempt, end);
    else void attempt.ended.then(end);
    return attempt;
  }

  /**
   * Reports a long answer by its head, and again if it breaks off. Its duration is not reported,
   * since the speed of its reader determines it.
   */
  private reportLongAnswer(
    id: UpstreamId,
    attempt: Answered,
    end: (result: AttemptResult) => void,
  ): void {
    end(headResult(attempt));
    void attempt.ended.then((result) => {
      if (result.kind !== 'truncated' && result.kind !== 'mismatched') return;
      this.health.attemptEnded(id, this.health.attemptStarted(id), result);
    });
  }

  /** Returns the limiter of an upstream, set to its present number of slots. */
  private limiterOf({ id, slots }: Upstream): PQueue {
    const known = this.limiters.get(id);
    if (known) {
      known.concurrency = slots;
      return known;
    }
    const queue = new PQueue({ concurrency: slots });
    this.limiters.set(id, queue);
    return queue;
  }
}
