import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { Admission, RetryBudget, type AdmissionEffect, type AdmissionEvent } from '../../src/core';
import {
  defaultServiceRules,
  MILLIS_PER_SECOND,
  type Instant,
  type Millis,
  type UpstreamId,
} from '../../src/model';
import { VirtualTime } from '../../test/fakes/virtual-time';

import {
  MIN_CALL_TIMEOUT_MS,
  MAX_CALL_TIMEOUT_MS,
  MAX_REFUSAL_P99_MS,
  RETRYABLE_CALL_RATIO,
  BASE_SERVICE_TIME_MS,
  TAIL_SERVICE_TIME_FACTOR,
  TAIL_CALL_RATIO,
  TICK_INTERVAL_MS,
  type Condition,
  type WorkspaceLoad,
  type ShardSize,
} from './conditions';

/** A call from its arrival to its answer or refusal. */
interface ModelCall {
  readonly id: string;
  readonly workspace: string;
  readonly offeredAt: Instant;
  readonly deadline: Instant;
  readonly isRetryable: boolean;
  /** Whether it arrived after the warm-up. */
  readonly isMeasured: boolean;
  readonly triedUpstreams: UpstreamId[];
}

/** Counts of one workspace's calls after the warm-up. */
export interface WorkspaceResult {
  offered: number;
  /** Calls answered completely within their deadline. */
  answered: number;
}

/** Result of one run without its warm-up. */
export interface RunResult {
  readonly byWorkspace: Map<string, WorkspaceResult>;
  /** Time from arrival to refusal of the calls that were never started. */
  readonly refusalLatencies: Millis[];
  /** Refused calls by reason, retries included. */
  readonly refusals: Map<string, number>;
  /** Refusals of calls never started that took `MAX_REFUSAL_P99_MS` or longer, by reason. */
  readonly lateRefusals: Map<string, number>;
  /** Calls with at least one attempt. */
  startedCalls: number;
  /** Attempts, retries included. */
  attempts: number;
  /** Attempts that ran past the deadline, or failed without a retry. */
  unansweredAttempts: number;
  /** Events that the admission has handled. */
  admissionEvents: number;
  /** Real time, in milliseconds, that the admission took to handle them. */
  admissionMillis: number;
}

const WARM_UP_MS: Millis = 5 * MILLIS_PER_SECOND;
const MEAN_SERVICE_TIME_MS =
  BASE_SERVICE_TIME_MS * (1 + TAIL_CALL_RATIO * (TAIL_SERVICE_TIME_FACTOR - 1));

/** Returns how many calls a second the shard's slots can serve. */
export const callsPerSecondCapacity = ({ upstreams, slots }: ShardSize): number =>
  (upstreams * slots * MILLIS_PER_SECOND) / MEAN_SERVICE_TIME_MS;

const increment = (counts: Map<string, number>, key: string): void => {
  counts.set(key, (counts.get(key) ?? 0) + 1);
};

/** Runs the admission of one shard against modelled callers and upstreams, in virtual time. */
class OverloadModel {
  readonly result: RunResult = {
    byWorkspace: new Map(),
    refusalLatencies: [],
    refusals: new Map(),
    lateRefusals: new Map(),
    startedCalls: 0,
    attempts: 0,
    unansweredAttempts: 0,
    admissionEvents: 0,
    admissionMillis: 0,
  };

  private readonly time = new VirtualTime();

  private readonly rng;

  private readonly admission: Admission;

  private readonly budget: RetryBudget;

  private readonly calls = new Map<string, ModelCall>();

  private readonly callsPerMilliCapacity: number;

  private callCount = 0;

  constructor(
    size: ShardSize,
    private readonly condition: Condition,
    seed: number,
  ) {
    this.rng = xoroshiro128plus(seed);
    const rules = defaultServiceRules(size.name);
    this.budget = new RetryBudget(rules.retryRatio);
    this.admission = new Admission({
      queuePerSlot: rules.queuePerSlot,
      rng: xoroshiro128plus(seed + 1),
    });
    this.callsPerMilliCapacity = callsPerSecondCapacity(size) / MILLIS_PER_SECOND;
    const upstreams = Array.from({ length: size.upstreams }, (_, index) => ({
      id: `u${index}`,
      slots: size.slots,
      share: 1,
    }));
    this.handleEvent({ kind: 'upstreams-changed', upstreams });
  }

  run(duration: Millis): void {
    this.condition.loads.forEach((load) => this.scheduleArrival(load));
    this.scheduleTick();
    this.time.runUntil(WARM_UP_MS + duration);
  }

  private uniform(): number {
    return uniformFloat64(this.rng);
  }

  private scheduleTick(): void {
    this.time.at(this.time.now + TICK_INTERVAL_MS, () => {
      this.handleEvent({ kind: 'tick' });
      this.scheduleTick();
    });
  }

  /** Schedules a workspace's next call; arrivals are a Poisson process. */
  private scheduleArrival(load: WorkspaceLoad): void {
    const gap = -Math.log(1 - this.uniform()) / (load.ratio * this.callsPerMilliCapacity);
    this.time.at(this.time.now + gap, () => {
      this.createCall(load);
      this.scheduleArrival(load);
    });
  }

  private createCall({ workspace }: WorkspaceLoad): void {
    const { now } = this.time;
    this.callCount += 1;
    const call: ModelCall = {
      id: `c${this.callCount}`,
      workspace,
      offeredAt: now,
      deadline:
        now + MIN_CALL_TIMEOUT_MS + this.uniform() * (MAX_CALL_TIMEOUT_MS - MIN_CALL_TIMEOUT_MS),
      isRetryable: this.uniform() < RETRYABLE_CALL_RATIO,
      isMeasured: now >= WARM_UP_MS,
      triedUpstreams: [],
    };
    if (call.isMeasured) this.workspaceResult(workspace).offered += 1;
    this.offerCall(call);
  }

  private offerCall(call: ModelCall): void {
    const { id: callId, workspace, deadline, triedUpstreams } = call;
    this.calls.set(callId, call);
    this.handleEvent({
      kind: 'offered',
      callId,
      workspace,
      weight: 1,
      deadline,
      exclude: [...triedUpstreams],
    });
  }

  private handleEvent(event: AdmissionEvent): void {
    const before = performance.now();
    const effects = this.admission.apply(event, this.time.now);
    this.result.admissionMillis += performance.now() - before;
    this.result.admissionEvents += 1;
    effects.forEach((effect) => this.executeEffect(effect));
  }

  private executeEffect(effect: AdmissionEffect): void {
    const call = this.calls.get(effect.callId);
    if (!call)
      throw new Error(
        `effect ${effect.kind} for call ${effect.callId}, expected a call that waits for admission`,
      );
    this.calls.delete(effect.callId);
    if (effect.kind === 'start') this.startAttempt(call, effect.upstream);
    else if (call.isMeasured) this.recordRefusal(call, effect.outcome.reason);
  }

  private recordRefusal(call: ModelCall, reason: string): void {
    increment(this.result.refusals, reason);
    // A retry was delayed by its first upstream; only the wait in the queue is measured here.
    if (call.triedUpstreams.length > 0) return;
    const latency = this.time.now - call.offeredAt;
    this.result.refusalLatencies.push(latency);
    if (latency >= MAX_REFUSAL_P99_MS) increment(this.result.lateRefusals, reason);
  }

  private startAttempt(call: ModelCall, upstream: UpstreamId): void {
    if (call.triedUpstreams.length === 0) {
      this.budget.earn();
      if (call.isMeasured) this.result.startedCalls += 1;
    }
    if (call.isMeasured) this.result.attempts += 1;
    call.triedUpstreams.push(upstream);
    const outcomeDraw = this.uniform();
    const { errorRatio, shedRatio } = this.condition;
    if (outcomeDraw < shedRatio)
      this.scheduleEnd(1, () => this.handleFailure(call, upstream, true));
    else this.serveAttempt(call, upstream, outcomeDraw < shedRatio + errorRatio);
  }

  /** Models the service time; past the call's deadline the attempt is abandoned unanswered. */
  private serveAttempt(call: ModelCall, upstream: UpstreamId, isError: boolean): void {
    const tail = this.uniform() < TAIL_CALL_RATIO ? TAIL_SERVICE_TIME_FACTOR : 1;
    const needed = BASE_SERVICE_TIME_MS * (0.5 + this.uniform()) * tail;
    const left = call.deadline - this.time.now;
    if (needed > left) {
      this.scheduleEnd(left, () => {
        if (call.isMeasured) this.result.unansweredAttempts += 1;
        this.handleEvent({ kind: 'released', upstream, latency: 0 });
      });
      return;
    }
    this.scheduleEnd(needed, () => {
      if (isError) this.handleFailure(call, upstream, call.isRetryable);
      else this.recordAnswer(call, upstream, needed);
    });
  }

  private recordAnswer(call: ModelCall, upstream: UpstreamId, latency: Millis): void {
    if (call.isMeasured) this.workspaceResult(call.workspace).answered += 1;
    this.handleEvent({ kind: 'released', upstream, latency });
  }

  private handleFailure(call: ModelCall, upstream: UpstreamId, mayRetry: boolean): void {
    this.handleEvent({ kind: 'released', upstream, latency: 0 });
    if (mayRetry && this.budget.take()) this.offerCall(call);
    else if (call.isMeasured) this.result.unansweredAttempts += 1;
  }

  private scheduleEnd(after: Millis, end: () => void): void {
    this.time.at(this.time.now + after, end);
  }

  /** Returns a workspace's counts, which start at 0. */
  private workspaceResult(workspace: string): WorkspaceResult {
    const known = this.result.byWorkspace.get(workspace);
    if (known) return known;
    const fresh: WorkspaceResult = { offered: 0, answered: 0 };
    this.result.byWorkspace.set(workspace, fresh);
    return fresh;
  }
}

/** Runs one condition for `duration` milliseconds after the warm-up. */
export const runModel = (
  size: ShardSize,
  condition: Condition,
  seed: number,
  duration: Millis,
): RunResult => {
  const model = new OverloadModel(size, condition, seed);
  model.run(duration);
  return model.result;
};
